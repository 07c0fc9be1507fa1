package postgrade.policy;

/**
 * Limits attempts that may run a job twice in proportion to the jobs served, so that retries never
 * amplify an overload.
 */
final class RetryBudget {

    private static final double EARNED_PER_JOB = 0.3;
    private static final double MAX_AVAILABLE = 8;

    private double available = MAX_AVAILABLE;

    /** Credits a job that has been served. */
    void earn() {
        available = Math.min(MAX_AVAILABLE, available + EARNED_PER_JOB);
    }

    boolean canSpend(double cost) {
        return available >= cost;
    }

    /** Deducts the cost if the budget covers it. Returns whether it did. */
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
