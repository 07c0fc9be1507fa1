package postgrade.policy.api;

/**
 * What a {@link DispatchPolicy} decides. Called on the thread of the event that is being decided
 * on.
 */
public interface PolicyActions {

    /**
     * Starts an attempt. A job's attempts are numbered from 0 in the order of these calls.
     *
     * @param limitNs how long the attempt may take; 0 for as long as the client waits
     */
    void startAttempt(String jobId, String workerId, long limitNs);

    /**
     * As above, for a request that must not go out late: it is sent within {@code windowNs},
     * however long its connection takes, or not at all.
     */
    default void startAttempt(String jobId, String workerId, long limitNs, long windowNs) {
        startAttempt(jobId, workerId, limitNs);
    }

    /**
     * Cancels an attempt. Its end is told by {@link DispatchPolicy#attemptFinished} all the same.
     */
    void cancelAttempt(String jobId, int attempt);

    /** As above, with the reason for the log. */
    default void cancelAttempt(String jobId, int attempt, DecisionReason reason) {
        cancelAttempt(jobId, attempt);
    }

    /**
     * The final answer: the job has not run, and trying again is harmless.
     *
     * @param retryAfterNs when the client may come again; 0 for no advice
     */
    void reject(String jobId, long retryAfterNs);

    /** As above, with the reason for the log. */
    default void reject(String jobId, long retryAfterNs, DecisionReason reason) {
        reject(jobId, retryAfterNs);
    }

    /** The final answer: the job has failed, and nothing is promised of its effect. */
    void fail(String jobId);

    /** As above, with the reason for the log. */
    default void fail(String jobId, DecisionReason reason) {
        fail(jobId);
    }

    /** Asks a worker whether it is well. */
    void probe(String workerId);

    /** Has {@link DispatchPolicy#timerFired} called with this token after so long. */
    void startTimer(String token, long inNs);

    /** Subscribes to changes of the worker list. */
    void watchWorkers();
}
