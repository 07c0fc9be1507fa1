package postgrade.policy;

import java.util.Map;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.WorkerInfo;

/**
 * Enforces the rules on attempts and final answers: a job that must not run twice is not sent
 * again, nothing is sent to a worker that is not ready, and each job has exactly one final answer.
 * Every attempt and every answer goes through this class.
 */
final class AttemptGuard {

    private final PolicyContext context;
    private final SlowStartLimiter slowStart;
    private final Map<String, InFlightJob> jobs;

    /**
     * @param jobs the jobs in flight by id; completed ones are removed from it
     */
    AttemptGuard(PolicyContext context, SlowStartLimiter slowStart, Map<String, InFlightJob> jobs) {
        this.context = context;
        this.slowStart = slowStart;
        this.jobs = jobs;
    }

    /**
     * Whether the job may be sent to the worker once none of its attempts is in flight. For a
     * queued job that is to move, this is asked before its attempt is cancelled.
     */
    boolean maySend(long nowNs, InFlightJob job, WorkerState worker) {
        return !job.isAnswered()
                && job.attemptCount() < context.settings().maxAttempts
                && nowNs < job.deadlineNs()
                && worker.isReady()
                && runsOn(job, worker.info())
                && mayRepeat(nowNs, job, worker.info())
                && slowStart.permits(nowNs, job, worker)
                && context.constraints().usableShare(nowNs, job.job(), worker.info()) > 0;
    }

    private static boolean runsOn(InFlightJob job, WorkerInfo worker) {
        String required = job.jobClass().jobClass().requiredWorkerKind();
        return required == null || required.equals(worker.kind());
    }

    /** Whether a repeat at the worker cannot make the job take effect twice. */
    private static boolean mayRepeat(long nowNs, InFlightJob job, WorkerInfo worker) {
        AttemptRecord possibleRun = job.earliestPossibleRun();
        if (possibleRun == null) {
            return true;
        }
        DeduplicationScope scope = job.jobClass().jobClass().deduplicationScope();
        return job.idempotency() == Idempotency.DEDUPLICATED
                && scope.covers(possibleRun.worker().info(), worker)
                && repeatWindowNs(nowNs, job, possibleRun) > 0;
    }

    /** Returns for how long a repeat may still be sent; not positive once the window is over. */
    private static long repeatWindowNs(long nowNs, InFlightJob job, AttemptRecord possibleRun) {
        long windowNs = job.jobClass().jobClass().deduplicationWindowNs();
        return possibleRun.sentNs() + windowNs - RetryController.SWEEP_INTERVAL_NS - nowNs;
    }

    /** Whether the client can safely submit the job again. */
    boolean mayReject(InFlightJob job) {
        boolean repeatsAreDeduplicated =
                job.idempotency() == Idempotency.DEDUPLICATED
                        && job.jobClass().jobClass().deduplicationScope() == DeduplicationScope.ALL;
        return !job.isAnswered() && (repeatsAreDeduplicated || job.earliestPossibleRun() == null);
    }

    /** Sends the job to the worker if the rules allow it. */
    void send(long nowNs, InFlightJob job, WorkerState worker) {
        boolean isConcurrent = job.attemptsInFlight() > 0;
        boolean forbidden = isConcurrent && !context.settings().allowsConcurrentAttempts;
        if (forbidden || !maySend(nowNs, job, worker)) {
            return;
        }
        AttemptRecord possibleRun = job.earliestPossibleRun();
        long windowNs =
                possibleRun == null ? Long.MAX_VALUE : repeatWindowNs(nowNs, job, possibleRun);
        slowStart.recordSent(nowNs, job, worker);
        worker.markTrialSent();
        worker.updateAverageUsedSlots(nowNs);
        job.beginAttempt(nowNs, worker);
        context.actions().startAttempt(job.id(), worker.id(), 0, windowNs);
    }

    /**
     * Gives the final answer: a rejection if the client can safely submit the job again, else a
     * failure.
     */
    void conclude(long nowNs, InFlightJob job, DecisionReason reason) {
        if (mayReject(job) && nowNs < job.deadlineNs()) {
            long retryAfterNs = Math.min(job.retryAfterNs(), context.settings().maxRetryAfterNs);
            context.actions().reject(job.id(), retryAfterNs, reason);
        } else if (!job.isAnswered()) {
            context.actions().fail(job.id(), reason);
        }
        job.markAnswered();
        release(job);
    }

    /** Cancels the attempts of an answered job, and removes the job once none is in flight. */
    void release(InFlightJob job) {
        for (int number = 0; number < job.attemptCount(); number++) {
            cancel(job, number, DecisionReason.ANSWERED);
        }
        if (job.attemptsInFlight() == 0) {
            jobs.remove(job.id());
        }
    }

    /** Cancels an attempt that is in flight, at most once and only if the settings allow it. */
    void cancel(InFlightJob job, int number, DecisionReason reason) {
        AttemptRecord attempt = job.attempt(number);
        if (!attempt.hasEnded()
                && !attempt.isCancelled()
                && context.settings().allowsCancellation) {
            attempt.markCancelled();
            context.actions().cancelAttempt(job.id(), number, reason);
        }
    }
}
