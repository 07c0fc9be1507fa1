package postgrade.recovery;

/**
 * How much of what is within the shares a process takes in while it comes back. It begins with what
 * its warm workers can do, grows as long as workers take what they are sent, and goes back when
 * they are full.
 */
public final class AdmissionRamp {

    private static final long WINDOW_MICROS = 100_000;
    private static final double GROWTH_FACTOR = 1.35;
    private static final double SHRINK_FACTOR = 0.7;

    /** This part of answers may say full; a few do on any day. */
    private static final double TOLERATED_FULL_SHARE = 0.05;

    private static final double MIN_SHARE = 0.02;

    private final double initialShare;
    private double share;
    private long windowStartMicros;
    private int acceptedCount;
    private int fullCount;

    /**
     * @param able what the known workers can do now, as a part of what they can do once all are
     *     warm
     */
    public AdmissionRamp(long nowMicros, double warmCapacityShare) {
        initialShare =
                Math.max(
                        MIN_SHARE,
                        Math.min(
                                1,
                                Double.isNaN(warmCapacityShare) ? MIN_SHARE : warmCapacityShare));
        share = initialShare;
        windowStartMicros = nowMicros;
    }

    /** A worker took a job, or said that it is full. */
    public void recordAnswer(boolean full) {
        if (full) {
            fullCount++;
        } else {
            acceptedCount++;
        }
    }

    /** Part of the jobs to take in; 1 once it is over, and then for good. */
    public double admittedShare(long nowMicros) {
        if (nowMicros - windowStartMicros >= WINDOW_MICROS && share < 1) {
            windowStartMicros = nowMicros;
            if (fullCount > TOLERATED_FULL_SHARE * (fullCount + acceptedCount)) {
                share = Math.max(MIN_SHARE, share * SHRINK_FACTOR);
            } else if (acceptedCount > 0) {
                share = Math.min(1, share * GROWTH_FACTOR);
            }
            acceptedCount = 0;
            fullCount = 0;
        }
        return share;
    }

    /** Whether this job is among those taken in; the same for whoever asks again. */
    public boolean admits(long nowMicros, String requestId) {
        return RetryAfterSpread.uniformHash(requestId, 0) < admittedShare(nowMicros);
    }
}
