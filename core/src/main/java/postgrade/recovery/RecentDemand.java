package postgrade.recovery;

/** Who asks of late, and who was turned away: a second's worth, fading. */
public final class RecentDemand {

    private static final double DECAY_MICROS = 1e6;

    /**
     * So much of the rate counts as spare at least: a width without end would bring nobody back.
     */
    private static final double MIN_SPARE_SHARE = 0.1;

    private double requests;
    private double rejections;
    private long atMicros;

    public void record(long nowMicros, boolean rejected) {
        double decay = Math.exp(-Math.max(0, nowMicros - atMicros) / DECAY_MICROS);
        requests = requests * decay + 1;
        rejections = rejections * decay + (rejected ? 1 : 0);
        atMicros = Math.max(atMicros, nowMicros);
    }

    /**
     * Over so long those turned away of late can be taken in beside what comes anyway.
     *
     * @param ratePerS what may be taken in once the ramp is over
     */
    public long spreadMicros(double ratePerS) {
        return RetryAfterSpread.spreadMicros(
                rejections, Math.max(ratePerS * MIN_SPARE_SHARE, ratePerS - requests));
    }
}
