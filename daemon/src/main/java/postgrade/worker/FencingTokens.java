package postgrade.worker;

/**
 * Supplies the fencing token that is sent to a worker with a job and proves the job's claim on what
 * is reserved there.
 */
@FunctionalInterface
public interface FencingTokens {

    FencingTokens NONE = (jobClass, tenant, workerId) -> null;

    /** Returns the header's value, or null for no header. */
    String tokenFor(String jobClass, String tenant, String workerId);
}
