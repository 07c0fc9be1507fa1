package postgrade.policy;

import java.util.Optional;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.Idempotency;

/**
 * Decides when a job is sent, waits, is retried or moves to another worker, and when it is
 * abandoned.
 */
final class RetryController {

    /**
     * Interval at which waiting jobs are checked; also the margin kept before a client's deadline.
     */
    static final long SWEEP_INTERVAL_NS = 50_000_000L;

    /** A job is not retried if more than this share of the failure is attributed to it. */
    private static final double MAX_JOB_FAULT = 0.5;

    /** A job is not retried after this many reset connections. */
    private static final int MAX_RESETS = 2;

    /**
     * Cost of moving a queued job beyond 1, in retry budget; it is divided by the number of
     * dispatchers.
     */
    private static final double MOVE_COST = 50;

    /**
     * Share of its latency target within which a queued job must be expected to end, or it is
     * cancelled before it starts. It is below 1 as jobs differ in length.
     */
    private static final double HOPELESS_TARGET_SHARE = 0.85;

    /**
     * A job without a start report for this many service times of the longest class is presumed
     * lost.
     */
    private static final double LOST_AFTER_SERVICE_TIMES = 2;

    private final PolicyContext context;
    private final JobClassTable classes;
    private final QueueingDelayEstimator queueingDelay;
    private final ServiceTimeEstimator serviceTime;
    private final AdmissionController admission;
    private final LeastLoadedSelector selector;
    private final AttemptGuard attemptGuard;
    private final OutlierDetector outlierDetector;
    private final RetryBudget retryBudget;

    RetryController(
            PolicyState state,
            AdmissionController admission,
            LeastLoadedSelector selector,
            AttemptGuard attemptGuard) {
        context = state.context();
        classes = state.classes();
        queueingDelay = state.queueingDelay();
        serviceTime = state.serviceTime();
        outlierDetector = state.outlierDetector();
        retryBudget = state.retryBudget();
        this.admission = admission;
        this.selector = selector;
        this.attemptGuard = attemptGuard;
    }

    /**
     * Sends the job to a worker; beyond its quota only to one with free capacity. If there is no
     * such worker, the job waits for the next sweep as long as it can still be in time; a job
     * beyond its quota does not wait.
     */
    void dispatch(long nowNs, InFlightJob job) {
        boolean admitted = job.attemptCount() > 0 || admission.admits(nowNs, job);
        WorkerState worker = admitted ? selector.select(nowNs, job, !job.withinQuota()) : null;
        if (worker != null) {
            attemptGuard.send(nowNs, job, worker);
        } else if (!mayWait(nowNs, job)) {
            attemptGuard.conclude(nowNs, job, reasonNotToWait(nowNs, job));
        }
    }

    private DecisionReason reasonNotToWait(long nowNs, InFlightJob job) {
        if (job.attemptCount() >= context.settings().maxAttempts) {
            return DecisionReason.ATTEMPTS_USED_UP;
        }
        if (!job.withinQuota()) {
            return DecisionReason.OVER_QUOTA;
        }
        boolean late = job.deadlineNs() - nowNs <= 2 * SWEEP_INTERVAL_NS;
        return late ? DecisionReason.DEADLINE_NEAR : DecisionReason.NO_ROOM;
    }

    private boolean mayWait(long nowNs, InFlightJob job) {
        return job.attemptCount() < context.settings().maxAttempts
                && (job.withinQuota() || !attemptGuard.mayReject(job))
                && nowNs - job.arrivedNs() < job.jobClass().jobClass().latencyObjectiveNs()
                // The next sweep may come too late for an answer, as a client's last
                // retry can arrive close to its deadline.
                && job.deadlineNs() - nowNs > 2 * SWEEP_INTERVAL_NS;
    }

    /**
     * Whether the job would be late even if it started at the worker now. Never true for classes of
     * which no job has been served or whose jobs are always late.
     */
    private boolean isHopeless(long nowNs, InFlightJob job, WorkerState worker) {
        JobClassStats jobClass = job.jobClass();
        double leftNs =
                HOPELESS_TARGET_SHARE * jobClass.latencyTargetNs()
                        - serviceTime.serviceTimeNs(nowNs, jobClass, worker);
        return jobClass.served() > 0 && leftNs > 0 && nowNs - job.arrivedNs() > leftNs;
    }

    /**
     * Makes another attempt or gives the final answer, after an attempt has ended while no other is
     * in flight and the client still waits.
     */
    void retry(long nowNs, InFlightJob job, AttemptRecord ended, AttemptOutcome outcome) {
        Optional<DecisionReason> stopReason = reasonToStop(nowNs, job, ended, outcome);
        if (stopReason.isPresent()) {
            attemptGuard.conclude(nowNs, job, stopReason.get());
            return;
        }
        boolean isFree =
                ended.neverRan() || (ended.isCancelled() && outcome == AttemptOutcome.CANCELLED);
        if (isFree || retryBudget.trySpend(1)) {
            dispatch(nowNs, job);
        } else {
            attemptGuard.conclude(nowNs, job, DecisionReason.RETRY_BUDGET_EMPTY);
        }
    }

