package postgrade.policy;

import postgrade.policy.api.AttemptOutcome;

/**
 * Ejects workers that fail more than others, for a time.
 *
 * <p>A failure may be the job's own: one tenant's bad data fails at every worker it meets, and none
 * is to be ejected for it. So a failure counts against the worker only as far as other jobs do not
 * fail alike. This may shield a worker that is sick for one class only.
 */
final class OutlierDetector {

    /** Times of ejection and pauses between calls for the list double at most so often. */
    static final int MAX_DOUBLINGS = 3;

    /** A failure rate above this ejects a worker; a healthy one stays far below. */
    private static final double EJECTION_FAILURE_RATE = 0.45;

    private static final long BASE_EJECTION_NS = 1_500_000_000L;

    /** At most this part of the ready workers is ejected, or the rest would be overloaded. */
    private static final double MAX_EJECTED_SHARE = 0.4;

    private final WorkerTable workers;
    private final RateLimiter rateLimiter;

    /** The moving average of failures among all jobs. */
    private double failureRate;

    OutlierDetector(WorkerTable workers, RateLimiter rateLimiter) {
        this.workers = workers;
        this.rateLimiter = rateLimiter;
    }

    /** Learns from the end of an attempt. */
    void recordAttemptEnd(long nowNs, AttemptRecord attempt, AttemptOutcome outcome) {
        WorkerState worker = attempt.worker();
        switch (outcome) {
            case SERVED -> {
                recordResult(attempt.job(), 0);
                worker.health().recordSuccess();
            }
            case FULL -> worker.recordFull(nowNs);
            case CANCELLED, NOT_SENT, NO_SOCKET -> {
                // These say nothing of the worker.
            }
            case UNREACHABLE -> eject(nowNs, worker);
            case ERROR, TIMEOUT, RESET -> {
                recordResult(attempt.job(), 1);
                double fault = attempt.isPresumedLost() ? 0 : 1 - jobFault(attempt.job());
                recordWorkerFailure(nowNs, worker, fault);
            }
        }
    }

    /**
     * @param fault how far the failure is the worker's, from 0 to 1
     */
    void recordWorkerFailure(long nowNs, WorkerState worker, double fault) {
        worker.health().recordFailure(fault);
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
     * How far a failure is the job's own: 1 where only its tenant's or its class's jobs fail, 0
     * where all fail alike.
     */
    double jobFault(InFlightJob job) {
        TokenBucket bucket = rateLimiter.tenantBucket(job.job().tenant());
        double ofTenant = bucket == null ? 0 : bucket.failureRate();
        double own = Math.max(job.jobClass().failureRate(), ofTenant);
        return Math.max(0, own - failureRate) / Math.max(Smoothing.RATE, 1 - failureRate);
    }

    private void eject(long nowNs, WorkerState worker) {
        long ejected = workers.ready().stream().filter(other -> other.isEjected(nowNs)).count();
        boolean leavesEnough = ejected + 1 <= workers.ready().size() * MAX_EJECTED_SHARE;
        if (!worker.isEjected(nowNs) && leavesEnough) {
            worker.health().eject(nowNs, BASE_EJECTION_NS, MAX_DOUBLINGS);
        }
    }

    void reset() {
        failureRate = 0;
    }
}
