package postgrade.recovery;

/**
 * When refused callers are told to come back: not together, and not faster than they can be taken
 * in.
 */
public final class RetryAfterSpread {

    private RetryAfterSpread() {}

    /** From 0 to below 1, evenly over ids, always the same for an id and seed. */
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
     * Over so long those refused of late can be taken in, at this rate beside what comes anyway.
     */
    public static long spreadMicros(double rejections, double sparePerS) {
        return sparePerS <= 0
                ? Long.MAX_VALUE
                : (long) Math.min(Long.MAX_VALUE / 2, rejections / sparePerS * 1e6);
    }

    /**
     * @param leastMicros not before
     * @param widthMicros spread over so long after that
     * @param mostMicros callers do not wait longer
     */
    public static long retryAfterMicros(
            String requestId, long seed, long minMicros, long spreadMicros, long maxMicros) {
        long earliest =
                Math.min(
                        minMicros,
                        maxMicros / 2); // Some width stays, however late the first may come.
        long width = Math.max(0, Math.min(spreadMicros, maxMicros - earliest));
        return earliest + (long) (uniformHash(requestId, seed) * width);
    }
}