    /** Returns why the job gets no further attempt; empty if it may have one. */
    private Optional<DecisionReason> reasonToStop(
            long nowNs, InFlightJob job, AttemptRecord ended, AttemptOutcome outcome) {
        if (job.deadlineNs() - nowNs <= SWEEP_INTERVAL_NS) {
            return Optional.of(DecisionReason.DEADLINE_NEAR);
        }
        // A request not sent because its worker is draining is still wanted: another worker may
        // take it.
        if (outcome == AttemptOutcome.NOT_SENT && ended.worker().isReady()) {
            return Optional.of(DecisionReason.UNWANTED);
        }
        if (job.isStreaming()) {
            return Optional.of(DecisionReason.STREAMING);
        }
        if (!ended.neverRan() && job.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return Optional.of(DecisionReason.MUST_NOT_REPEAT);
        }
        if (!ended.neverRan() && outlierDetector.jobFault(job) > MAX_JOB_FAULT) {
            return Optional.of(DecisionReason.OWN_FAULT);
        }
        return reasonToStopByHistory(nowNs, job, ended, outcome);
    }

    private Optional<DecisionReason> reasonToStopByHistory(
            long nowNs, InFlightJob job, AttemptRecord ended, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.RESET && job.recordReset() == MAX_RESETS) {
            return Optional.of(DecisionReason.REPEATED_RESETS);
        }
        if (ended.isCancelled() && isHopeless(nowNs, job, ended.worker())) {
            return Optional.of(DecisionReason.HOPELESS);
        }
        return Optional.empty();
    }

    /** Checks a job; called at each sweep. */
    void sweep(long nowNs, InFlightJob job) {
        boolean isUnanswered = !job.isAnswered();
        if (job.attemptsInFlight() == 1
                && context.settings().workersReportStart
                && nowNs < job.deadlineNs()) {
            checkQueuedAttempt(nowNs, job);
        } else if (isUnanswered && !job.isStreaming() && nowNs >= job.deadlineNs()) {
            attemptGuard.conclude(nowNs, job, DecisionReason.DEADLINE_NEAR);
        } else if (isUnanswered && job.attemptsInFlight() == 0) {
            dispatch(nowNs, job);
        }
    }

    /**
     * Checks an attempt that has not started. A repeatable job is cancelled once it cannot be in
     * time, and moves after half its latency objective if another worker has free capacity; moving
     * sooner would take jobs out of queues in which they are in time. Moves are limited by the
     * retry budget, as some workers run cancelled jobs without reporting it. Few dispatchers may
     * move very little: each of them sees much of what a worker holds and so selects workers well.
     *
     * <p>An attempt that has not started by the time that all jobs before it must have ended is
     * presumed lost. It no longer counts as held by the worker, which would otherwise stay idle,
     * and it counts as a failure, so that a worker that loses all jobs is ejected long before
     * attempts time out.
     */
    private void checkQueuedAttempt(long nowNs, InFlightJob job) {
        AttemptRecord attempt = job.latestAttempt();
        if (attempt.hasEnded() || attempt.hasStarted()) {
            return;
        }
        if (!attempt.isPresumedLost()) {
            queueingDelay.recordStillQueued(nowNs, attempt);
        }
        int number = job.attemptCount() - 1;
        boolean isMovable =
                !attempt.isCancelled()
                        && context.settings().allowsCancellation
                        && job.idempotency() != Idempotency.NOT_IDEMPOTENT;
        if (isMovable && isHopeless(nowNs, job, attempt.worker())) {
            attemptGuard.cancel(job, number, DecisionReason.HOPELESS);
        } else if (isMovable && shouldMove(nowNs, job, attempt)) {
            retryBudget.trySpend(moveCost());
            attemptGuard.cancel(job, number, DecisionReason.MOVED);
        } else if (!attempt.isPresumedLost()
                && nowNs - attempt.sentNs()
                        > LOST_AFTER_SERVICE_TIMES * classes.longestServiceTimeNs()) {
            attempt.markPresumedLost();
            attempt.worker().recordQueueingDelay(nowNs, 0); // It is not queued.
            outlierDetector.recordWorkerFailure(nowNs, attempt.worker(), 1);
        }
    }

    private boolean shouldMove(long nowNs, InFlightJob job, AttemptRecord attempt) {
        long moveAfterNs =
                Math.max(
                        FleetLoadEstimator.ROUND_TRIP_NS,
                        job.jobClass().jobClass().latencyObjectiveNs() / 2);
        return nowNs - attempt.sentNs() >= moveAfterNs
                && retryBudget.canSpend(moveCost())
                && selector.select(nowNs, job, true) != null;
    }

    private double moveCost() {
        return 1 + MOVE_COST / context.settings().dispatcherCount;
    }
}
