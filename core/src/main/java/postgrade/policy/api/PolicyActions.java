package postgrade.policy.api;

/**
 * The actions that a {@link DispatchPolicy} decides on. Called on the thread of the event that is
 * being handled.
 */
public interface PolicyActions {

    /**
     * Starts an attempt. A job's attempts are numbered from 0 in the order of these calls.
     *
     * @param timeoutNs how long the attempt may take; 0 for as long as the client waits
     */
    void startAttempt(String jobId, String workerId, long timeoutNs);

    /**
     * As above, for a request that must not be sent late: it is sent within {@code sendWithinNs},
     * however long connecting takes, or not at all.
     */
    default void startAttempt(String jobId, String workerId, long timeoutNs, long sendWithinNs) {
        startAttempt(jobId, workerId, timeoutNs);
    }

    /** Cancels an attempt. Its end is still reported by {@link DispatchPolicy#attemptFinished}. */
    void cancelAttempt(String jobId, int attempt);

    /** As above, with the reason for the log. */
    default void cancelAttempt(String jobId, int attempt, DecisionReason reason) {
        cancelAttempt(jobId, attempt);
    }

    /**
     * Gives the final answer that the job is rejected: submitting it again is safe.
     *
     * @param retryAfterNs when the client may retry; 0 for no advice
     */
    void reject(String jobId, long retryAfterNs);

    /** As above, with the reason for the log. */
    default void reject(String jobId, long retryAfterNs, DecisionReason reason) {
        reject(jobId, retryAfterNs);
    }

    /** Gives the final answer that the job has failed; it may or may not have taken effect. */
    void fail(String jobId);

    /** As above, with the reason for the log. */
    default void fail(String jobId, DecisionReason reason) {
        fail(jobId);
    }

    /** Probes the health of a worker. */
    void probe(String workerId);

    /** Calls {@link DispatchPolicy#timerFired} with this token after the delay. */
    void startTimer(String token, long delayNs);

    /** Subscribes to updates of the worker list. */
    void watchWorkers();
}
