package postgrade.recovery;

/**
 * How much of what is within the shares a process takes in while it comes back. It begins with what
 * its warm workers can do, grows as long as workers take what they are sent, and goes back when
 * they are full.
 */
public final class AdmissionRamp {

    private static final long WINDOW_MICROS = 100_000;
    private static final double GROW = 1.35;
    private static final double SHRINK = 0.7;

    /** This part of answers may say full; a few do on any day. */
    private static final double FULL_PART = 0.05;

    private static final double LEAST = 0.02;

    private final double start;
    private double part;
    private long windowAt;
    private int taken;
    private int full;

    /**
     * @param able what the known workers can do now, as a part of what they can do once all are
     *     warm
     */
    public AdmissionRamp(long nowMicros, double able) {
        start = Math.max(LEAST, Math.min(1, Double.isNaN(able) ? LEAST : able));
        part = start;
        windowAt = nowMicros;
    }

    /** A worker took a job, or said that it is full. */
    public void recordAnswer(boolean saidFull) {
        if (saidFull) {
            full++;
        } else {
            taken++;
        }
    }

    /** Part of the jobs to take in; 1 once it is over, and then for good. */
    public double admittedShare(long nowMicros) {
        if (nowMicros - windowAt >= WINDOW_MICROS && part < 1) {
            windowAt = nowMicros;
            if (full > FULL_PART * (full + taken)) {
                part = Math.max(LEAST, part * SHRINK);
            } else if (taken > 0) {
                part = Math.min(1, part * GROW);
            }
            taken = 0;
            full = 0;
        }
        return part;
    }

    /** Whether this job is among those taken in; the same for whoever asks again. */
    public boolean admits(long nowMicros, String requestId) {
        return RetryAfterSpread.uniformHash(requestId, 0) < admittedShare(nowMicros);
    }
}
