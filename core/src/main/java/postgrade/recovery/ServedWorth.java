package postgrade.recovery;

/**
 * How much of what callers asked for was served in time, weighed by worth: of late, and over longer
 * before a fault.
 */
public final class ServedWorth {

    private static final double LATELY_MICROS = 2e6;
    private static final double LONG_MICROS = 30e6;

    private double askedLately;
    private double inTimeLately;
    private double askedLong;
    private double inTimeLong;
    private long atMicros;
    private double baseline = Double.NaN;

    public ServedWorth(long nowMicros) {
        atMicros = nowMicros;
    }

    /** What was served before this process began, as its snapshot tells. */
    public void setBaseline(double part) {
        baseline = part;
    }

    /** A job has its final answer. */
    public void add(long nowMicros, double worth, boolean inTime) {
        fade(nowMicros);
        askedLately += worth;
        askedLong += worth;
        if (inTime) {
            inTimeLately += worth;
            inTimeLong += worth;
        }
    }

    private void fade(long nowMicros) {
        double passed = Math.max(0, nowMicros - atMicros);
        double shortly = Math.exp(-passed / LATELY_MICROS);
        double slowly = Math.exp(-passed / LONG_MICROS);
        askedLately *= shortly;
        inTimeLately *= shortly;
        askedLong *= slowly;
        inTimeLong *= slowly;
        atMicros = Math.max(atMicros, nowMicros);
    }

    /**
     * From now on it is measured against what was served so far. Several faults in a row count from
     * the first.
     */
    public void recordFault(long nowMicros) {
        fade(nowMicros);
        if (Double.isNaN(baseline) && askedLong > 0) {
            baseline = inTimeLong / askedLong;
        }
    }

    /** Service is full again. */
    public void clearBaseline() {
        baseline = Double.NaN;
    }

    /** Of late; NaN where nothing was asked. */
    public double recentShare(long nowMicros) {
        fade(nowMicros);
        return askedLately < 1e-9 ? Double.NaN : inTimeLately / askedLately;
    }

    /** Over the longer time; NaN where nothing was asked. */
    public double longTermShare() {
        return askedLong < 1e-9 ? Double.NaN : inTimeLong / askedLong;
    }

    public double baseline() {
        return baseline;
    }
}
