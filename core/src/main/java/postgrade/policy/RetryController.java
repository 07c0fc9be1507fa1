package postgrade.policy;

import java.util.Optional;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.Idempotency;

/**
 * Decides when a job is sent, waits, is sent again or moves to another worker, and when it is given
 * up.
 */
final class RetryController {

    /** Waiting jobs are looked at this often; also the margin kept before a client's deadline. */
    static final long SWEEP_INTERVAL_NS = 50_000_000L;

    /**
     * No further attempt for a job whose failures are its own by more than this, nor after so many
     * resets.
     */
    private static final double MAX_JOB_FAULT = 0.5;

    private static final int MAX_RESETS = 2;

    /**
     * What moving a queued job costs a lone dispatcher of the retry budget beyond 1; many share it.
     */
    private static final double MOVE_COST = 50;

    /**
     * Jobs differ in length: one that would end after this part of its target is cancelled before
     * it starts.
     */
    private static final double HOPELESS_TARGET_SHARE = 0.85;

    /**
     * Without a start report for so many service times of the longest class the job will not start.
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
            AttemptGuard guard) {
        context = state.context();
        classes = state.classes();
        queueingDelay = state.queueingDelay();
        serviceTime = state.serviceTime();
        outlierDetector = state.outlierDetector();
        retryBudget = state.retryBudget();
        this.admission = admission;
        this.selector = selector;
        this.attemptGuard = guard;
    }

    /**
     * Sends the job where there is room; within its quota also where there may be. Else it waits
     * for the next sweep, as long as it may yet be in time; a job beyond its quota does not wait.
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
                // The next sweep may come too late for an answer: a client's last try can start
                // near its end.
                && job.deadlineNs() - nowNs > 2 * SWEEP_INTERVAL_NS;
    }

    /**
     * Whether the job would be late there, could it start now; no job of a class that is unknown or
     * always late is.
     */
    private boolean isHopeless(long nowNs, InFlightJob job, WorkerState worker) {
        JobClassStats jobClass = job.jobClass();
        double leftNs =
                HOPELESS_TARGET_SHARE * jobClass.latencyTargetNs()
                        - serviceTime.serviceTimeNs(nowNs, jobClass, worker);
        return jobClass.served() > 0 && leftNs > 0 && nowNs - job.arrivedNs() > leftNs;
    }

    /**
     * An attempt has ended, no other is out and the client still waits: another attempt, or the
     * final answer.
     */
    void retry(long nowNs, InFlightJob job, AttemptRecord ended, AttemptOutcome outcome) {
        Optional<DecisionReason> over = reasonToStop(nowNs, job, ended, outcome);
        if (over.isPresent()) {
            attemptGuard.conclude(nowNs, job, over.get());
            return;
        }
        boolean free =
                ended.neverRan() || (ended.isCancelled() && outcome == AttemptOutcome.CANCELLED);
        if (free || retryBudget.trySpend(1)) {
            dispatch(nowNs, job);
        } else {
            attemptGuard.conclude(nowNs, job, DecisionReason.RETRY_BUDGET_EMPTY);
        }
    }

    /** Why the job gets no further attempt; empty if it may have one. */
    private Optional<DecisionReason> reasonToStop(
            long nowNs, InFlightJob job, AttemptRecord ended, AttemptOutcome outcome) {
        if (job.deadlineNs() - nowNs <= SWEEP_INTERVAL_NS) {
            return Optional.of(DecisionReason.DEADLINE_NEAR);
        }
        // Not sent to a worker that is draining says nothing of the job: another worker may take
        // it.
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

    /** Looks after a job at regular times. */
    void sweep(long nowNs, InFlightJob job) {
        boolean waits = !job.isAnswered();
        if (job.attemptsInFlight() == 1
                && context.settings().workersReportStart
                && nowNs < job.deadlineNs()) {
            checkQueuedAttempt(nowNs, job);
        } else if (waits && !job.isStreaming() && nowNs >= job.deadlineNs()) {
            attemptGuard.conclude(nowNs, job, DecisionReason.DEADLINE_NEAR);
        } else if (waits && job.attemptsInFlight() == 0) {
            dispatch(nowNs, job);
        }
    }

    /**
     * Looks after an attempt that has not started. A job that may be repeated is cancelled once it
     * cannot be in time, and moves after half its objective if another worker shows room: sooner,
     * and it would leave queues that are in time. Some workers run what was cancelled all the same
     * without saying so; few dispatchers place well, as each sees much of what a worker holds, and
     * so may hardly move.
     *
     * <p>An attempt that has not started when those before it must have ended is presumed lost. It
     * no longer counts as held there, or its worker would stand idle, and counts as a failure, so
     * that a worker that loses all is ejected long before time-outs tell.
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
        boolean movable =
                !attempt.isCancelled()
                        && context.settings().allowsCancellation
                        && job.idempotency() != Idempotency.NOT_IDEMPOTENT;
        if (movable && isHopeless(nowNs, job, attempt.worker())) {
            attemptGuard.cancel(job, number, DecisionReason.HOPELESS);
        } else if (movable && shouldMove(nowNs, job, attempt)) {
            retryBudget.trySpend(moveCost());
            attemptGuard.cancel(job, number, DecisionReason.MOVED);
        } else if (!attempt.isPresumedLost()
                && nowNs - attempt.sentNs()
                        > LOST_AFTER_SERVICE_TIMES * classes.longestServiceTimeNs()) {
            attempt.markPresumedLost();
            attempt.worker().recordQueueingDelay(nowNs, 0); // It stands in no queue.
            outlierDetector.recordWorkerFailure(nowNs, attempt.worker(), 1);
        }
    }

    private boolean shouldMove(long nowNs, InFlightJob job, AttemptRecord attempt) {
        long patienceNs =
                Math.max(
                        FleetLoadEstimator.ROUND_TRIP_NS,
                        job.jobClass().jobClass().latencyObjectiveNs() / 2);
        return nowNs - attempt.sentNs() >= patienceNs
                && retryBudget.canSpend(moveCost())
                && selector.select(nowNs, job, true) != null;
    }

    private double moveCost() {
        return 1 + MOVE_COST / context.settings().dispatcherCount;
    }
}
