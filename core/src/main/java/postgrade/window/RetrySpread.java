package postgrade.window;

/**
 * Spreads the retries of jobs rejected before an opening over that opening, to avoid a burst when
 * it opens.
 */
public final class RetrySpread {

    /** The later half of an opening is left for jobs that arrive late or are rejected again. */
    private static final double SPREAD_SHARE = 0.5;

    private static final long MAX_SPREAD_MILLIS = 600_000;

    private RetrySpread() {}

    /**
     * Returns in how many milliseconds to retry. An id keeps its position within an opening, so
     * frequent retries gain nothing.
     *
     * @param opensIn milliseconds until the opening
     * @param openMillis how long it stays open
     */
    public static long retryInMillis(long opensIn, long openMillis, long seed, String id) {
        long width = (long) Math.min(MAX_SPREAD_MILLIS, Math.max(0, openMillis) * SPREAD_SHARE);
        return opensIn + (long) (unitHash(seed, id) * width);
    }

    /** Hashes the id to a value uniform in [0, 1), so that consecutive ids spread out. */
    static double unitHash(long seed, String id) {
        long hash = seed * 0x9E3779B97F4A7C15L + 0x632BE59BD9B4E019L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
            hash ^= hash >>> 29;
        }
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return ((hash ^ hash >>> 31) >>> 11) * 0x1.0p-53;
    }
}
