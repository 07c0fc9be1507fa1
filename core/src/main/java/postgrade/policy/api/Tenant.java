package postgrade.policy.api;

/**
 * Who submits jobs.
 *
 * @param name unique among the tenants
 * @param ratePerS jobs a second within the tenant's quota, over all dispatchers
 */
public record Tenant(String name, double ratePerS) {
    /** Checks the rate. */
    public Tenant {
        Preconditions.checkArgument(
                ratePerS > 0, "ratePerS of tenant " + name + " must be positive");
    }
}
