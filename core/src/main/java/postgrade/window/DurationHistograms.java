package postgrade.window;

import java.util.HashMap;
import java.util.Map;

/**
 * How long jobs of a class have taken: counts by length in steps of an eighth, halved as they grow,
 * so that what was long ago fades. A quantile is the upper end of its step, hence never too short
 * by rounding.
 */
public final class DurationHistograms {

    private static final int STEPS = 8;
    private static final int BUCKETS = 40 * STEPS;
    private static final int ENOUGH = 20;
    private static final int MOST = 4_096;

    private final Map<String, int[]> counts = new HashMap<>();

    public void recordDuration(String jobClass, long millis) {
        int[] of = counts.computeIfAbsent(jobClass, c -> new int[BUCKETS + 1]);
        of[bucket(Math.max(0, millis))]++;
        if (++of[BUCKETS] >= MOST) {
            of[BUCKETS] = 0;
            for (int i = 0; i < BUCKETS; i++) {
                of[i] /= 2;
                of[BUCKETS] += of[i];
            }
        }
    }

    /** -1 where too little was learnt. */
    public long quantile(String jobClass, double quantile) {
        int[] of = counts.get(jobClass);
        if (of == null || of[BUCKETS] < ENOUGH) {
            return -1;
        }
        long rank = (long) Math.ceil(quantile * of[BUCKETS]);
        long seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += of[i];
            if (of[i] > 0 && seen >= rank) {
                return upper(i);
            }
        }
        return -1;
    }

    /** Below 8 ms one step each, then eight to each doubling. */
    private static int bucket(long millis) {
        if (millis < STEPS) {
            return (int) millis;
        }
        int doublings = 63 - Long.numberOfLeadingZeros(millis) - 3;
        return Math.min(
                BUCKETS - 1, (doublings + 1) * STEPS + (int) (millis >>> doublings) - STEPS);
    }

    private static long upper(int bucket) {
        if (bucket < STEPS) {
            return bucket;
        }
        int doublings = bucket / STEPS - 1;
        return ((long) (bucket % STEPS + STEPS + 1) << doublings) - 1;
    }
}
