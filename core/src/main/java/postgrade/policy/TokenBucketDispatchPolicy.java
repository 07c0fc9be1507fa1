package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;

/**
 * The decision policy of one dispatcher: admission by token buckets, selection of the least loaded
 * worker, bounded retries. This class passes each event to the components that decide;
 * docs/design.md describes the design and under which conditions the policy departs from it.
 */
public final class TokenBucketDispatchPolicy implements DispatchPolicy {

    private static final String SWEEP_TIMER = "sweep";

    private final PolicyState state;
    private final PolicyStateTransfer stateTransfer;
    private final AttemptGuard attemptGuard;
    private final RetryController retryController;
    private final WorkerListUpdater workerListUpdater;
    private boolean sweepScheduled;

    /**
     * Creates a policy that knows no workers yet.
     *
     * @param seed the seed of its random choices
     */
    public TokenBucketDispatchPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        state = new PolicyState(settings, seed, actions);
        stateTransfer = new PolicyStateTransfer(state);
        attemptGuard = new AttemptGuard(state.context(), state.slowStart(), state.jobs());
        AdmissionController admission =
                new AdmissionController(
                        state.rateLimiter(),
                        state.classes(),
                        state.workers(),
                        state.capacity(),
                        state.fleetLoad());
        LeastLoadedSelector selector =
                new LeastLoadedSelector(state, state.slowStart(), attemptGuard);
        retryController = new RetryController(state, admission, selector, attemptGuard);
        workerListUpdater =
                new WorkerListUpdater(state.context(), state.workers(), state.slowStart());
    }

    @Override
    public void settingsChanged(long nowNs, PolicySettings settings) {
        state.settingsChanged(nowNs, settings);
    }

    @Override
    public void constraintsChanged(JobConstraints constraints) {
        state.context().constraints(constraints);
    }

    @Override
    public void quotaShareChanged(long nowNs, double share) {
        state.rateLimiter().quotaShareChanged(share);
    }

    @Override
    public List<PolicyStateEntry> exportState(long nowNs) {
        return stateTransfer.export(nowNs);
    }

    @Override
    public void importState(long nowNs, List<PolicyStateEntry> entries) {
        stateTransfer.importState(nowNs, entries);
    }

    @Override
    public void workersUpdated(long nowNs, WorkerListUpdateType type, List<WorkerInfo> workers) {
        workerListUpdater.update(nowNs, type, workers);
    }

    @Override
    public void workerReenabled(long nowNs, String workerId) {
        WorkerState worker = state.workers().get(workerId);
        if (worker != null) {
            worker.markReenabled();
        }
    }

    @Override
    public boolean mayRunAgain(String jobClass) {
        JobClassStats known = state.classes().get(jobClass);
        return known != null && known.jobClass().idempotency() != Idempotency.NOT_IDEMPOTENT;
    }

    @Override
    public void jobArrived(long nowNs, Job job) {
        JobClassStats jobClass = state.classes().get(job.jobClass());
        if (jobClass == null) {
            throw new IllegalArgumentException("unknown class " + job.jobClass());
        }
        if (state.jobs().containsKey(job.id())) {
            return; // The first job with this id is still in flight.
        }
        long startDelayNs = state.context().constraints().startDelayNs(nowNs, job);
        if (startDelayNs > 0) {
            // Not capped at maxRetryAfterNs: a start window may be hours away.
            state.context()
                    .actions()
                    .reject(job.id(), startDelayNs, DecisionReason.NOT_ALLOWED_NOW);
            return;
        }
        long rateLimitedForNs = state.rateLimiter().charge(nowNs, job);
        boolean withinQuota = rateLimitedForNs == 0;
        long retryAfterNs = withinQuota ? WorkerListUpdater.INITIAL_RETRY_NS : rateLimitedForNs;
        InFlightJob inFlight = new InFlightJob(job, jobClass, nowNs, withinQuota, retryAfterNs);
        state.jobs().put(job.id(), inFlight);
        retryController.dispatch(nowNs, inFlight);
        scheduleSweep();
    }

    @Override
    public void jobAbandoned(long nowNs, String jobId) {
        InFlightJob job = state.jobs().get(jobId);
        if (job != null) {
            job.markAnswered();
            attemptGuard.release(job);
        }
    }

    @Override
    public void attemptStarted(long nowNs, String jobId, int attempt) {
        AttemptRecord attemptRecord = attemptInFlight(jobId, attempt);
        if (attemptRecord != null) {
            state.queueingDelay().recordStart(nowNs, attemptRecord);
        }
    }

    @Override
    public void attemptStreaming(long nowNs, String jobId, int attempt) {
        attemptStarted(nowNs, jobId, attempt);
        AttemptRecord attemptRecord = attemptInFlight(jobId, attempt);
        if (attemptRecord != null) {
            attemptRecord.job().markStreaming();
        }
    }

    @Override
    public void attemptFinished(
            long nowNs,
            String jobId,
            int attemptNumber,
            AttemptOutcome outcome,
            boolean finallyAnswered,
            LoadReport loadReport) {
        AttemptRecord attempt = attemptInFlight(jobId, attemptNumber);
        if (attempt == null) {
            return;
        }
        InFlightJob job = attempt.job();
        attempt.worker().updateAverageUsedSlots(nowNs);
        job.endAttempt(attempt, outcome.provesNotRun());
        state.capacity().recordReport(nowNs, attempt.worker(), loadReport);
        state.outlierDetector().recordAttemptEnd(nowNs, attempt, outcome);
        if (outcome == AttemptOutcome.SERVED) {
            state.retryBudget().earn();
            state.serviceTime().recordServed(nowNs, attempt);
        }
        if (finallyAnswered) {
            job.markAnswered();
        }
        if (job.isAnswered()) {
            attemptGuard.release(job);
        } else if (job.attemptsInFlight() == 0) {
            retryController.retry(nowNs, job, attempt, outcome);
        }
    }

    /**
     * Returns the attempt of this number, or null if the job is unknown or the attempt has ended.
     */
    private AttemptRecord attemptInFlight(String jobId, int attemptNumber) {
        InFlightJob job = state.jobs().get(jobId);
        return job == null ? null : job.attemptInFlight(attemptNumber);
    }

    @Override
    public void workerProbed(long nowNs, String workerId, boolean answered, LoadReport loadReport) {
        WorkerState worker = state.workers().get(workerId);
        if (worker != null && answered) {
            state.capacity().recordReport(nowNs, worker, loadReport);
        }
    }

    @Override
    public void timerFired(long nowNs, String token) {
        if (token.equals(WorkerListUpdater.RETRY_TIMER)) {
            state.context().actions().watchWorkers();
        } else if (token.equals(SWEEP_TIMER)) {
            sweepScheduled = false;
            new ArrayList<>(state.jobs().values())
                    .forEach(job -> retryController.sweep(nowNs, job));
            scheduleSweep();
        }
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !state.jobs().isEmpty()) {
            sweepScheduled = true;
            state.context().actions().startTimer(SWEEP_TIMER, RetryController.SWEEP_INTERVAL_NS);
        }
    }
}
