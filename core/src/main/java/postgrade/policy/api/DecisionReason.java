package postgrade.policy.api;

/** Why a policy gives a final answer that is not a result, or cancels an attempt. */
public enum DecisionReason {
    /** The policy states none. */
    UNSTATED,
    /** A rate limit stands against the job, and it may not wait. */
    OVER_QUOTA,
    /** No worker has room for it in time. */
    NO_ROOM,
    /** The job may not start now, by a constraint that is not the workers' load. */
    NOT_ALLOWED_NOW,
    /** Too little of the client's time is left. */
    DEADLINE_NEAR,
    /** The last attempt was not sent, as nobody wanted it any more. */
    UNWANTED,
    /** The answer has begun to stream. */
    STREAMING,
    /** The job may have run, and must not run twice. */
    MUST_NOT_REPEAT,
    /** The job's class or tenant fails wherever it is sent. */
    OWN_FAULT,
    /** The connections of too many of its attempts were reset. */
    REPEATED_RESETS,
    /** The job cannot be in time any more. */
    HOPELESS,
    /** Retries would feed an overload. */
    RETRY_BUDGET_EMPTY,
    /** As many attempts as the settings allow have been made. */
    ATTEMPTS_USED_UP,
    /** Another worker has room, and this one has not begun. */
    MOVED,
    /** The worker cannot use the request, and neither will another. */
    UNUSABLE,
    /** The request has its final answer, or its client has left. */
    ANSWERED
}
