package postgrade.policy.api;

import java.util.Objects;

/**
 * A client's request as the policy sees it.
 *
 * @param id unique among the jobs in flight
 * @param jobClass the name of its {@link JobClass}
 * @param tenant the tenant that it is charged to, or null
 * @param key the key that it concerns, or null; the jobs of one key have a rate limit of their own
 * @param timeLeftNs the time left until its deadline
 * @param slots how many of a worker's slots it occupies
 * @param memory how much of a worker's memory it occupies; 0 if memory is not counted
 */
public record Job(
        String id,
        String jobClass,
        String tenant,
        String key,
        long timeLeftNs,
        double slots,
        double memory) {
    /** Checks that the id and the class are present. */
    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(jobClass, "jobClass");
    }
}
