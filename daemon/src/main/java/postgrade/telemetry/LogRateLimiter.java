package postgrade.telemetry;

/**
 * Limits the rate of log lines with a token bucket, so that a flood of failed attempts costs
 * little.
 */
final class LogRateLimiter {

    private static final double BURST = 400;
    private static final double LINES_PER_MICRO = 50e-6;

    private double available = BURST;
    private long refilledMicros;
    private long suppressed;

    /** Whether a line may be written now. A line that may not is counted. */
    boolean tryAcquire(long nowMicros) {
        double earned = (nowMicros - refilledMicros) * LINES_PER_MICRO;
        available = Math.min(BURST, available + Math.max(0, earned));
        refilledMicros = nowMicros;
        if (available < 1) {
            suppressed++;
            return false;
        }
        available--;
        return true;
    }

    /** Returns the number of lines suppressed since the process started. */
    long suppressed() {
        return suppressed;
    }
}
