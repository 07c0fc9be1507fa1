package postgrade.policy.api;

/** What a report of the worker list covers. */
public enum WorkerListUpdateType {
    /** The complete list as discovery tells it now. */
    FULL,
    /** The complete list as it was known before this process started; it may be out of date. */
    CACHED,
    /** Only the workers that have changed. */
    DELTA,
    /** The call for the list has failed, and nothing is known anew. */
    FAILED
}
