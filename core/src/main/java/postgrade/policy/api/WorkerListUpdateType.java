package postgrade.policy.api;

/** What an update of the worker list covers. */
public enum WorkerListUpdateType {
    /** The complete current list from discovery. */
    FULL,
    /** The complete list as known before this process started; it may be outdated. */
    CACHED,
    /** Only the workers that have changed. */
    DELTA,
    /** The request for the list has failed; nothing has changed. */
    FAILED
}
