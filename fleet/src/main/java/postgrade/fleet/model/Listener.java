package postgrade.fleet.model;

/** Hears what becomes of jobs at a worker. */
public interface Listener {

    void started(long nowMicros, WorkerModel.Job job);

    /** @param share of its work done, 0 to 1 */
    void progress(long nowMicros, WorkerModel.Job job, double share);

    void done(long nowMicros, WorkerModel.Job job);

    void failed(long nowMicros, WorkerModel.Job job);

    /** Handed back unstarted, since the worker drains. */
    void returned(long nowMicros, WorkerModel.Job job);

    /** A cold worker was sent more than it bears, and is down: all its jobs are lost. */
    void fellOver(long nowMicros);
}
