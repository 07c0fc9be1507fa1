package postgrade.policy;

/**
 * The rate limit of one tenant or key. Besides its tokens it tracks the demand and the failure rate
 * of its jobs. Times are in nanoseconds.
 */
final class TokenBucket {

    /**
     * A bucket holds this many seconds of its rate, to absorb bursts; demand is averaged over the
     * same time.
     */
    private static final double BURST_SECONDS = 2;

    /**
     * Smallest burst. With many dispatchers the share of each in a rate is so small that random
     * variation alone would empty a smaller bucket.
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

    /** Returns a full bucket of this rate. */
    static TokenBucket full(double ratePerS, long nowNs) {
        return new TokenBucket(burst(ratePerS), nowNs);
    }

    private static double burst(double ratePerS) {
        return Math.max(MIN_BURST, ratePerS * BURST_SECONDS);
    }

    /** Takes a token and returns 0, or takes none and returns the time until one is available. */
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

    /** Scales the tokens to this share; the rest belongs to another process. */
    void scaleTokens(double share) {
        tokens *= share;
    }

    /** Returns the jobs submitted per second, admitted or not. */
    double demandPerS() {
        return demandPerS;
    }

    /**
     * Returns the moving average of failures among the jobs charged to this bucket, from 0 to 1.
     */
    double failureRate() {
        return failureRate;
    }

    /**
     * @param failed 1 for a failure, 0 for a success
     */
    void recordResult(double failed) {
        failureRate = Smoothing.next(failureRate, failed);
    }

    /** Returns the state in the order that {@link #restore} reads. */
    double[] export(long nowNs) {
        return new double[] {tokens, demandPerS, failureRate, nowNs - updatedNs};
    }

    /**
     * @param share the share of the tokens and the demand that belongs to this process
     */
    static TokenBucket restore(double[] values, double share, long nowNs) {
        TokenBucket bucket = new TokenBucket(values[0] * share, nowNs - (long) values[3]);
        bucket.demandPerS = values[1] * share;
        bucket.failureRate = values[2];
        return bucket;
    }
}
