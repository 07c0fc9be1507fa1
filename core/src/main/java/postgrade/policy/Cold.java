package postgrade.policy;

import postgrade.policy.State.*;

/** What may be sent to a worker that has just started. */
record Cold(Memory my, Sight sight, Admission admission) {

    /** Part of a cold worker's budget that is used, as jobs differ in length. */
    private static final double COLD_SAFETY = 0.9;

    /**
     * A worker on which hardly a job waits has room for its mean load and for so many square roots
     * of it (square-root staffing): at two roots about one job in forty waits.
     */
    private static final double STAFFING_ROOTS = 2;

    /**
     * Whether the job costs no more than is left of this gateway's part of what all may send to a
     * cold worker in one window. An even part of many gateways is under one job, so only as many
     * send as can send the dearest job each, more as the worker warms. What was sent before a
     * restart is forgotten, so one window passes first.
     */
    boolean permits(long nowNs, Held h, Node n) {
        int senders = senders(nowNs, n);
        return sight.warmth(nowNs, n) >= 1
                || Math.floorMod(my.set.dispatcherIndex + n.hash, my.set.dispatcherCount) < senders
                        && nowNs - my.bootNs >= my.set.overloadWindowNs
                        && cost(h, n)
                                <= my.share * forAll(nowNs, n) / senders
                                        - n.coldSpent(nowNs - my.set.overloadWindowNs);
    }

    void spend(long nowNs, Held h, Node n) {
        if (sight.warmth(nowNs, n) < 1) {
            n.spendCold(nowNs, cost(h, n));
        }
    }

    /** How many gateways there are for each that may send there. */
    double rarity(long nowNs, Node n) {
        return sight.warmth(nowNs, n) < 1 ? (double) my.set.dispatcherCount / senders(nowNs, n) : 1;
    }

    private int senders(long nowNs, Node n) {
        double jobs = forAll(nowNs, n) / (my.dearestNs * n.kind.pace);
        return (int) Math.max(1, Math.min(my.set.dispatcherCount, jobs));
    }

    private double forAll(long nowNs, Node n) {
        return COLD_SAFETY
                * my.set.overloadMultiple
                * sight.warmth(nowNs, n)
                * provenSlots(nowNs, n)
                * my.set.overloadWindowNs;
    }

    /**
     * The slots that the worker is known to have, at least one. Without load reports its size is a
     * guess, and a small worker would be overrun by it, so the guess is bounded by what the fleet
     * is seen to carry: the mean load of a ready worker with its staffing margin, less where jobs
     * wait before they start.
     */
    private double provenSlots(long nowNs, Node n) {
        double assumed = sight.slots(n);
        if (n.kind.slots > 0) {
            return assumed;
        }
        double load = admission.fleetLoad(nowNs) / Math.max(1, my.ready.size());
        double staffed =
                Math.max(1, load + STAFFING_ROOTS * Math.sqrt(load))
                        / (1 + n.kind.waitedNs / my.meanNs());
        return sight.weight(n) * Math.min(Sight.UNKNOWN_SLOTS, staffed);
    }

    private static double cost(Held h, Node n) {
        return h.job.slots() * h.cls.meanNs * n.kind.pace;
    }
}
