package postgrade.policy.api;

/** The outcome of an attempt at a worker. */
public enum AttemptOutcome {
    /** The worker completed the job. */
    SERVED,
    /** The worker failed the job, which may have taken effect. */
    ERROR,
    /** The worker had no capacity and did not run the job. */
    FULL,
    /** The attempt timed out; the job may have run. */
    TIMEOUT,
    /** No connection to the worker could be established; the job did not run. */
    UNREACHABLE,
    /** The connection was reset after the request was sent; the job may have run. */
    RESET,
    /** The attempt was cancelled; the job may have run. */
    CANCELLED,
    /** The request was not sent, as it was no longer wanted or the worker was draining. */
    NOT_SENT,
    /**
     * This process could not open a connection for lack of a socket, port or route; reveals nothing
     * about the worker.
     */
    NO_SOCKET;

    /** Whether the outcome proves that the job did not run. */
    public boolean provesNotRun() {
        return this == FULL || this == UNREACHABLE || this == NOT_SENT || this == NO_SOCKET;
    }
}
