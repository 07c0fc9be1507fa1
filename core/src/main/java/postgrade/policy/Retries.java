package postgrade.policy;

import postgrade.policy.State.*;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.Idempotency;

/** When a job is sent, waits, is sent again or moves, and when it is given up. */
record Retries(
        Memory my, Sight sight, Admission admission, Choice choice, Gate gate, Health health) {

    /**
     * Held and queued jobs are looked at this often; also the margin kept before a client gives up.
     */
    static final long SWEEP_NS = 50_000_000L;

    /**
     * No further attempt for a job that fails for what it is, nor for one that so many workers
     * broke off.
     */
    private static final double OWN_FAULT = 0.5;

    private static final int MOST_RESETS = 2;

    /**
     * Retry budget, earned by served jobs; and what a move costs a lone gateway of it, many their
     * part.
     */
    private static final double RETRY_EARN = 0.3;

    static final double RETRY_MOST = 8;
    private static final double MOVE_COST = 50;

    /**
     * Jobs differ in length: one that would end after this part of its time is called off
     * unstarted.
     */
    private static final double HOPELESS = 0.85;

    /** No start notice in so many running times of the dearest class: the job will not start. */
    private static final double LOST_AFTER = 2;

    /**
     * Sends the job where there is room, within its share also where there may be. Else it waits
     * for the next sweep, until the hope of being in time is gone; a job beyond its share does not
     * wait.
     */
    void place(long nowNs, Held h) {
        boolean mayGo = h.sent > 0 || admission.leavesReserve(nowNs, h);
        Node n = mayGo ? choice.pick(nowNs, h, !h.withinShare) : null;
        if (n != null) {
            gate.send(nowNs, h, n);
        } else if (h.sent >= my.set.maxAttempts
                || !h.withinShare && gate.mayRefuse(h)
                || nowNs - h.arrivedNs >= h.cls.is.latencyObjectiveNs()
                || h.deadlineNs - nowNs <= 2 * SWEEP_NS) {
            // The next sweep may come too late for an answer: a client's last try can start near
            // its end.
            gate.conclude(nowNs, h);
        }
    }

    /**
     * Waiting has made it too late there, could it start now; none of an unknown or ever late class
     * is.
     */
    private boolean hopeless(long nowNs, Held h, Node n) {
        double leftNs = HOPELESS * h.cls.inTimeNs() - sight.runNs(nowNs, h.cls, n);
        return h.cls.served > 0 && leftNs > 0 && nowNs - h.arrivedNs > leftNs;
    }

    /** No attempt is out and the client still waits: another attempt, or the final answer. */
    void next(long nowNs, Held h, Attempt a, AttemptOutcome outcome) {
        // Not sent to a worker that is leaving says nothing of the job: another worker may take it.
        boolean moot = outcome == AttemptOutcome.NOT_SENT && a.node.ready;
        boolean over =
                h.deadlineNs - nowNs <= SWEEP_NS
                        || moot
                        || h.streaming
                        || !a.neverRan
                                && (h.cls.is.idempotency() == Idempotency.NOT_IDEMPOTENT
                                        || health.ownFault(h) > OWN_FAULT)
                        || outcome == AttemptOutcome.RESET && ++h.resets == MOST_RESETS
                        || a.called && hopeless(nowNs, h, a.node);
        boolean paid = a.neverRan || a.called && outcome == AttemptOutcome.CANCELLED;
        // Attempts that may run a job twice are bounded by what was served, so that they never feed
        // a jam.
        if (over || !paid && (my.retryBudget < 1 || my.retryBudget-- < 1)) {
            gate.conclude(nowNs, h);
        } else {
            place(nowNs, h);
        }
    }

    void earn() {
        my.retryBudget = Math.min(RETRY_MOST, my.retryBudget + RETRY_EARN);
    }

    void sweep(long nowNs, Held h) {
        if (h.out == 1 && my.set.workersReportStart && nowNs < h.deadlineNs) {
            lookAfterUnstarted(nowNs, h);
        } else if (!h.answered && !h.streaming && nowNs >= h.deadlineNs) {
            gate.conclude(nowNs, h);
        } else if (!h.answered && h.out == 0) {
            place(nowNs, h);
        }
    }

    /**
     * A repeatable job that has not started within half its aim moves once another worker shows
     * room. Sooner, and it leaves queues that are in time. Some workers run what was called off all
     * the same, untold: few gateways place well, seeing much of what a worker holds, and may hardly
     * move. One not started when those before it must have ended was swallowed. It counts as held
     * no longer, or its worker stands idle, and as a failure, so that one that loses all is ejected
     * long before time-outs tell.
     */
    private void lookAfterUnstarted(long nowNs, Held h) {
        Attempt a = h.attempts[h.sent - 1];
        if (a.ended || a.startedNs >= 0) {
            return;
        }
        double moveCost = 1 + MOVE_COST / my.set.dispatcherCount;
        if (!a.lost) {
            a.node.waited(nowNs, Math.max(sight.waitNs(nowNs, a.node), nowNs - a.sentNs));
        }
        boolean movable =
                !a.called
                        && my.set.allowsCancellation
                        && h.cls.is.idempotency() != Idempotency.NOT_IDEMPOTENT;
        if (movable && hopeless(nowNs, h, a.node)) {
            gate.callOff(h, h.sent - 1);
        } else if (movable
                && nowNs - a.sentNs >= Math.max(Sight.ANSWER_NS, h.cls.is.latencyObjectiveNs() / 2)
                && my.retryBudget >= moveCost
                && choice.pick(nowNs, h, true) != null) {
            my.retryBudget -= moveCost;
            gate.callOff(h, h.sent - 1);
        } else if (!a.lost && nowNs - a.sentNs > LOST_AFTER * my.dearestNs) {
            h.lose(a);
            a.node.waited(nowNs, 0); // It stands in no queue.
            health.fail(nowNs, a.node, 1);
        }
    }
}
