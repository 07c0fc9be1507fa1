package postgrade.policy.api;

import java.util.Objects;

/**
 * A client's request for which the policy decides.
 *
 * @param id unique among the jobs in flight
 * @param jobClass the name of its {@link JobClass}
 * @param tenant who pays for it, or null
 * @param key what it concerns, or null; jobs of one key have a rate limit of their own
 * @param timeLeftNs how long its client waits for an answer from now on
 * @param slots how many of a worker's slots it occupies
 * @param memory how much of a worker's memory it occupies, 0 where that is not counted
 */
public record Job(
        String id,
        String jobClass,
        String tenant,
        String key,
        long timeLeftNs,
        double slots,
        double memory) {
    /** Requires the id and the class. */
    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(jobClass, "jobClass");
    }
}
