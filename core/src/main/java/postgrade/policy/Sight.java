package postgrade.policy;

import postgrade.policy.State.*;
import postgrade.policy.api.LoadReport;

/**
 * What is known of a worker: its size, how warm it is, its room, its waits and how long jobs run
 * there.
 */
record Sight(Memory my) {

    /**
     * A report fades over this time to what reports usually say; it shows our own jobs with this
     * lag.
     */
    private static final double REPORT_FADE_NS = 4e9;

    static final double REPORT_LAG_NS = 0.5e9;

    /** How fast usual figures are learnt, and the most that one job tells of a pace. */
    static final double LEARN = 0.05;

    private static final double MOST_PACE = 5;

    /** A wait seen at a worker fades so fast. */
    private static final double WAIT_FADE_NS = 2e9;

    /**
     * A worker's own pace counts against its kind's as so many jobs; of its own the latest so many
     * count.
     */
    private static final double PACE_PRIOR = 4;

    private static final double MOST_PACED = 20;

    /** Cold workers run jobs so many times as fast as the settings promise at least. */
    private static final double COLD_PACE = 1.4;

    /** Slots of a worker of mean size where none has shown any. */
    static final double UNKNOWN_SLOTS = 5;

    /** A start notice that takes longer tells of a wait. */
    static final long ANSWER_NS = 40_000_000L;

    /**
     * While fewer of our jobs wait the others hold less: they may be restarting, or their halls
     * quiet.
     */
    private static final double USUAL_WAITS = 0.25;

    private static final double LEARN_OTHERS = 0.01;

    /**
     * As reports have shown; without any, by the size that the list announces, which counts speed
     * too.
     */
    double slots(Node n) {
        return n.kind.slots > 0 ? n.kind.slots : UNKNOWN_SLOTS * weight(n);
    }

    /**
     * The size that the list announces, relative to the mean of the ready workers; 1 where it
     * announces none.
     */
    double weight(Node n) {
        return n.info.weight() > 0 ? n.info.weight() / my.meanWeight : 1;
    }

    /** The part of its work that a worker can do for sure, by the time since its start. */
    double warmth(long nowNs, Node n) {
        double cold = my.set.slowStartInitialShare;
        return n.bornNs == 0 || nowNs - n.bornNs >= my.set.slowStartNs
                ? 1
                : cold + (1 - cold) * Math.max(0, nowNs - n.bornNs) / my.set.slowStartNs;
    }

    /**
     * Free slots by reports, which fade to a usual part; without any, full until a job may have
     * ended.
     */
    double room(long nowNs, Node n, double usualPart) {
        double usual = slots(n) * warmth(nowNs, n) * usualPart;
        double fadeNs = my.reported ? REPORT_FADE_NS : my.dearestNs;
        double age = Double.isNaN(n.room) ? 1 : Math.min(1, (nowNs - n.roomAtNs) / fadeNs);
        return (age == 1 ? usual : n.room + (usual - n.room) * age) - n.used;
    }

    void report(long nowNs, Node n, LoadReport load) {
        double free = load.freeSlots();
        if (free >= 0 && free < 1e6) {
            n.averageUsed(nowNs, REPORT_LAG_NS);
            n.room = free + n.usedAverage;
            n.roomAtNs = nowNs;
            my.reported = true;
            my.usualRoom += LEARN * (Math.min(1, n.room / slots(n)) - my.usualRoom);
            if (free > n.kind.slots) {
                n.kind.slots += n.kind.slots == 0 ? free : 0.3 * (free - n.kind.slots);
            }
        }
    }

    /**
     * How long a job would wait there before it starts, by what the latest ones did; old news
     * fades.
     */
    double waitNs(long nowNs, Node n) {
        double keep = Math.exp((n.waitedAtNs - nowNs) / WAIT_FADE_NS);
        return n.waitedNs * keep + (warmth(nowNs, n) < 1 ? 0 : n.kind.waitedNs * (1 - keep));
    }

    void started(long nowNs, Attempt a) {
        if (a != null && a.startedNs < 0) {
            a.start(nowNs);
            a.node.waited(nowNs, nowNs - a.sentNs);
            a.node.kind.waitedNs += LEARN * (nowNs - a.sentNs - a.node.kind.waitedNs);
            double waits = nowNs - a.sentNs > ANSWER_NS ? 1 : 0;
            my.others =
                    Math.max(0, Math.min(1, my.others + LEARN_OTHERS * (waits / USUAL_WAITS - 1)));
        }
    }

    /** How long a job of the class would run there. */
    double runNs(long nowNs, ClassState cls, Node n) {
        return cls.meanNs * pace(n) * slowness(nowNs, n);
    }

    /** A cold worker runs each job more slowly, by less than the settings allow it. */
    private double slowness(long nowNs, Node n) {
        return Math.max(1, 1 / (COLD_PACE * warmth(nowNs, n)));
    }

    /** How long jobs run there, relative to the mean: as its kind's do, until enough are known. */
    static double pace(Node n) {
        return (n.kind.pace * PACE_PRIOR + n.pace * n.paced) / (PACE_PRIOR + n.paced);
    }

    /**
     * Learns how long jobs run on warm workers (a first one of no time must not make it free), and
     * paces.
     */
    void served(long nowNs, Attempt a) {
        ClassState cls = a.held.cls;
        double ran = nowNs - (a.startedNs >= 0 ? a.startedNs : a.sentNs);
        double warm = ran / slowness(nowNs, a.node);
        cls.learn(warm, LEARN);
        my.weighClasses();
        double pace = Math.max(1 / MOST_PACE, Math.min(MOST_PACE, warm / Math.max(1, cls.seenNs)));
        a.node.kind.pace +=
                Math.max(LEARN, 1.0 / (++a.node.kind.served + 1)) * (pace - a.node.kind.pace);
        a.node.paced = Math.min(MOST_PACED, a.node.paced + 1);
        a.node.pace += (pace - a.node.pace) / a.node.paced;
        my.slotTimeServed.add(nowNs, ran / 1e9 * a.held.job.slots());
    }
}
