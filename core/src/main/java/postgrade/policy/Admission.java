package postgrade.policy;

import java.util.stream.DoubleStream;
import postgrade.policy.State.*;
import postgrade.policy.api.Job;

/** Whether a job lies within its tenant's and its key's share, and whether one beyond it may go. */
record Admission(Memory my, Sight sight) {

    /**
     * A bucket holds so many seconds of its rate, to ride over bursts; demand is averaged over as
     * long.
     */
    private static final double BURST_SECONDS = 2;

    /**
     * The least burst: many gateways make a part of a rate so small that chance alone would empty
     * it.
     */
    private static final double LEAST_BURST = 5;

    /** One key may take this part of all tenants' rates before its own bucket is empty. */
    private static final double KEY_SHARE = 0.5;

    /**
     * Part of the fleet left free by jobs beyond their share, more by costly ones; by those within
     * it.
     */
    private static final double RESERVE = 0.1;

    private static final double RESERVE_COSTLY = 0.55;
    private static final double RESERVE_WITHIN = 0.1;

    /**
     * The fleet does so many times the tenants' rates at most, so the other gateways hold no more.
     */
    private static final double MOST_DONE = 1.3;

    /**
     * Charges every bucket of the job, also when one of them is empty. Returns how long one stays
     * empty.
     */
    long charge(long nowNs, Job job) {
        Double rate = my.tenantRates.get(job.tenant());
        long emptyFor =
                rate == null ? 0 : take(my.tenantBuckets, job.tenant(), rate * my.share, nowNs);
        if (job.key() != null && my.allRates > 0) {
            double keyRate = my.allRates * KEY_SHARE * my.share;
            emptyFor = Math.max(emptyFor, take(my.keyBuckets, job.key(), keyRate, nowNs));
        }
        return emptyFor;
    }

    /** Takes a token; returns 0, or how long until there will be one. */
    private static long take(Table<Bucket> table, String name, double ratePerS, long nowNs) {
        double burst = Math.max(LEAST_BURST, ratePerS * BURST_SECONDS);
        Bucket b = table.computeIfAbsent(name, k -> new Bucket(burst, nowNs));
        double seconds = (nowNs - b.atNs) / 1e9;
        b.atNs = nowNs;
        b.demandPerS = b.demandPerS * Math.exp(-seconds / BURST_SECONDS) + 1 / BURST_SECONDS;
        b.tokens = Math.min(burst, b.tokens + seconds * ratePerS);
        if (b.tokens < 1) {
            return Math.max(1, (long) ((1 - b.tokens) / ratePerS * 1e9));
        }
        b.tokens -= 1;
        return 0;
    }

    /**
     * Which of a tenant's jobs lie within its share is not told, so a strict bucket refuses worthy
     * ones too. A job may overdraw while the fleet has room beyond a reserve. Costly classes leave
     * more, within their share a little, or they fill a jammed fleet and the cheap ones find it
     * full. Old reports count as the mean here: anything above, and at size all excess looks
     * welcome.
     */
    boolean leavesReserve(long nowNs, Held h) {
        double reserve = RESERVE_WITHIN * costly(h.cls);
        if (!h.withinShare) {
            Bucket b = my.tenantBuckets.get(h.job.tenant());
            // The part of the tenant's jobs beyond its share here: near 0 where only the split is
            // uneven.
            double rate = my.tenantRates.getOrDefault(h.job.tenant(), 0.0);
            double overuse = b == null ? 1 : Math.max(0, 1 - rate * my.share / b.demandPerS);
            reserve =
                    overuse
                            * (RESERVE
                                    + RESERVE_COSTLY
                                            * costPerWorth(h.cls)
                                            / costs().max().orElse(1));
        }
        double fleet = my.ready.stream().mapToDouble(sight::slots).sum();
        if (!my.reported && fleet > 0) {
            // No report tells of the other gateways' jobs: they hold an even share each, as we do,
            // or less.
            double theirs = my.others * (my.set.dispatcherCount - 1) * ownLoad(nowNs);
            my.usualRoom = Math.max(0, 1 - theirs / fleet);
        }
        double free =
                my.ready.stream()
                        .filter(n -> n.ejectedUntilNs <= nowNs)
                        .mapToDouble(n -> Math.max(0, sight.room(nowNs, n, my.usualRoom)))
                        .sum();
        return free >= fleet * reserve;
    }

    /**
     * Slots that this gateway's jobs fill on the mean, no more than the tenants' rates come to
     * here.
     */
    private double ownLoad(long nowNs) {
        double served = my.slotTimeServed.perSecond(nowNs);
        return my.allRates > 0
                ? Math.min(served, MOST_DONE * my.allRates * my.meanNs() / 1e9)
                : served;
    }

    /**
     * Slots of the whole fleet that jobs fill on the mean, if each gateway does as much as this
     * one.
     */
    double fleetLoad(long nowNs) {
        return ownLoad(nowNs) * my.set.dispatcherCount;
    }

    /**
     * How dear a class's worth is in running time: 0 for the cheapest class, towards 1 for dear
     * ones.
     */
    double costly(ClassState cls) {
        return 1 - costs().min().orElse(0) / costPerWorth(cls);
    }

    private DoubleStream costs() {
        return my.classes.values().stream().mapToDouble(Admission::costPerWorth);
    }

    private static double costPerWorth(ClassState cls) {
        return cls.meanNs / cls.is.priorityWeight();
    }
}
