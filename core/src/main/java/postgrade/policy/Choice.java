package postgrade.policy;

import postgrade.policy.State.*;
import postgrade.policy.api.Idempotency;

/** Which worker gets a job. */
record Choice(Memory my, Sight sight, Cold cold, Gate gate) {

    /** A worker where a job is later than this part of its aim is last. */
    private static final double MARGIN = 0.8;

    private static final double LATE = 1e9;

    /** A failure average above this puts a worker last for jobs that may not be repeated. */
    private static final double SUSPECT = 0.1;

    /**
     * The able worker with fewest of our jobs for its size, this one's wait included; ties at
     * random.
     */
    Node pick(long nowNs, Held h, boolean needsRoom) {
        boolean once = h.cls.is.idempotency() == Idempotency.NOT_IDEMPOTENT;
        Node fewest = null;
        double least = Double.MAX_VALUE;
        double ties = 0;
        for (Node n : my.ready) {
            if (!able(nowNs, h, n)) {
                continue;
            }
            if (n.untried && !once) {
                return n; // Cold it never looks best, and would be left unused.
            }
            if (needsRoom && !fits(nowNs, h, n)) {
                continue;
            }
            double size =
                    sight.slots(n)
                            * sight.warmth(nowNs, n)
                            / Sight.pace(n)
                            / (1 + n.kind.waitedNs / h.cls.meanNs)
                            * my.ability.usableShare(nowNs, h.job, n.info);
            // A full answer comes at once and leaves none of our jobs there: fewest alone would
            // feed it more.
            double full = sight.slots(n) * (1 - Math.min(1, (nowNs - n.fullNs) / my.dearestNs));
            double load =
                    Math.max(n.own, full) / size
                            + sight.waitNs(nowNs, n) / h.cls.meanNs / size
                            + (tooLate(nowNs, h, n) ? LATE : 0)
                            + (once && n.failures > SUSPECT ? LATE : 0);
            // What few gateways may send must come from these few.
            double chance = size * cold.rarity(nowNs, n);
            ties = load < least ? chance : load == least ? ties + chance : ties;
            if (load < least || load == least && my.random.nextDouble() * ties < chance) {
                fewest = n;
                least = load;
            }
        }
        return fewest;
    }

    /**
     * An idle worker that is slow, or one whose queue is long, may hold the fewest and yet be of no
     * use.
     */
    private boolean tooLate(long nowNs, Held h, Node n) {
        return nowNs - h.arrivedNs + sight.waitNs(nowNs, n) + sight.runNs(nowNs, h.cls, n)
                > MARGIN * h.cls.inTimeNs();
    }

    private boolean able(long nowNs, Held h, Node n) {
        boolean tried =
                h.sent > 0
                        && h.attempts[h.sent - 1].node == n
                        && (my.ready.size() > 1 || h.out > 0);
        return n.ejectedUntilNs <= nowNs && !tried && gate.maySend(nowNs, h, n);
    }

    private boolean fits(long nowNs, Held h, Node n) {
        return sight.room(nowNs, n, (1 + my.usualRoom) / 2) >= h.job.slots()
                && n.memory + h.job.memory() <= Math.max(sight.slots(n), h.job.memory());
    }
}
