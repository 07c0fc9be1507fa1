package postgrade.policy.api;

/** How an attempt at a worker ended. */
public enum AttemptOutcome {
    /** The worker has completed the job. */
    SERVED,
    /** The worker has failed the job; it may have taken effect. */
    ERROR,
    /** The worker had no capacity and has not run the job. */
    FULL,
    /** The time for the attempt is over; the job may have run. */
    TIMEOUT,
    /** No connection to the worker came up; the job has not run. */
    UNREACHABLE,
    /** The connection broke after the request was sent; the job may have run. */
    RESET,
    /** The attempt was cancelled; the job may have run. */
    CANCELLED,
    /** The request was not sent, as it was no longer wanted or its worker was draining. */
    NOT_SENT,
    /**
     * This process could begin no connection, for want of a socket, port or route; it says nothing
     * of the worker.
     */
    NO_SOCKET;

    /** Whether the outcome proves that the job has not run. */
    public boolean provesNotRun() {
        return this == FULL || this == UNREACHABLE || this == NOT_SENT || this == NO_SOCKET;
    }
}
