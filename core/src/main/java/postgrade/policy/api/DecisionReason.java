package postgrade.policy.api;

/** Why a policy gives a final answer that is not a result, or cancels an attempt. */
public enum DecisionReason {
    /** The policy gives no reason. */
    UNSTATED,
    /** The job exceeds a rate limit and may not wait. */
    OVER_QUOTA,
    /** No worker has capacity for the job in time. */
    NO_ROOM,
    /** A constraint other than the load of the workers forbids the job to start now. */
    NOT_ALLOWED_NOW,
    /** Too little time is left until the client's deadline. */
    DEADLINE_NEAR,
    /** The last attempt was not sent, as it was no longer wanted. */
    UNWANTED,
    /** The answer has begun to stream. */
    STREAMING,
    /** The job may have run, and must not run twice. */
    MUST_NOT_REPEAT,
    /** Jobs of this class or tenant fail at all workers. */
    OWN_FAULT,
    /** The connections of too many attempts of the job were reset. */
    REPEATED_RESETS,
    /** The job can no longer be in time. */
    HOPELESS,
    /** The retry budget is empty; retries would amplify an overload. */
    RETRY_BUDGET_EMPTY,
    /** The job has had as many attempts as the settings allow. */
    ATTEMPTS_USED_UP,
    /** Another worker has free capacity, and this one has not started the job. */
    MOVED,
    /** The worker cannot process the request, and neither could another worker. */
    UNUSABLE,
    /** The request has its final answer, or its client no longer waits for one. */
    ANSWERED
}
