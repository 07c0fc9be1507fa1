package postgrade.policy;

/**
 * The rate limit of one tenant or key. Beside its tokens it keeps what the tenant asks for and how
 * often its jobs fail. Times are in nanoseconds.
 */
final class TokenBucket {

    /**
     * A bucket holds so many seconds of its rate, to ride over bursts; demand is averaged over as
     * long.
     */
    private static final double BURST_SECONDS = 2;

    /**
     * The least burst: with many dispatchers each one's part of a rate is so small that chance
     * alone would empty it.
     */
    private static final double MIN_BURST = 5;

    private double tokens;
    private double demandPerS;
    private double failureRate;
    private long updatedNs;

    private TokenBucket(double tokens, long nowNs) {
        this.tokens = tokens;
        updatedNs = nowNs;
    }

    /** A full bucket of this rate. */
    static TokenBucket full(double ratePerS, long nowNs) {
        return new TokenBucket(burst(ratePerS), nowNs);
    }

    private static double burst(double ratePerS) {
        return Math.max(MIN_BURST, ratePerS * BURST_SECONDS);
    }

    /** Takes a token. Returns 0, or how long until there will be one; then none is taken. */
    long tryTake(double ratePerS, long nowNs) {
        double seconds = (nowNs - updatedNs) / 1e9;
        updatedNs = nowNs;
        demandPerS = demandPerS * Math.exp(-seconds / BURST_SECONDS) + 1 / BURST_SECONDS;
        tokens = Math.min(burst(ratePerS), tokens + seconds * ratePerS);
        if (tokens < 1) {
            return Math.max(1, (long) ((1 - tokens) / ratePerS * 1e9));
        }
        tokens -= 1;
        return 0;
    }

    /** Keeps this part of the tokens; the rest is another process's. */
    void scaleTokens(double part) {
        tokens *= part;
    }

    /** How many jobs a second are asked for, admitted or not. */
    double demandPerS() {
        return demandPerS;
    }

    /** The moving average of failures among the jobs charged here, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    /**
     * @param failed 1 for a failure, 0 for a success
     */
    void recordResult(double failed) {
        failureRate = Smoothing.next(failureRate, failed);
    }

    /** Its state in the order that {@link #restore} reads. */
    double[] export(long nowNs) {
        return new double[] {tokens, demandPerS, failureRate, nowNs - updatedNs};
    }

    /**
     * @param share of the tokens and the demand that are this process's
     */
    static TokenBucket restore(double[] values, double share, long nowNs) {
        TokenBucket bucket = new TokenBucket(values[0] * share, nowNs - (long) values[3]);
        bucket.demandPerS = values[1] * share;
        bucket.failureRate = values[2];
        return bucket;
    }
}
