package postgrade.policy;

import java.util.Map;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.WorkerInfo;

/**
 * Keeps the rules on attempts and final answers: nothing that must not run twice is sent again,
 * nothing goes to a worker that is not ready, and each job has one final answer. Every attempt and
 * every answer passes here.
 */
final class AttemptGuard {

    private final PolicyContext context;
    private final SlowStartLimiter slowStart;
    private final Map<String, InFlightJob> jobs;

    /**
     * @param jobs in flight by id; those that are over are removed
     */
    AttemptGuard(PolicyContext context, SlowStartLimiter slowStart, Map<String, InFlightJob> jobs) {
        this.context = context;
        this.slowStart = slowStart;
        this.jobs = jobs;
    }

    /**
     * Whether the job may go there once none of its attempts is out: one that would move asks
     * before it is cancelled.
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

    /** Whether a repeat there cannot run the job twice. */
    private static boolean mayRepeat(long nowNs, InFlightJob job, WorkerInfo worker) {
        AttemptRecord binding = job.earliestPossibleRun();
        if (binding == null) {
            return true;
        }
        DeduplicationScope scope = job.jobClass().jobClass().deduplicationScope();
        return job.idempotency() == Idempotency.DEDUPLICATED
                && scope.covers(binding.worker().info(), worker)
                && repeatWindowNs(nowNs, job, binding) > 0;
    }

    /** For how long a repeat may still be sent. */
    private static long repeatWindowNs(long nowNs, InFlightJob job, AttemptRecord binding) {
        long windowNs = job.jobClass().jobClass().deduplicationWindowNs();
        return binding.sentNs() + windowNs - RetryController.SWEEP_INTERVAL_NS - nowNs;
    }

    /** Whether trying again is harmless for the client. */
    boolean mayReject(InFlightJob job) {
        boolean repeatsAreDropped =
                job.idempotency() == Idempotency.DEDUPLICATED
                        && job.jobClass().jobClass().deduplicationScope() == DeduplicationScope.ALL;
        return !job.isAnswered() && (repeatsAreDropped || job.earliestPossibleRun() == null);
    }

    /** Sends the job there if the rules allow it. */
    void send(long nowNs, InFlightJob job, WorkerState worker) {
        boolean another = job.attemptsInFlight() > 0;
        boolean forbidden = another && !context.settings().allowsConcurrentAttempts;
        if (forbidden || !maySend(nowNs, job, worker)) {
            return;
        }
        AttemptRecord binding = job.earliestPossibleRun();
        long windowNs = binding == null ? Long.MAX_VALUE : repeatWindowNs(nowNs, job, binding);
        slowStart.recordSent(nowNs, job, worker);
        worker.markTrialSent();
        worker.updateAverageUsedSlots(nowNs);
        job.beginAttempt(nowNs, worker);
        context.actions().startAttempt(job.id(), worker.id(), 0, windowNs);
    }

    /** Gives the final answer: a rejection where trying again is harmless, a failure otherwise. */
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

    /** Cancels the attempts of an answered job, and forgets it once none is out. */
    void release(InFlightJob job) {
        for (int number = 0; number < job.attemptCount(); number++) {
            cancel(job, number, DecisionReason.ANSWERED);
        }
        if (job.attemptsInFlight() == 0) {
            jobs.remove(job.id());
        }
    }

    /** Cancels an attempt that is out, once, where the settings allow it. */
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
