package postgrade.policy.api;

/**
 * Constraints on a job beyond the policy's own rules, such as start windows and reservations of
 * workers. Asked for each job and worker on the dispatcher's thread, so an implementation answers
 * from memory and never waits.
 */
public interface JobConstraints {

    /** No constraints: every job may start at once on the whole of every worker. */
    JobConstraints NONE = new JobConstraints() {};

    /** How long the job may not start yet; 0 if it may start now. It is rejected until then. */
    default long startDelayNs(long nowNs, Job job) {
        return 0;
    }

    /** The share of the worker that the job may use, from 0 for none of it to 1 for all. */
    default double usableShare(long nowNs, Job job, WorkerInfo worker) {
        return 1;
    }
}
