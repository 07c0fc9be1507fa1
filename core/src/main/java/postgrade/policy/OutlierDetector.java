package postgrade.policy;

import postgrade.policy.api.AttemptOutcome;

/**
 * Temporarily ejects workers that fail more than others.
 *
 * <p>A failure may be caused by the job: bad data of one tenant fails at every worker, and no
 * worker should be ejected for it. So a failure counts against the worker only as far as the job's
 * class and tenant do not fail more than all jobs do. This may protect a worker that is faulty for
 * one class only.
 */
final class OutlierDetector {

    /**
     * Maximum number of doublings of ejection times and of pauses between retries of the worker
     * list.
     */
    static final int MAX_DOUBLINGS = 3;

    /** A worker with a failure rate above this is ejected; healthy workers stay far below. */
    private static final double EJECTION_FAILURE_RATE = 0.45;

    private static final long BASE_EJECTION_NS = 1_500_000_000L;

    /**
     * At most this share of the ready workers is ejected; with more, the rest would be overloaded.
     */
    private static final double MAX_EJECTED_SHARE = 0.4;

    private final WorkerTable workers;
    private final RateLimiter rateLimiter;

    /** Moving average of failures among all jobs. */
    private double failureRate;

    OutlierDetector(WorkerTable workers, RateLimiter rateLimiter) {
        this.workers = workers;
        this.rateLimiter = rateLimiter;
    }

    /** Records the outcome of an attempt. */
    void recordAttemptEnd(long nowNs, AttemptRecord attempt, AttemptOutcome outcome) {
        WorkerState worker = attempt.worker();
        switch (outcome) {
            case SERVED -> {
                recordResult(attempt.job(), 0);
                worker.health().recordSuccess();
            }
            case FULL -> worker.recordFull(nowNs);
            case CANCELLED, NOT_SENT, NO_SOCKET -> {
                // These outcomes reveal nothing about the worker.
            }
            case UNREACHABLE -> eject(nowNs, worker);
            case ERROR, TIMEOUT, RESET -> {
                recordResult(attempt.job(), 1);
                double workerFault = attempt.isPresumedLost() ? 0 : 1 - jobFault(attempt.job());
                recordWorkerFailure(nowNs, worker, workerFault);
            }
        }
    }

    /**
     * @param workerFault how far the failure is attributed to the worker, from 0 to 1
     */
    void recordWorkerFailure(long nowNs, WorkerState worker, double workerFault) {
        worker.health().recordFailure(workerFault);
        if (worker.health().failureRate() > EJECTION_FAILURE_RATE) {
            eject(nowNs, worker);
        }
    }

    private void recordResult(InFlightJob job, double failed) {
        failureRate = Smoothing.next(failureRate, failed);
        job.jobClass().recordResult(failed);
        TokenBucket bucket = rateLimiter.tenantBucket(job.job().tenant());
        if (bucket != null) {
            bucket.recordResult(failed);
        }
    }

    /**
     * Returns how far a failure is attributed to the job: 1 if only jobs of its tenant or class
     * fail, 0 if all jobs fail alike.
     */
    double jobFault(InFlightJob job) {
        TokenBucket bucket = rateLimiter.tenantBucket(job.job().tenant());
        double tenantFailureRate = bucket == null ? 0 : bucket.failureRate();
        double jobFailureRate = Math.max(job.jobClass().failureRate(), tenantFailureRate);
        return Math.max(0, jobFailureRate - failureRate)
                / Math.max(Smoothing.RATE, 1 - failureRate);
    }

    private void eject(long nowNs, WorkerState worker) {
        long ejectedCount =
                workers.ready().stream().filter(other -> other.isEjected(nowNs)).count();
        boolean leavesEnough = ejectedCount + 1 <= workers.ready().size() * MAX_EJECTED_SHARE;
        if (!worker.isEjected(nowNs) && leavesEnough) {
            worker.health().eject(nowNs, BASE_EJECTION_NS, MAX_DOUBLINGS);
        }
    }

    void reset() {
        failureRate = 0;
    }
}
