package postgrade.policy;

/**
 * Bounds attempts that may run a job twice by the jobs that were served, so that retries never feed
 * an overload.
 */
final class RetryBudget {

    private static final double EARNED_PER_JOB = 0.3;
    private static final double MAX_AVAILABLE = 8;

    private double available = MAX_AVAILABLE;

    /** A job has been served. */
    void earn() {
        available = Math.min(MAX_AVAILABLE, available + EARNED_PER_JOB);
    }

    boolean canSpend(double cost) {
        return available >= cost;
    }

    /** Takes so much if it is there. Returns whether it was. */
    boolean trySpend(double cost) {
        boolean enough = canSpend(cost);
        if (enough) {
            available -= cost;
        }
        return enough;
    }

    void reset() {
        available = MAX_AVAILABLE;
    }
}
