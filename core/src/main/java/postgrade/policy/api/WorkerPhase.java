package postgrade.policy.api;

/** The lifecycle phase of a worker, as reported by discovery. */
public enum WorkerPhase {
    /** Accepts jobs. */
    READY,
    /** Completes its jobs and accepts no new ones. */
    DRAINING,
    /** No longer listed. */
    GONE
}
