package postgrade.policy.api;

/**
 * Constraints on jobs beyond the policy's own rules, such as start windows and reservations of
 * workers. They are queried for each job and worker on the dispatcher's thread, so implementations
 * must answer from memory and never block.
 */
public interface JobConstraints {

    /** No constraints: every job may start at once on the whole of every worker. */
    JobConstraints NONE = new JobConstraints() {};

    /**
     * Returns how long the job may not start yet; 0 if it may start now. Until then it is rejected.
     */
    default long startDelayNs(long nowNs, Job job) {
        return 0;
    }

    /** Returns the share of the worker that the job may use, from 0 for none to 1 for all of it. */
    default double usableShare(long nowNs, Job job, WorkerInfo worker) {
        return 1;
    }
}
