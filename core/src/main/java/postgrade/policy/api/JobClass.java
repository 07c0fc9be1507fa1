package postgrade.policy.api;

import java.util.Objects;

/**
 * What the settings say of a class of jobs.
 *
 * @param name unique among the classes
 * @param idempotency whether its jobs may run again
 * @param deduplicationScope which workers drop repeats of a deduplicated job
 * @param deduplicationWindowNs for how long they do, from its first attempt on
 * @param latencyObjectiveNs a job is in time within this, plus {@code objectivePerServiceTime}
 *     times its own service time
 * @param objectivePerServiceTime see {@code latencyObjectiveNs}
 * @param priorityWeight what a job served in time counts, relative to those of other classes
 * @param lateShare the part of {@code priorityWeight} that a late one still counts
 * @param requiredWorkerKind the only kind of worker that runs it, or null for any
 * @param streaming whether its answer is streamed
 */
public record JobClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowNs,
        long latencyObjectiveNs,
        double objectivePerServiceTime,
        double priorityWeight,
        double lateShare,
        String requiredWorkerKind,
        boolean streaming) {

    private static final long DEFAULT_OBJECTIVE_NS = 1_000_000_000L;

    /** Checks the name, the times and the weight. */
    public JobClass {
        Objects.requireNonNull(name, "class name");
        Preconditions.checkArgument(
                deduplicationWindowNs >= 0, "windowNs of class " + name + " must not be negative");
        Preconditions.checkArgument(
                latencyObjectiveNs >= 0, "aimNs of class " + name + " must not be negative");
        Preconditions.checkArgument(
                priorityWeight > 0, "worth of class " + name + " must be positive");
    }

    /** A class with an objective of one second, whose repeats are dropped nowhere. */
    public static JobClass of(String name, Idempotency idempotency) {
        return new JobClass(
                name,
                idempotency,
                DeduplicationScope.ALL,
                0,
                DEFAULT_OBJECTIVE_NS,
                0,
                1,
                0,
                null,
                false);
    }
}
