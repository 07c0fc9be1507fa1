package postgrade.recovery;

/**
 * The share of the requested work, weighted by worth, that was served in time: recently, and over a
 * longer period before a fault.
 */
public final class ServedWorth {

    private static final double RECENT_DECAY_MICROS = 2e6;
    private static final double LONG_TERM_DECAY_MICROS = 30e6;

    private double recentRequested;
    private double recentInTime;
    private double longTermRequested;
    private double longTermInTime;
    private long atMicros;
    private double baseline = Double.NaN;

    public ServedWorth(long nowMicros) {
        atMicros = nowMicros;
    }

    /** Sets the share that was served before this process started, from its snapshot. */
    public void setBaseline(double share) {
        baseline = share;
    }

    /** Records a job that has its final answer. */
    public void add(long nowMicros, double worth, boolean inTime) {
        decay(nowMicros);
        recentRequested += worth;
        longTermRequested += worth;
        if (inTime) {
            recentInTime += worth;
            longTermInTime += worth;
        }
    }

    private void decay(long nowMicros) {
        double elapsedMicros = Math.max(0, nowMicros - atMicros);
        double recentFactor = Math.exp(-elapsedMicros / RECENT_DECAY_MICROS);
        double longTermFactor = Math.exp(-elapsedMicros / LONG_TERM_DECAY_MICROS);
        recentRequested *= recentFactor;
        recentInTime *= recentFactor;
        longTermRequested *= longTermFactor;
        longTermInTime *= longTermFactor;
        atMicros = Math.max(atMicros, nowMicros);
    }

    /**
     * From now on service is compared with what was served so far. Of several faults in a row, the
     * first one counts.
     */
    public void recordFault(long nowMicros) {
        decay(nowMicros);
        if (Double.isNaN(baseline) && longTermRequested > 0) {
            baseline = longTermInTime / longTermRequested;
        }
    }

    /** Drops the baseline, once service is full again. */
    public void clearBaseline() {
        baseline = Double.NaN;
    }

    /** The recent share; NaN if there were no requests. */
    public double recentShare(long nowMicros) {
        decay(nowMicros);
        return recentRequested < 1e-9 ? Double.NaN : recentInTime / recentRequested;
    }

    /** The share over the longer period; NaN if there were no requests. */
    public double longTermShare() {
        return longTermRequested < 1e-9 ? Double.NaN : longTermInTime / longTermRequested;
    }

    public double baseline() {
        return baseline;
    }
}
