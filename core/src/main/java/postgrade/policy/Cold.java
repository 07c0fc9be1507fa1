package postgrade.policy;

import postgrade.policy.State.*;

/** What may be sent to a worker that has just started. */
record Cold(Memory my, Sight sight) {

    /** Part of a cold worker's budget that is used, as jobs differ in length. */
    private static final double COLD_SAFETY = 0.9;

    /**
     * Whether the job costs no more than is left of this gateway's part of what all may send to a cold worker
     * in one window. An even part of many gateways is under one job, so only as many send as can send the
     * dearest job each, more as the worker warms. What was sent before a restart is forgotten, so one window
     * passes first.
     */
    boolean permits(long nowNs, Held h, Node n) {
        int senders = senders(nowNs, n);
        return sight.warmth(nowNs, n) >= 1
                || Math.floorMod(my.set.gateway + n.hash, my.set.gateways) < senders
                && nowNs - my.bootNs >= my.set.fallNs
                && cost(h, n) <= my.share * forAll(nowNs, n) / senders - n.coldSpent(nowNs - my.set.fallNs);
    }

    void spend(long nowNs, Held h, Node n) {
        if (sight.warmth(nowNs, n) < 1) {
            n.spendCold(nowNs, cost(h, n));
        }
    }

    /** How many gateways there are for each that may send there. */
    double rarity(long nowNs, Node n) {
        return sight.warmth(nowNs, n) < 1 ? (double) my.set.gateways / senders(nowNs, n) : 1;
    }

    private int senders(long nowNs, Node n) {
        double jobs = forAll(nowNs, n) / (my.dearestNs * n.kind.pace);
        return (int) Math.max(1, Math.min(my.set.gateways, jobs));
    }

    private double forAll(long nowNs, Node n) {
        return COLD_SAFETY * my.set.fallMultiple * sight.warmth(nowNs, n) * sight.slots(n) * my.set.fallNs;
    }

    private static double cost(Held h, Node n) {
        return h.job.slots() * h.cls.meanNs * n.kind.pace;
    }
}
