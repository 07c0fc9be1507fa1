package postgrade.policy.api;

import java.util.List;

/**
 * Decides for one dispatcher which jobs are admitted, which worker runs each, when an attempt is
 * repeated or cancelled, and what a client is answered.
 *
 * <p>Each event carries the time in nanoseconds of a monotonic clock. Decisions are made as calls
 * of {@link PolicyActions} before the event's method returns. An implementation does no input or
 * output, reads no clock and is not thread-safe: the dispatcher hands over events one after
 * another, on one thread. Events of unknown jobs and ended attempts are ignored.
 */
public interface DispatchPolicy {

    /** The list of workers has come, or could not be had. */
    void workersUpdated(long nowNs, WorkerListUpdateType form, List<WorkerInfo> workers);

    /**
     * An operator has put back a worker that was disabled and has been restarted since. The list
     * said so before this event.
     */
    default void workerReenabled(long nowNs, String workerId) {}

    /**
     * Other settings are in force. Jobs in flight keep the class that they came with. Where the
     * settings are of another {@link Deployment}, nothing that was learnt is kept.
     */
    default void settingsChanged(long nowNs, PolicySettings settings) {}

    /**
     * This process has so large a share of the dispatcher's quotas: other processes of the
     * dispatcher have come or gone.
     */
    default void quotaShareChanged(long nowNs, double share) {}

    /** These constraints are asked from now on. */
    default void constraintsChanged(JobConstraints constraints) {}

    /** What the next process of this dispatcher is to know. */
    default List<PolicyStateEntry> exportState(long nowNs) {
        return List.of();
    }

    /** Takes over what another process of this dispatcher has exported. The workers are known. */
    default void importState(long nowNs, List<PolicyStateEntry> figures) {}

    /** A client has submitted a job. */
    void jobArrived(long nowNs, Job job);

    /** The worker reports that it has started the job. */
    void attemptStarted(long nowNs, String jobId, int attempt);

    /** The worker reports the share of the job that is done. */
    default void attemptProgressed(long nowNs, String jobId, int attempt, double shareDone) {
        attemptStarted(nowNs, jobId, attempt);
    }

    /** The answer has begun to stream to the client, so that no other attempt can serve it. */
    void attemptStreaming(long nowNs, String jobId, int attempt);

    /**
     * An attempt has ended.
     *
     * @param last whether the client has its final answer, by this outcome or before
     * @param load what the worker reports of its load
     */
    void attemptFinished(
            long nowNs,
            String jobId,
            int attempt,
            AttemptOutcome outcome,
            boolean last,
            LoadReport load);

    /** A probe has ended. */
    void workerProbed(long nowNs, String workerId, boolean answered, LoadReport load);

    /** The client no longer waits for an answer. */
    void jobAbandoned(long nowNs, String jobId);

    /** A timer of {@link PolicyActions#startTimer} is due. */
    void timerFired(long nowNs, String token);
}
