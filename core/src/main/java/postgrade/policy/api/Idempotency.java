package postgrade.policy.api;

/** Whether a job may be run again after an attempt that may have run it. */
public enum Idempotency {
    /** It may be run any number of times. */
    IDEMPOTENT,
    /** The workers of one {@link DeduplicationScope} drop repeats of it, for a limited time. */
    DEDUPLICATED,
    /** It must not run twice. */
    NOT_IDEMPOTENT
}
