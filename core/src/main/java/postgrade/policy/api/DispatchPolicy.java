package postgrade.policy.api;

import java.util.List;

/**
 * Decides for one dispatcher which jobs are admitted, which worker runs each of them, when an
 * attempt is repeated or cancelled, and what clients are answered.
 *
 * <p>Each event carries the time in nanoseconds of a monotonic clock. Decisions are made as calls
 * of {@link PolicyActions} before the event's method returns. An implementation does no I/O, reads
 * no clock and is not thread-safe: the dispatcher delivers events one after another, on one thread.
 * Events of unknown jobs and ended attempts are ignored.
 */
public interface DispatchPolicy {

    /** The worker list has been updated, or the update has failed. */
    void workersUpdated(long nowNs, WorkerListUpdateType type, List<WorkerInfo> workers);

    /**
     * An operator has re-enabled a worker that was disabled and has since been restarted. The
     * update of the worker list precedes this event.
     */
    default void workerReenabled(long nowNs, String workerId) {}

    /**
     * The settings have changed. Jobs in flight keep the class that they arrived with. If the
     * settings belong to another {@link Deployment}, all learned state is reset.
     */
    default void settingsChanged(long nowNs, PolicySettings settings) {}

    /**
     * This process's share of the dispatcher's quotas has changed, as other processes of the
     * dispatcher have started or stopped.
     */
    default void quotaShareChanged(long nowNs, double share) {}

    /** Replaces the constraints to be checked from now on. */
    default void constraintsChanged(JobConstraints constraints) {}

    /** Returns the learned state for the next process of this dispatcher. */
    default List<PolicyStateEntry> exportState(long nowNs) {
        return List.of();
    }

    /**
     * Imports the state that another process of this dispatcher has exported. The worker list has
     * been delivered before.
     */
    default void importState(long nowNs, List<PolicyStateEntry> entries) {}

    /** Returns whether a job of this class may run more than once; false if that is not known. */
    boolean mayRunAgain(String jobClass);

    /** A client has submitted a job. */
    void jobArrived(long nowNs, Job job);

    /** The worker reports that it has started the job. */
    void attemptStarted(long nowNs, String jobId, int attempt);

    /** The worker reports the progress of the job. */
    default void attemptProgressed(long nowNs, String jobId, int attempt, double shareDone) {
        attemptStarted(nowNs, jobId, attempt);
    }

    /** The answer has begun to stream to the client, so that no other attempt can serve it. */
    void attemptStreaming(long nowNs, String jobId, int attempt);

    /**
     * An attempt has ended.
     *
     * @param finallyAnswered whether the client has its final answer, by this outcome or an earlier
     *     one
     * @param loadReport the load report of the worker
     */
    void attemptFinished(
            long nowNs,
            String jobId,
            int attempt,
            AttemptOutcome outcome,
            boolean finallyAnswered,
            LoadReport loadReport);

    /** A probe has ended. */
    void workerProbed(long nowNs, String workerId, boolean answered, LoadReport loadReport);

    /** The client no longer waits for an answer. */
    void jobAbandoned(long nowNs, String jobId);

    /** A timer started by {@link PolicyActions#startTimer} has fired. */
    void timerFired(long nowNs, String token);
}
