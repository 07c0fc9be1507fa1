package postgrade.policy;

import postgrade.policy.State.*;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;

/** Every attempt and every final answer passes here, and only here are the rules kept. */
record Gate(Memory my, Cold cold) {

    /**
     * Whether it may go there once nothing is out: a job that would move asks before it is called
     * off.
     */
    boolean maySend(long nowNs, Held h, Node n) {
        if (h.answered
                || h.sent >= my.set.maxAttempts
                || nowNs >= h.deadlineNs
                || !n.ready
                || h.cls.is.requiredWorkerKind() != null
                        && !h.cls.is.requiredWorkerKind().equals(n.info.kind())) {
            return false;
        }
        Attempt first = firstThatBinds(h);
        if (first != null
                && (h.cls.is.idempotency() == Idempotency.NOT_IDEMPOTENT
                        || !h.cls.is.deduplicationScope().covers(first.node.info, n.info)
                        || nowNs + Retries.SWEEP_NS
                                >= first.sentNs + h.cls.is.deduplicationWindowNs())) {
            return false;
        }
        return cold.permits(nowNs, h, n) && my.ability.usableShare(nowNs, h.job, n.info) > 0;
    }

    boolean mayRefuse(Held h) {
        boolean dropsRepeats =
                h.cls.is.idempotency() == Idempotency.DEDUPLICATED
                        && h.cls.is.deduplicationScope() == DeduplicationScope.ALL;
        return !h.answered && (dropsRepeats || firstThatBinds(h) == null);
    }

    /**
     * The earliest attempt that may have run: later ones stay in its group and window. None if
     * safe.
     */
    private static Attempt firstThatBinds(Held h) {
        int i = h.cls.is.idempotency() == Idempotency.IDEMPOTENT ? h.sent : 0;
        while (i < h.sent && h.attempts[i].neverRan) {
            i++;
        }
        return i < h.sent ? h.attempts[i] : null;
    }

    void send(long nowNs, Held h, Node n) {
        if (h.out > 0 && !my.set.allowsConcurrentAttempts || !maySend(nowNs, h, n)) {
            return;
        }
        Attempt first = firstThatBinds(h);
        long windowNs =
                first == null
                        ? Long.MAX_VALUE
                        : first.sentNs
                                + h.cls.is.deduplicationWindowNs()
                                - Retries.SWEEP_NS
                                - nowNs;
        cold.spend(nowNs, h, n);
        n.untried = false;
        n.averageUsed(nowNs, Sight.REPORT_LAG_NS);
        h.begin(nowNs, n);
        my.out.startAttempt(h.job.id(), n.id, 0, windowNs);
    }

    /** The final answer: a refusal where trying again is harmless, a failure otherwise. */
    void conclude(long nowNs, Held h) {
        if (mayRefuse(h) && nowNs < h.deadlineNs) {
            my.out.reject(h.job.id(), Math.min(h.retryAfterNs, my.set.maxRetryAfterNs));
        } else if (!h.answered) {
            my.out.fail(h.job.id());
        }
        h.answered = true;
        release(h);
    }

    /** Calls off what still runs for an answered job, and forgets it when nothing does. */
    void release(Held h) {
        for (int i = 0; i < h.sent; i++) {
            callOff(h, i);
        }
        if (h.out == 0) {
            my.jobs.remove(h.job.id());
        }
    }

    void callOff(Held h, int attempt) {
        Attempt a = h.attempts[attempt];
        if (!a.ended && !a.called && my.set.allowsCancellation) {
            a.called = true;
            my.out.cancelAttempt(h.job.id(), attempt);
        }
    }
}
