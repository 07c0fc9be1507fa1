package postgrade.policy.api;

import java.util.Objects;

/**
 * The settings of a class of jobs.
 *
 * @param name unique among the classes
 * @param idempotency whether its jobs may run more than once
 * @param deduplicationScope which workers drop repeats of a deduplicated job
 * @param deduplicationWindowNs how long they do so after its first attempt
 * @param latencyObjectiveNs the latency objective of a job, to which {@code
 *     objectivePerServiceTime} times its own service time is added
 * @param objectivePerServiceTime see {@code latencyObjectiveNs}
 * @param priorityWeight the value of a job served in time, relative to jobs of other classes
 * @param lateShare the share of {@code priorityWeight} that a job served late is still worth
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
                latencyObjectiveNs >= 0, "onTimeNs of class " + name + " must not be negative");
        Preconditions.checkArgument(
                priorityWeight > 0, "importance of class " + name + " must be positive");
    }

    /** Returns a class with a latency objective of one second and no deduplication window. */
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
