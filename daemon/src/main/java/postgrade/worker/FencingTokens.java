package postgrade.worker;

/** What goes to a worker beside a job and proves the job's claim on what is reserved there. */
@FunctionalInterface
public interface FencingTokens {

    FencingTokens NONE = (jobClass, tenant, providerId) -> null;

    /** The header's value, or null for no header. */
    String tokenFor(String jobClass, String tenant, String providerId);
}
