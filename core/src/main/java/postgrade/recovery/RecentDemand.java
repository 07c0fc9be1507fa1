package postgrade.recovery;

/** Requests and rejections of about the last second, as exponentially decaying counts. */
public final class RecentDemand {

    private static final double DECAY_MICROS = 1e6;

    /**
     * Minimum share of the rate that counts as spare: an unbounded spread would bring no client
     * back.
     */
    private static final double MIN_SPARE_SHARE = 0.1;

    private double requests;
    private double rejections;
    private long atMicros;

    public void recordRequest(long nowMicros, boolean rejected) {
        double decay = Math.exp(-Math.max(0, nowMicros - atMicros) / DECAY_MICROS);
        requests = requests * decay + 1;
        rejections = rejections * decay + (rejected ? 1 : 0);
        atMicros = Math.max(atMicros, nowMicros);
    }

    /**
     * The time within which recently rejected requests can be admitted in addition to the ordinary
     * demand.
     *
     * @param ratePerS the rate that may be admitted once the ramp has finished
     */
    public long spreadMicros(double ratePerS) {
        return RetryAfterSpread.spreadMicros(
                rejections, Math.max(ratePerS * MIN_SPARE_SHARE, ratePerS - requests));
    }
}
