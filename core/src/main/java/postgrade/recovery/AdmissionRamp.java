package postgrade.recovery;

/**
 * The share of the jobs within its quotas that a process admits while it recovers. It starts with
 * what the warm workers can serve, grows while workers accept what they are sent, and shrinks when
 * they are full.
 */
public final class AdmissionRamp {

    private static final long WINDOW_MICROS = 100_000;
    private static final double GROWTH_FACTOR = 1.35;
    private static final double SHRINK_FACTOR = 0.7;

    /** Share of answers that may report full without shrinking; a few do in normal operation. */
    private static final double TOLERATED_FULL_SHARE = 0.05;

    private static final double MIN_SHARE = 0.02;

    private final double initialShare;
    private double share;
    private long windowStartMicros;
    private int acceptedCount;
    private int fullCount;

    /**
     * @param warmCapacityShare what the known workers can serve now, as a share of what they can
     *     serve once all are warm
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

    /** A worker accepted a job or reported that it is full. */
    public void recordAnswer(boolean full) {
        if (full) {
            fullCount++;
        } else {
            acceptedCount++;
        }
    }

    /**
     * The share of the jobs to admit; 1 once the ramp has finished, and from then on permanently.
     */
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

    /**
     * Whether this job is among the admitted ones; a repetition of the same request gets the same
     * result.
     */
    public boolean admits(long nowMicros, String requestId) {
        return RetryAfterSpread.uniformHash(requestId, 0) < admittedShare(nowMicros);
    }
}
