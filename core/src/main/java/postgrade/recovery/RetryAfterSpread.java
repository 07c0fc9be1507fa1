package postgrade.recovery;

/**
 * Chooses when rejected clients may retry: not all at once, and not faster than they can be
 * admitted.
 */
public final class RetryAfterSpread {

    private RetryAfterSpread() {}

    /** A hash in [0, 1), uniform over ids and deterministic for an id and seed. */
    static double uniformHash(String requestId, long seed) {
        long hash = seed * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < requestId.length(); i++) {
            hash = (hash ^ requestId.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return ((hash ^ (hash >>> 31)) >>> 11) * 0x1p-53;
    }

    /**
     * The time within which recently rejected requests can be admitted at this rate, in addition to
     * the ordinary demand.
     */
    public static long spreadMicros(double rejections, double sparePerS) {
        return sparePerS <= 0
                ? Long.MAX_VALUE
                : (long) Math.min(Long.MAX_VALUE / 2, rejections / sparePerS * 1e6);
    }

    /**
     * The time after which a rejected client may retry, the same for every call with this id and
     * seed.
     *
     * @param minMicros earliest time
     * @param spreadMicros length of the interval after it over which clients are spread
     * @param maxMicros latest time
     */
    public static long retryAfterMicros(
            String requestId, long seed, long minMicros, long spreadMicros, long maxMicros) {
        long earliest =
                Math.min(
                        minMicros,
                        maxMicros / 2); // Some spread remains even if the earliest time is late.
        long width = Math.max(0, Math.min(spreadMicros, maxMicros - earliest));
        return earliest + (long) (uniformHash(requestId, seed) * width);
    }
}
