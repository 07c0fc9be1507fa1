package postgrade.policy.api;

/**
 * A tenant on whose behalf jobs are submitted.
 *
 * @param name unique among the tenants
 * @param ratePerS the tenant's quota in jobs per second, over all dispatchers
 */
public record Tenant(String name, double ratePerS) {
    /** Checks the rate. */
    public Tenant {
        Preconditions.checkArgument(
                ratePerS > 0, "ratePerS of tenant " + name + " must be positive");
    }
}
