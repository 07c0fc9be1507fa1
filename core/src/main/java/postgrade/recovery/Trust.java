package postgrade.recovery;

import postgrade.policy.api.PolicyStateEntry;

/**
 * How figures age. Counts of what was seen fade, so that what is seen from now on soon weighs more;
 * what is held against someone fades to nothing, a pace to the usual one; ages grow. Tokens stay as
 * they were: the bucket's own age brings the refill, and nothing ever brings a full burst.
 */
final class Trust {

    /** What was learnt counts half after this. */
    static final long HALF_MICROS = 60_000_000;

    /** Figures of workers and buckets are of no use later. */
    static final long MOST_MICROS = 3_600_000_000L;

    private static final double NS = 1000;
    private static final int COLD_PAIR = 2;

    private Trust() {}

    static boolean ofWorker(PolicyStateEntry l) {
        return l.category().equals("worker") || l.category().equals("cold");
    }

    /** As it counts so much later; null where nothing is left of it, or it is not understood. */
    static PolicyStateEntry aged(PolicyStateEntry l, long ageMicros) {
        if (ageMicros > MOST_MICROS) {
            return null;
        }
        double[] f = l.values().clone();
        double keep = Math.pow(0.5, ageMicros / (double) HALF_MICROS);
        double ageNs = ageMicros * NS;
        boolean left =
                switch (l.category()) {
                    case "class" -> f.length >= 3 && jobClass(f, keep);
                    case "kind" -> f.length >= 3 && kind(f, keep);
                    case "worker" -> f.length >= 9 && worker(f, keep, ageNs);
                    case "tenant", "key" -> f.length >= 4 && bucket(f, keep, ageNs);
                    case "cold" -> f.length % COLD_PAIR == 0 && cold(f, ageNs);
                    case "up" -> f.length == 1 && up(f, ageNs);
                    default -> false;
                };
        return left ? new PolicyStateEntry(l.category(), l.name(), f) : null;
    }

    private static boolean jobClass(double[] f, double keep) {
        f[1] = Math.floor(f[1] * keep);
        f[2] *= keep;
        return f[1] >= 1;
    }

    private static boolean kind(double[] f, double keep) {
        f[1] = 1 + (f[1] - 1) * keep;
        f[2] = Math.floor(f[2] * keep);
        return f[2] >= 1;
    }

    private static boolean worker(double[] f, double keep, double ageNs) {
        f[0] *= keep;
        f[1] = Math.max(0, f[1] - ageNs);
        f[2] = Math.floor(f[2] * keep);
        f[3] = 1 + (f[3] - 1) * keep;
        f[4] *= keep;
        f[5] *= keep;
        f[6] += ageNs;
        f[7] += ageNs;
        return true;
    }

    private static boolean bucket(double[] f, double keep, double ageNs) {
        f[1] *= keep;
        f[2] *= keep;
        f[3] += ageNs;
        return true;
    }

    /**
     * Kept by one that ended in order alone, as others do not know their last sends; nothing was
     * sent since.
     */
    private static boolean up(double[] f, double ageNs) {
        f[0] += ageNs;
        return true;
    }

    /** Each send with its age and cost: the window it counts in goes on. */
    private static boolean cold(double[] f, double ageNs) {
        for (int i = 0; i < f.length; i += COLD_PAIR) {
            f[i] += ageNs;
        }
        return f.length > 0;
    }
}
