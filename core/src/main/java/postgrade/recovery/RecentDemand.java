package postgrade.recovery;

/** Who asks of late, and who was turned away: a second's worth, fading. */
public final class RecentDemand {

    private static final double LATELY_MICROS = 1e6;

    /**
     * So much of the rate counts as spare at least: a width without end would bring nobody back.
     */
    private static final double LEAST_SPARE = 0.1;

    private double asked;
    private double refused;
    private long atMicros;

    public void recordRequest(long nowMicros, boolean turnedAway) {
        double keep = Math.exp(-Math.max(0, nowMicros - atMicros) / LATELY_MICROS);
        asked = asked * keep + 1;
        refused = refused * keep + (turnedAway ? 1 : 0);
        atMicros = Math.max(atMicros, nowMicros);
    }

    /**
     * Over so long those turned away of late can be taken in beside what comes anyway.
     *
     * @param ratePerS what may be taken in once the ramp is over
     */
    public long spreadMicros(double ratePerS) {
        return RetryAfterSpread.spreadMicros(
                refused, Math.max(ratePerS * LEAST_SPARE, ratePerS - asked));
    }
}
