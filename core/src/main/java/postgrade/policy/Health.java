package postgrade.policy;

import postgrade.policy.State.*;
import postgrade.policy.api.AttemptOutcome;

/** Which workers are left out for their failures, and which failures are the job's own. */
record Health(Memory my) {

    /**
     * How fast a worker's failure average moves, and where it is ejected; a healthy one stays far
     * below.
     */
    private static final double LEARN_FAILURE = 0.2;

    private static final double EJECT_AT = 0.45;
    private static final long EJECT_NS = 1_500_000_000L;

    /** At most this part of the ready workers is ejected, or the rest would drown. */
    private static final double MOST_EJECTED = 0.4;

    /** Ejections, and the wait before the list is asked for again, double at most so often. */
    static final int DOUBLINGS = 3;

    void judge(long nowNs, Attempt a, AttemptOutcome outcome) {
        Node n = a.node;
        switch (outcome) {
            case SERVED -> {
                blame(a.held, 0);
                n.failures *= 1 - LEARN_FAILURE;
                n.ejections = 0;
            }
            case FULL -> {
                n.room = n.used;
                n.roomAtNs = nowNs;
                n.fullNs = nowNs;
            }
            case CANCELLED, NOT_SENT, NO_SOCKET -> {}
            case UNREACHABLE -> eject(nowNs, n);
            default -> {
                blame(a.held, 1);
                fail(nowNs, n, a.lost ? 0 : 1 - ownFault(a.held));
            }
        }
    }

    void fail(long nowNs, Node n, double fault) {
        n.failures += LEARN_FAILURE * Math.max(0, fault - n.failures);
        if (n.failures > EJECT_AT) {
            eject(nowNs, n);
        }
    }

    private void blame(Held h, double failed) {
        my.allFailures += Sight.LEARN * (failed - my.allFailures);
        h.cls.failures += Sight.LEARN * (failed - h.cls.failures);
        Bucket b = my.tenantBuckets.get(h.job.tenant());
        if (b != null) {
            b.failures += Sight.LEARN * (failed - b.failures);
        }
    }

    /**
     * How far a failure is the job's own: 1 where its tenant's or its class's jobs alone fail. One
     * tenant's bad release or data fails at every worker it meets, and none is to be ejected for
     * it. Where all fail alike it is 0. It might shield a worker that is sick for one class only.
     */
    double ownFault(Held h) {
        Bucket b = my.tenantBuckets.get(h.job.tenant());
        double own = Math.max(h.cls.failures, b == null ? 0 : b.failures);
        return Math.max(0, own - my.allFailures) / Math.max(Sight.LEARN, 1 - my.allFailures);
    }

    private void eject(long nowNs, Node n) {
        long ejected = my.ready.stream().filter(other -> other.ejectedUntilNs > nowNs).count();
        if (n.ejectedUntilNs <= nowNs && ejected + 1 <= my.ready.size() * MOST_EJECTED) {
            n.ejectedUntilNs = nowNs + (EJECT_NS << Math.min(n.ejections++, DOUBLINGS));
        }
    }
}
