package postgrade.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import postgrade.dispatch.AnsweredRequest.Answer;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.TransferredFigures;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListForm;

/**
 * The core of the dispatcher. It tracks the requests in flight and their attempts, delivers events
 * to the policy and carries out what the policy decides. It knows no protocol: the clients' side
 * submits and abandons requests, the workers' side starts attempts and tells how they end.
 *
 * <p>What comes in during a turn of the loop is queued. {@link #runBatch} delivers it to the policy
 * in one go and then carries out the actions in their order; what those bring about waits for the
 * next turn. Used on the loop's thread alone. Times are microseconds of the loop's clock.
 */
public final class RequestTracker {

    /** When a client that finds every place taken may come back. */
    static final long FULL_RETRY_AFTER_MICROS = 500_000;

    private static final long NANOS_PER_MICRO = 1_000;

    /**
     * The policy answers by the deadline; what it has not answered so long after is failed here.
     */
    private static final long OVERDUE_GRACE_MICROS = 20_000;

    private final Timers timers;
    private final InternalErrorListener errors;
    private final DispatchPolicy policy;
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private final EventBatch batch;
    private final AttemptLifecycle lifecycle;
    private WorkerTransport transport;
    private int maxRequests;
    private boolean allowsConcurrentAttempts;

    /**
     * A tracker with no requests, whose policy is made here.
     *
     * @param policyFactory makes the policy, given where its actions go
     * @param allowsConcurrentAttempts whether two attempts of one request may be out at once
     * @param mostRequests how many requests may be in flight; further ones are rejected at once
     * @param errors is told what went wrong in the policy
     */
    public RequestTracker(
            Function<PolicyActions, DispatchPolicy> policyFactory,
            boolean allowsConcurrentAttempts,
            int maxRequests,
            Timers timers,
            InternalErrorListener errors) {
        this.timers = timers;
        this.errors = errors;
        this.maxRequests = maxRequests;
        this.allowsConcurrentAttempts = allowsConcurrentAttempts;
        batch = new EventBatch(timers, errors);
        lifecycle = new AttemptLifecycle(timers, errors, batch, this::policy);
        ActionQueue actions =
                new ActionQueue(
                        timers, errors, batch, lifecycle, requests, this::transport, this::policy);
        policy = policyFactory.apply(actions);
    }

    private DispatchPolicy policy() {
        return policy;
    }

    private WorkerTransport transport() {
        return transport;
    }

    /** Sets the side that speaks to workers. To be called once, before the first turn. */
    public void connectTransport(WorkerTransport newTransport) {
        transport = newTransport;
    }

    /** Sets who observes requests from now on, in place of any former one. */
    public void observer(RequestObserver newObserver) {
        lifecycle.observer(newObserver);
    }

    /**
     * Accepts a request, which is owed one answer from now on. Returns false, and does nothing, if
     * a request with its id is in flight.
     */
    public boolean submit(PendingRequest request) {
        if (requests.containsKey(request.id())) {
            return false; // The policy would ignore the second and never answer it.
        }
        if (lifecycle.unanswered() >= maxRequests) {
            // Bounds the memory: beyond this a request is rejected before the policy hears of it.
            lifecycle.rejectUntracked(request, FULL_RETRY_AFTER_MICROS);
            return true;
        }
        requests.put(request.id(), request);
        lifecycle.requestAccepted();
        long overdueMicros = request.deadlineMicros() + OVERDUE_GRACE_MICROS;
        request.startTracking(
                timers.nowMicros(),
                allowsConcurrentAttempts,
                timers.at(overdueMicros, () -> lifecycle.failOverdue(request)));
        batch.addEvent(nowNs -> deliverJob(nowNs, request));
        return true;
    }

    /**
     * Delivers a new request to the policy. One that the policy throws on is still owed its answer.
     */
    private void deliverJob(long nowNs, PendingRequest request) {
        try {
            policy.jobArrived(nowNs, request.toJob(nowNs));
        } catch (RuntimeException thrown) {
            errors.internalError(
                    InternalErrorListener.JOB_ARRIVAL_FAILED,
                    "the module could not take a job of class " + request.jobClass(),
                    thrown);
            lifecycle.failRequest(request, false, DecisionReason.UNSTATED);
        }
    }

    /** The client has left, and nothing more is owed to it. */
    public void clientDisconnected(PendingRequest request) {
        if (!request.isAnswered()) {
            lifecycle.conclude(request);
            notifyClientLeft(request);
            lifecycle.withdrawUnsent(request);
        }
    }

    /**
     * Answers the unanswered requests that have arrived since then, as there is no time left to
     * serve them.
     */
    public void failArrivedSince(long sinceMicros) {
        for (PendingRequest request : new ArrayList<>(requests.values())) {
            if (!request.isAnswered() && request.arrivedMicros() >= sinceMicros) {
                lifecycle.failRequest(request, false, DecisionReason.UNSTATED);
                notifyClientLeft(request);
            }
        }
    }

    private void notifyClientLeft(PendingRequest request) {
        lifecycle.notifyPolicy(request, nowNs -> policy.clientLeft(nowNs, request.id()));
    }

    // ---- From the workers' side.

