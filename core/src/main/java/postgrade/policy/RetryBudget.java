package postgrade.policy;

/**
 * Bounds attempts that may run a job twice by the jobs that were served, so that retries never feed
 * an overload.
 */
final class RetryBudget {

    private static final double EARNED_PER_JOB = 0.3;
    private static final double MOST = 8;

    private double available = MOST;

    /** A job has been served. */
    void earn() {
        available = Math.min(MOST, available + EARNED_PER_JOB);
    }

    boolean has(double cost) {
        return available >= cost;
    }

    /** Takes so much if it is there. Returns whether it was. */
    boolean spend(double cost) {
        boolean enough = has(cost);
        if (enough) {
            available -= cost;
        }
        return enough;
    }

    void reset() {
        available = MOST;
    }
}
