package postgrade.window;

/** An opening is no stampede: those refused before it are told times spread over it. */
public final class RetrySpread {

    /** The later half is left for those who come late or are refused again. */
    private static final double SPREAD_SHARE = 0.5;

    private static final long MAX_SPREAD_MILLIS = 600_000;

    private RetrySpread() {}

    /**
     * In how many milliseconds to come again. The same id is told the same place within an opening,
     * so asking often gains nothing.
     *
     * @param opensIn until it opens
     * @param length how long it stays open
     */
    public static long retryInMillis(long opensIn, long openMillis, long seed, String id) {
        long width = (long) Math.min(MAX_SPREAD_MILLIS, Math.max(0, openMillis) * SPREAD_SHARE);
        return opensIn + (long) (unitHash(seed, id) * width);
    }

    /** Even in [0, 1): the bits of the id mixed well, so that ids in sequence land apart. */
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