    /**
     * A worker's call-back has come. Reports of unknown jobs, from other workers and of ended
     * attempts are ignored.
     *
     * @param shareDone for {@link ReportedState#RUNNING}
     * @param result for {@link ReportedState#DONE}, else null
     * @return false if no request with this id is in flight here
     */
    public boolean workerReported(
            String id, String workerId, ReportedState state, double fractionDone, byte[] result) {
        PendingRequest request = requests.get(id);
        Attempt attempt = request == null ? null : request.inFlightAttemptAt(workerId);
        if (attempt == null) {
            lifecycle.observer().reportUnmatched(id, workerId, state);
            return request != null;
        }
        int number = attempt.number();
        switch (state) {
            case STARTED -> {
                attempt.recordStart(timers.nowMicros());
                attempt.handle().startedByReport();
                lifecycle.notifyPolicy(request, nowNs -> policy.attemptStarted(nowNs, id, number));
            }
            case RUNNING -> {
                attempt.handle().startedByReport();
                lifecycle.notifyPolicy(
                        request,
                        nowNs -> policy.attemptProgressed(nowNs, id, number, fractionDone));
            }
            case DONE, FAILED, RETURNED, LOST -> endByReport(attempt, state, result);
        }
        return true;
    }

    private void endByReport(Attempt attempt, ReportedState state, byte[] result) {
        if (state != ReportedState.DONE && attempt.mayReceiveStaleReports()) {
            // A late report of an earlier attempt at the same worker would free this one while it
            // runs. So it is cancelled before the policy hears,
            // and may have run.
            lifecycle.cancel(attempt, AttemptOutcome.RESET);
        } else {
            attempt.handle().endedByReport();
            lifecycle.end(attempt, state.outcome().orElseThrow(), EndEvidence.REPORTED, result);
        }
    }

    /** An attempt has ended, as the transport saw it by this evidence. */
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, EndEvidence evidence) {
        lifecycle.end(attempt, outcome, evidence, null);
    }

    /**
     * The worker cannot use what the client sent, and neither will another. It is no failure of the
     * worker's, so for the policy the attempt was cancelled.
     */
    public void requestUnusable(Attempt attempt, EndEvidence evidence) {
        PendingRequest request = attempt.request();
        if (attempt.isInFlight() && !request.isAnswered()) {
            lifecycle.markAnswered(request, Answer.FAILED, DecisionReason.UNUSABLE);
            request.client().fail(false);
        }
        lifecycle.end(attempt, AttemptOutcome.CANCELLED, evidence, null);
    }

    /** A probe of a worker has ended. */
    public void workerProbed(String workerId, boolean answered) {
        batch.addEvent(nowNs -> policy.workerProbed(nowNs, workerId, answered, LoadReport.NONE));
    }

    // ---- Settings, workers and what other processes have learnt; delivered before all else of the
    // turn.

    /**
     * Other settings are in force. Requests in flight keep their deadline and whether their
     * attempts may be concurrent.
     */
    public void settingsChanged(PolicySettings settings, int newMaxRequests) {
        maxRequests = newMaxRequests;
        allowsConcurrentAttempts = settings.allowsConcurrentAttempts;
        batch.addPriorityEvent(nowNs -> policy.settingsChanged(nowNs, settings));
    }

    /** This process has so large a share of the dispatcher's quotas. */
    public void shareChanged(double share) {
        batch.addPriorityEvent(nowNs -> policy.shareChanged(nowNs, share));
    }

    /** These constraints are asked from now on. */
    public void constraintsChanged(JobConstraints constraints) {
        policy.constraintsChanged(constraints);
    }

    /** What the policy has learnt, for the next process of this dispatcher. */
    public List<TransferredFigures> exportFigures() {
        return policy.exportFigures(timers.nowMicros() * NANOS_PER_MICRO);
    }

    /** Imports what another process has exported. The list of workers has been queued before. */
    public void importFigures(List<TransferredFigures> figures) {
        batch.addPriorityEvent(nowNs -> policy.importFigures(nowNs, figures));
    }

    /** The list of workers has come. */
    public void workersUpdated(WorkerListForm form, List<WorkerInfo> workers) {
        batch.addPriorityEvent(nowNs -> policy.workersUpdated(nowNs, form, workers));
    }

    /** An operator has put this worker back. The list that says so has been queued before. */
    public void workerReenabled(String workerId) {
        batch.addPriorityEvent(nowNs -> policy.workerReenabled(nowNs, workerId));
    }

    // ---- The turn.

    /** Whether nothing is owed, out or to be delivered. */
    public boolean isIdle() {
        return requests.isEmpty() && !hasPendingEvents();
    }

    /** Whether no request waits for its answer; attempts of answered ones may be out. */
    public boolean allAnswered() {
        return lifecycle.unanswered() == 0;
    }

    /** Has what is out for answered requests cancelled on the wire: nobody will hear of it. */
    public void cancelUnwanted() {
        lifecycle.cancelUnwanted(requests.values());
    }

    /** Whether events wait for a turn. */
    public boolean hasPendingEvents() {
        return batch.hasEvents();
    }

    /** Delivers what has come in and carries out what the policy decides. */
    public void runBatch() {
        batch.run();
        lifecycle.forgetSettled(request -> requests.remove(request.id(), request));
    }
}
