package postgrade.policy;

/** One attempt to run a job on a worker. Times are in nanoseconds. */
final class AttemptRecord {

    private static final long NOT_STARTED = -1;

    private final InFlightJob job;
    private final WorkerState worker;
    private final long sentNs;
    private long startedNs = NOT_STARTED;
    private boolean ended;
    private boolean neverRan;
    private boolean cancelled;
    private boolean presumedLost;

    AttemptRecord(InFlightJob job, WorkerState worker, long sentNs) {
        this.job = job;
        this.worker = worker;
        this.sentNs = sentNs;
    }

    InFlightJob job() {
        return job;
    }

    WorkerState worker() {
        return worker;
    }

    long sentNs() {
        return sentNs;
    }

    boolean hasStarted() {
        return startedNs >= 0;
    }

    /**
     * Returns the time at which the worker reported the start of the job, or at which the attempt
     * was sent if there is no such report.
     */
    long startedOrSentNs() {
        return hasStarted() ? startedNs : sentNs;
    }

    void markStarted(long nowNs) {
        if (presumedLost) {
            worker.addJob(job.job());
        }
        startedNs = nowNs;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Whether the outcome of the attempt proved that the job did not run. */
    boolean neverRan() {
        return neverRan;
    }

    void markEnded(boolean provedNotRun) {
        ended = true;
        neverRan = provedNotRun;
        if (!presumedLost || hasStarted()) {
            worker.removeJob(job.job());
        }
    }

    boolean isCancelled() {
        return cancelled;
    }

    void markCancelled() {
        cancelled = true;
    }

    boolean isPresumedLost() {
        return presumedLost;
    }

    /**
     * Marks the attempt as not expected to start. Its job no longer counts as held by the worker,
     * unless it starts after all.
     */
    void markPresumedLost() {
        presumedLost = true;
        worker.removeJob(job.job());
    }
}
