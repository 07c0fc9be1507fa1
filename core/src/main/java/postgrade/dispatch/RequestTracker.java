package postgrade.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongConsumer;
import postgrade.dispatch.AnsweredRequest.Answer;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;

/**
 * The core of the dispatcher. It tracks the requests in flight and their attempts, delivers events
 * to the policy and executes the policy's decisions. It is independent of protocols: the client
 * side submits and abandons requests, the worker side starts attempts and reports how they end.
 *
 * <p>Events that occur during an event loop iteration are queued. {@link #runBatch} delivers them
 * to the policy together and then executes the actions in order; events that these cause wait for
 * the next iteration. Must be used on the event loop thread only. Times are microseconds of the
 * event loop's clock.
 */
public final class RequestTracker {

    /** The retry-after time for a request that is rejected because too many are in flight. */
    static final long FULL_RETRY_AFTER_MICROS = 500_000;

    private static final long NANOS_PER_MICRO = 1_000;

    /** A request that the policy has not answered this long after its deadline is failed here. */
    private static final long OVERDUE_GRACE_MICROS = 20_000;

    private final Timers timers;
    private final InternalErrorListener errors;
    private final DispatchPolicy policy;
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private final EventBatch batch;
    private final AttemptLifecycle lifecycle;
    private final ReportMatcher reports;
    private final BegunRequests begunRequests;
    private WorkerTransport transport;
    private int maxRequests;
    private boolean allowsConcurrentAttempts;

    /**
     * Creates a tracker with no requests, and its policy.
     *
     * @param policyFactory creates the policy, given the receiver of its actions
     * @param allowsConcurrentAttempts whether two attempts of one request may be in flight at once
     * @param maxRequests how many requests may be in flight; further ones are rejected at once
     * @param errors notified of exceptions and errors of the policy
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
        reports = new ReportMatcher(timers, lifecycle, this::policy);
        begunRequests = new BegunRequests(jobClass -> policy().mayRunAgain(jobClass));
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

    /** Sets the transport to the workers. Must be called once, before the first iteration. */
    public void connectTransport(WorkerTransport newTransport) {
        transport = newTransport;
    }

    /** Replaces the observer of requests and attempts. */
    public void observer(RequestObserver newObserver) {
        lifecycle.observer(newObserver);
    }

