package postgrade.policy.api;

/** Where a worker stands in its life, as discovery tells it. */
public enum WorkerPhase {
    /** Takes jobs. */
    READY,
    /** Completes what it has and takes no new jobs. */
    DRAINING,
    /** No longer listed. */
    GONE
}
