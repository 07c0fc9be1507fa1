package postgrade.window;

import java.util.HashMap;
import java.util.Map;

/**
 * Histograms of how long jobs of each class have taken, with eight buckets per doubling. Counts are
 * halved as they grow, so that old durations lose weight. A quantile is the upper bound of its
 * bucket, so rounding never makes it too short.
 */
public final class DurationHistograms {

    private static final int BUCKETS_PER_DOUBLING = 8;
    private static final int BUCKETS = 40 * BUCKETS_PER_DOUBLING;
    private static final int MIN_SAMPLES = 20;
    private static final int MAX_SAMPLES = 4_096;

    private final Map<String, int[]> counts = new HashMap<>();

    public void recordDuration(String jobClass, long millis) {
        int[] histogram = counts.computeIfAbsent(jobClass, c -> new int[BUCKETS + 1]);
        histogram[bucketOf(Math.max(0, millis))]++;
        if (++histogram[BUCKETS] >= MAX_SAMPLES) {
            histogram[BUCKETS] = 0;
            for (int i = 0; i < BUCKETS; i++) {
                histogram[i] /= 2;
                histogram[BUCKETS] += histogram[i];
            }
        }
    }

    /** Returns -1 if there are too few samples. */
    public long quantile(String jobClass, double quantile) {
        int[] histogram = counts.get(jobClass);
        if (histogram == null || histogram[BUCKETS] < MIN_SAMPLES) {
            return -1;
        }
        long rank = (long) Math.ceil(quantile * histogram[BUCKETS]);
        long cumulative = 0;
        for (int i = 0; i < BUCKETS; i++) {
            cumulative += histogram[i];
            if (histogram[i] > 0 && cumulative >= rank) {
                return upperBound(i);
            }
        }
        return -1;
    }

    /** One bucket per millisecond below 8 ms, then eight buckets per doubling. */
    private static int bucketOf(long millis) {
        if (millis < BUCKETS_PER_DOUBLING) {
            return (int) millis;
        }
        int doublings = 63 - Long.numberOfLeadingZeros(millis) - 3;
        return Math.min(
                BUCKETS - 1,
                (doublings + 1) * BUCKETS_PER_DOUBLING
                        + (int) (millis >>> doublings)
                        - BUCKETS_PER_DOUBLING);
    }

    private static long upperBound(int bucket) {
        if (bucket < BUCKETS_PER_DOUBLING) {
            return bucket;
        }
        int doublings = bucket / BUCKETS_PER_DOUBLING - 1;
        return ((long) (bucket % BUCKETS_PER_DOUBLING + BUCKETS_PER_DOUBLING + 1) << doublings) - 1;
    }
}
