package postgrade.recovery;

import postgrade.policy.api.PolicyStateEntry;

/**
 * Ages learnt state. Counts of observations decay, so that new observations soon weigh more.
 * Penalties decay to nothing and pace factors to the usual one; ages grow. Token counts stay as
 * they were: the bucket's own age accounts for the refill, and nothing ever grants a full burst.
 */
final class LearntStateAging {

    /** Learnt state has half its weight after this time. */
    static final long HALF_LIFE_MICROS = 60_000_000;

    /** Learnt state older than this is not used. */
    static final long MAX_AGE_MICROS = 3_600_000_000L;

    private static final double NANOS_PER_MICRO = 1000;
    private static final int COLD_SEND_FIELDS = 2;

    private LearntStateAging() {}

    static boolean isWorkerState(PolicyStateEntry entry) {
        return entry.category().equals("worker") || entry.category().equals("cold");
    }

    /** The entry aged by that time; null if nothing is left of it or its form is unknown. */
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
     * Written only by a process that shut down in order, since the others do not know its last
     * sends; nothing was sent since then.
     */
    private static boolean up(double[] values, double ageNs) {
        values[0] += ageNs;
        return true;
    }

    /** Each send with its age and cost: it stays in the window in which it counts. */
    private static boolean cold(double[] values, double ageNs) {
        for (int i = 0; i < values.length; i += COLD_SEND_FIELDS) {
            values[i] += ageNs;
        }
        return values.length > 0;
    }
}
