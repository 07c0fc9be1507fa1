package postgrade.dispatch;

import java.util.Map;
import java.util.function.Supplier;
import postgrade.dispatch.AnsweredRequest.Answer;
import postgrade.dispatch.EndEvidence.Kind;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.PolicyActions;

/**
 * Queues the policy's decisions until all events of the current event loop iteration have been
 * delivered, then executes them. Must be used on the event loop thread only.
 */
final class ActionQueue implements PolicyActions {

    private static final long NANOS_PER_MICRO = 1_000;

    private final Timers timers;
    private final InternalErrorListener errors;
    private final EventBatch batch;
    private final AttemptLifecycle lifecycle;
    private final Map<String, PendingRequest> requests;
    private final Supplier<WorkerTransport> transport;
    private final Supplier<DispatchPolicy> policy;

    /**
     * Creates a queue that acts on the given requests.
     *
     * @param requests the requests in flight, by request id
     */
    ActionQueue(
            Timers timers,
            InternalErrorListener errors,
            EventBatch batch,
            AttemptLifecycle lifecycle,
            Map<String, PendingRequest> requests,
            Supplier<WorkerTransport> transport,
            Supplier<DispatchPolicy> policy) {
        this.timers = timers;
        this.errors = errors;
        this.batch = batch;
        this.lifecycle = lifecycle;
        this.requests = requests;
        this.transport = transport;
        this.policy = policy;
    }

    @Override
    public void startAttempt(String jobId, String workerId, long limitNs) {
        startAttempt(jobId, workerId, limitNs, Long.MAX_VALUE);
    }

    @Override
    public void startAttempt(String jobId, String workerId, long limitNs, long windowNs) {
        batch.addAction(() -> start(jobId, workerId, limitNs, windowNs));
    }

    @Override
    public void cancelAttempt(String jobId, int attempt) {
        cancelAttempt(jobId, attempt, DecisionReason.UNSTATED);
    }

    @Override
    public void cancelAttempt(String jobId, int number, DecisionReason reason) {
        batch.addAction(
                () -> {
                    PendingRequest request = requests.get(jobId);
                    if (request != null && number < request.attempts().size()) {
                        cancel(request.attempts().get(number), reason);
                    }
                });
    }

    private void cancel(Attempt attempt, DecisionReason reason) {
        if (attempt.isInFlight()) {
            lifecycle
                    .observer()
                    .attemptCancelled(attempt.id(), attempt.workerId(), attempt.number(), reason);
        }
        lifecycle.cancel(attempt, AttemptOutcome.CANCELLED);
    }

    @Override
    public void reject(String jobId, long retryAfterNs) {
        reject(jobId, retryAfterNs, DecisionReason.UNSTATED);
    }

    @Override
    public void reject(String jobId, long retryAfterNs, DecisionReason reason) {
        batch.addAction(
                () -> {
                    PendingRequest request = requests.get(jobId);
                    if (request != null && !request.isAnswered()) {
                        lifecycle.markAnswered(request, Answer.REJECTED, reason);
                        lifecycle.withdrawUnsent(request);
                        request.client().reject(retryAfterNs / NANOS_PER_MICRO);
                    }
                });
    }

    @Override
    public void fail(String jobId) {
        fail(jobId, DecisionReason.UNSTATED);
    }

    @Override
    public void fail(String jobId, DecisionReason reason) {
        batch.addAction(
                () -> {
                    PendingRequest request = requests.get(jobId);
                    if (request != null && !request.isAnswered()) {
                        boolean timedOut = timers.nowMicros() >= request.deadlineMicros();
                        lifecycle.failRequest(request, timedOut, reason);
                    }
                });
    }

    @Override
    public void probe(String workerId) {
        batch.addAction(() -> transport.get().probe(workerId));
    }

    @Override
    public void startTimer(String token, long delayNs) {
        batch.addAction(
                () -> {
                    long whenMicros =
                            timers.nowMicros() + (delayNs + NANOS_PER_MICRO - 1) / NANOS_PER_MICRO;
                    timers.at(
                            whenMicros,
                            () -> batch.addEvent(nowNs -> policy.get().timerFired(nowNs, token)));
                });
    }

    @Override
    public void watchWorkers() {
        // No action needed: the daemon always watches the worker list.
    }

    private void start(String jobId, String workerId, long limitNs, long windowNs) {
        PendingRequest request = requests.get(jobId);
        if (request == null) {
            return;
        }
        long nowMicros = timers.nowMicros();
        long deadlineMicros = request.deadlineMicros();
        long expiresAtMicros =
                limitNs == 0
                        ? deadlineMicros
                        : Math.min(deadlineMicros, nowMicros + limitNs / NANOS_PER_MICRO);
        boolean conflicts = !request.mayAddAttempt(workerId);
        Attempt attempt =
                new Attempt(
                        request,
                        request.attempts().size(),
                        workerId,
                        expiresAtMicros,
                        nowMicros + windowNs / NANOS_PER_MICRO,
                        nowMicros);
        request.add(attempt);
        if (conflicts) {
            errors.internalError(
                    InternalErrorListener.CONFLICTING_ATTEMPT,
                    "the policy requested a second attempt of a job that has one in flight; not sent",
                    null);
        }
        // The client may have disconnected since the event loop last polled its socket.
        if (conflicts || expiresAtMicros <= nowMicros || attempt.isUnwanted()) {
            Kind kind = conflicts ? Kind.OTHER_ATTEMPT_OUT : Kind.UNWANTED;
            lifecycle.end(attempt, AttemptOutcome.NOT_SENT, EndEvidence.of(kind), null);
            return;
        }
        if (attempt.number() > 0) {
            lifecycle.observer().attemptRepeated(jobId, workerId, attempt.number());
        }
        attempt.setExpiryTimer(timers.at(expiresAtMicros, () -> lifecycle.expire(attempt)));
        attempt.handle(transport.get().start(attempt));
    }
}
