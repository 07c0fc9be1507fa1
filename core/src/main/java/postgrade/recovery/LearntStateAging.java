package postgrade.recovery;

import postgrade.policy.api.PolicyStateEntry;

/**
 * How figures age. Counts of what was seen fade, so that what is seen from now on soon weighs more;
 * what is held against someone fades to nothing, a pace to the usual one; ages grow. Tokens stay as
 * they were: the bucket's own age brings the refill, and nothing ever brings a full burst.
 */
final class LearntStateAging {

    /** What was learnt counts half after this. */
    static final long HALF_LIFE_MICROS = 60_000_000;

    /** Figures of workers and buckets are of no use later. */
    static final long MAX_AGE_MICROS = 3_600_000_000L;

    private static final double NANOS_PER_MICRO = 1000;
    private static final int COLD_SEND_FIELDS = 2;

    private LearntStateAging() {}

    static boolean isWorkerState(PolicyStateEntry entry) {
        return entry.category().equals("worker") || entry.category().equals("cold");
    }

    /** As it counts so much later; null where nothing is left of it, or it is not understood. */
    static PolicyStateEntry aged(PolicyStateEntry entry, long ageMicros) {
        if (ageMicros > MAX_AGE_MICROS) {
            return null;
        }
        double[] values = entry.values().clone();
        double decay = Math.pow(0.5, ageMicros / (double) HALF_LIFE_MICROS);
        double ageNs = ageMicros * NANOS_PER_MICRO;
        boolean usable =
                switch (entry.category()) {
                    case "class" -> values.length >= 3 && jobClass(values, decay);
                    case "kind" -> values.length >= 3 && kind(values, decay);
                    case "worker" -> values.length >= 9 && worker(values, decay, ageNs);
                    case "tenant", "key" -> values.length >= 4 && bucket(values, decay, ageNs);
                    case "cold" -> values.length % COLD_SEND_FIELDS == 0 && cold(values, ageNs);
                    case "up" -> values.length == 1 && up(values, ageNs);
                    default -> false;
                };
        return usable ? new PolicyStateEntry(entry.category(), entry.name(), values) : null;
    }

    private static boolean jobClass(double[] values, double decay) {
        values[1] = Math.floor(values[1] * decay);
        values[2] *= decay;
        return values[1] >= 1;
    }

    private static boolean kind(double[] values, double decay) {
        values[1] = 1 + (values[1] - 1) * decay;
        values[2] = Math.floor(values[2] * decay);
        return values[2] >= 1;
    }

    private static boolean worker(double[] values, double decay, double ageNs) {
        values[0] *= decay;
        values[1] = Math.max(0, values[1] - ageNs);
        values[2] = Math.floor(values[2] * decay);
        values[3] = 1 + (values[3] - 1) * decay;
        values[4] *= decay;
        values[5] *= decay;
        values[6] += ageNs;
        values[7] += ageNs;
        return true;
    }

    private static boolean bucket(double[] values, double decay, double ageNs) {
        values[1] *= decay;
        values[2] *= decay;
        values[3] += ageNs;
        return true;
    }

    /**
     * Kept by one that ended in order alone, as others do not know their last sends; nothing was
     * sent since.
     */
    private static boolean up(double[] values, double ageNs) {
        values[0] += ageNs;
        return true;
    }

    /** Each send with its age and cost: the window it counts in goes on. */
    private static boolean cold(double[] values, double ageNs) {
        for (int i = 0; i < values.length; i += COLD_SEND_FIELDS) {
            values[i] += ageNs;
        }
        return values.length > 0;
    }
}
