package postgrade.fleet.model;

/** Hears what becomes of jobs at a worker. */
public interface Listener {

    void started(long nowMicros, Job job);

    /**
     * @param share of its work done, 0 to 1
     */
    void progress(long nowMicros, Job job, double share);

    void done(long nowMicros, Job job);

    void failed(long nowMicros, Job job);

    /** Handed back unstarted, since the worker drains. */
    void returned(long nowMicros, Job job);

    /** A cold worker was sent more than it bears, and is down: all its jobs are lost. */
    void fellOver(long nowMicros);
}