    /**
     * Accepts a request for one answer. Returns false, and does nothing, if its id is in flight, or
     * if a request with this id may have run and must not run again.
     */
    public boolean submit(PendingRequest request) {
        if (isInFlight(request.id()) || begunRequests.mayHaveRun(request.id())) {
            return false; // The policy would ignore a second request and never answer it.
        }
        if (lifecycle.unanswered() >= maxRequests) {
            // Bounds memory: further requests are rejected without consulting the policy.
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

    /** Whether a request with this id is in flight. */
    public boolean isInFlight(String id) {
        return requests.containsKey(id);
    }

    /** Delivers a new request to the policy; if that throws, the request is failed to answer it. */
    private void deliverJob(long nowNs, PendingRequest request) {
        try {
            policy.jobArrived(nowNs, request.toJob(nowNs));
        } catch (RuntimeException thrown) {
            errors.internalError(
                    InternalErrorListener.JOB_ARRIVAL_FAILED,
                    "the policy threw an exception on a job of class " + request.jobClass(),
                    thrown);
            lifecycle.failRequest(request, false, DecisionReason.UNSTATED);
        }
    }

    /** The client has disconnected and needs no answer. */
    public void clientDisconnected(PendingRequest request) {
        if (!request.isAnswered()) {
            lifecycle.conclude(request);
            notifyJobAbandoned(request);
            lifecycle.withdrawUnsent(request);
        }
    }

    /** Fails the unanswered requests that arrived since then, as no time is left to serve them. */
    public void failArrivedSince(long sinceMicros) {
        for (PendingRequest request : new ArrayList<>(requests.values())) {
            if (!request.isAnswered() && request.arrivedMicros() >= sinceMicros) {
                lifecycle.failRequest(request, false, DecisionReason.UNSTATED);
                notifyJobAbandoned(request);
            }
        }
    }

    private void notifyJobAbandoned(PendingRequest request) {
        lifecycle.notifyPolicy(request, nowNs -> policy.jobAbandoned(nowNs, request.id()));
    }

    // ---- Called by the worker side.

    /**
     * Processes a worker's call-back; see {@link ReportMatcher}.
     *
     * @param progress the fraction done, for {@link ReportedState#RUNNING}
     * @param result the result for {@link ReportedState#DONE}, else null
     * @return false if no request with this id is in flight here
     */
    public boolean workerReported(
            String id, String workerId, ReportedState state, double progress, byte[] result) {
        PendingRequest request = requests.get(id);
        if (request == null) {
            lifecycle.observer().reportUnmatched(id, workerId, state);
            return false;
        }
        reports.process(request, workerId, state, progress, result);
        return true;
    }

    /** The transport is about to write an attempt. */
    public void attemptWriting(Attempt attempt) {
        begunRequests.begin(attempt.request());
    }

    /** The transport has found that an attempt has ended, by the given evidence. */
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, EndEvidence evidence) {
        lifecycle.end(attempt, outcome, evidence, null);
    }

    /**
     * The worker cannot process the client's request, and no other worker can. The worker is not at
     * fault, so the policy is notified of a cancelled attempt.
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

    // ---- Requests that other processes of this dispatcher must not begin, by fingerprint.

    /** Sets the receiver of the requests that are begun here from now on. */
    public void announceBegunRequests(LongConsumer receiver) {
        begunRequests.announceTo(receiver);
    }

    /** Returns the requests that have been begun here. */
    public long[] exportBegunRequests() {
        return begunRequests.export();
    }

    /** Another process has begun these requests. */
    public void importBegunRequests(long[] fingerprints) {
        begunRequests.addAll(fingerprints);
    }

    // ---- Settings, workers and imported state; delivered before an iteration's other events.

    /**
     * Applies new settings. Requests in flight keep their deadline and whether they allow
     * concurrent attempts.
     */
    public void settingsChanged(PolicySettings settings, int newMaxRequests) {
        maxRequests = newMaxRequests;
        allowsConcurrentAttempts = settings.allowsConcurrentAttempts;
        batch.addPriorityEvent(nowNs -> policy.settingsChanged(nowNs, settings));
    }

    /** Sets this process's share of the dispatcher's quotas. */
    public void shareChanged(double share) {
        batch.addPriorityEvent(nowNs -> policy.quotaShareChanged(nowNs, share));
    }

    /** Replaces the job constraints that the policy consults. */
    public void constraintsChanged(JobConstraints constraints) {
        policy.constraintsChanged(constraints);
    }

    /** Returns the state that the policy has learnt, for the next process of this dispatcher. */
    public List<PolicyStateEntry> exportFigures() {
        return policy.exportState(timers.nowMicros() * NANOS_PER_MICRO);
    }

    /** Imports state exported by another process; the worker list must have been queued before. */
    public void importFigures(List<PolicyStateEntry> entries) {
        batch.addPriorityEvent(nowNs -> policy.importState(nowNs, entries));
    }

    /** Queues a new worker list. */
    public void workersUpdated(WorkerListUpdateType form, List<WorkerInfo> workers) {
        batch.addPriorityEvent(nowNs -> policy.workersUpdated(nowNs, form, workers));
    }

    /** An operator has enabled this worker again; the list that says so must be queued before. */
    public void workerReenabled(String workerId) {
        batch.addPriorityEvent(nowNs -> policy.workerReenabled(nowNs, workerId));
    }

    // ---- The event loop iteration.

    /** Whether no answer is due, no attempt is in flight and no event is undelivered. */
    public boolean isIdle() {
        return requests.isEmpty() && !hasPendingEvents();
    }

    /** Whether no request waits for its answer; attempts of answered ones may be in flight. */
    public boolean allAnswered() {
        return lifecycle.unanswered() == 0;
    }

    /** Cancels on the wire the attempts of answered requests, whose results nobody needs. */
    public void cancelUnwanted() {
        lifecycle.cancelUnwanted(requests.values());
    }

    /** Whether events are queued for an iteration. */
    public boolean hasPendingEvents() {
        return batch.hasEvents();
    }

    /** Delivers the queued events and executes the policy's decisions. */
    public void runBatch() {
        batch.run();
        lifecycle.forgetSettled(request -> requests.remove(request.id(), request));
    }
}
