package postgrade.dispatch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import postgrade.dispatch.AnsweredRequest.Answer;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.LoadReport;

/**
 * Ends attempts and requests. Each attempt ends once, each request gets one final answer, and the
 * policy is notified of both. Must be used on the event loop thread only.
 */
final class AttemptLifecycle {

    private final Timers timers;
    private final InternalErrorListener errors;
    private final EventBatch batch;
    private final Supplier<DispatchPolicy> policy;
    private final ArrayDeque<PendingRequest> settlementCandidates = new ArrayDeque<>();
    private RequestObserver observer = RequestObserver.NONE;
    private int unanswered;

    AttemptLifecycle(
            Timers timers,
            InternalErrorListener errors,
            EventBatch batch,
            Supplier<DispatchPolicy> policy) {
        this.timers = timers;
        this.errors = errors;
        this.batch = batch;
        this.policy = policy;
    }

    RequestObserver observer() {
        return observer;
    }

    void observer(RequestObserver newObserver) {
        observer = newObserver;
    }

    /** Returns the number of accepted requests that have no answer yet. */
    int unanswered() {
        return unanswered;
    }

    /** Counts a request that has been accepted and must be answered. */
    void requestAccepted() {
        unanswered++;
    }

    /**
     * Passes the settled requests to {@code forget}: those that are answered and have no attempt in
     * flight and no undelivered event.
     */
    void forgetSettled(Consumer<PendingRequest> forget) {
        for (PendingRequest request = settlementCandidates.poll();
                request != null;
                request = settlementCandidates.poll()) {
            if (request.isSettled()) {
                forget.accept(request);
            }
        }
    }

    /**
     * Queues an event of this request for the policy. The request stays tracked until the event has
     * been delivered.
     */
    void notifyPolicy(PendingRequest request, LongConsumer event) {
        request.eventQueued();
        batch.addEvent(
                nowNs -> {
                    request.eventDelivered();
                    settlementCandidates.add(request);
                    event.accept(nowNs);
                });
    }

    /**
     * Ends an attempt. Has no effect on an attempt that has already ended.
     *
     * @param evidence what showed that the attempt had ended
     * @param result the result of a served job, else null
     */
    void end(Attempt attempt, AttemptOutcome outcome, EndEvidence evidence, byte[] result) {
        if (!attempt.end(outcome)) {
            return;
        }
        PendingRequest request = attempt.request();
        request.attemptEnded();
        observer.attemptEnded(attempt.summary(evidence, timers.nowMicros()));
        if (outcome == AttemptOutcome.SERVED) {
            serve(request, result);
        }
        boolean requestAnswered = request.isAnswered();
        notifyPolicy(
                request,
                nowNs ->
                        policy.get()
                                .attemptFinished(
                                        nowNs,
                                        request.id(),
                                        attempt.number(),
                                        outcome,
                                        requestAnswered,
                                        LoadReport.NONE));
    }

    /** Sends a worker's result to the client, unless the request is answered already. */
    void serve(PendingRequest request, byte[] result) {
        if (!request.isAnswered()) {
            markAnswered(request, Answer.SERVED, DecisionReason.UNSTATED);
            request.client().complete(result);
        }
    }

    /** Marks a request as answered; the caller sends the answer. */
    void markAnswered(PendingRequest request, Answer answer, DecisionReason reason) {
        notifyAnswered(request, answer, reason, microsSinceArrival(request));
        conclude(request);
    }

    /** Rejects a request that is not tracked. */
    void rejectUntracked(PendingRequest request, long retryAfterMicros) {
        request.client().reject(retryAfterMicros);
        notifyAnswered(request, Answer.REJECTED, DecisionReason.NO_ROOM, 0);
    }

    private long microsSinceArrival(PendingRequest request) {
        return timers.nowMicros() - request.arrivedMicros();
    }

    private void notifyAnswered(
            PendingRequest request, Answer answer, DecisionReason reason, long afterMicros) {
        observer.requestAnswered(
                new AnsweredRequest(
                        request.id(),
                        request.jobClass(),
                        answer,
                        afterMicros,
                        request.attempts().size(),
                        reason));
    }

    /** Marks that the client needs no further answer. */
    void conclude(PendingRequest request) {
        request.markAnswered();
        unanswered--;
        settlementCandidates.add(request);
    }

    /**
     * Sends the final answer to a request that was not served. If no worker has received the job,
     * the client is told that it may safely retry. Attempts that still wait for a connection are
     * withdrawn first.
     */
    void failRequest(PendingRequest request, boolean timedOut, DecisionReason reason) {
        conclude(request);
        withdrawUnsent(request);
        boolean neverSent = request.attempts().stream().allMatch(Attempt::wasNeverSent);
        Answer answer = neverSent ? Answer.REJECTED : Answer.FAILED;
        notifyAnswered(request, answer, reason, microsSinceArrival(request));
        if (neverSent) {
            request.client().reject(RequestTracker.FULL_RETRY_AFTER_MICROS);
        } else {
            request.client().fail(timedOut);
        }
    }

    /**
     * Withdraws the attempts of an answered or abandoned request that have not been completely
     * written. This happens at once because the policy's own cancellation comes later in the
     * iteration, or never where the settings forbid it, and a connection may be established before
     * then.
     */
    void withdrawUnsent(PendingRequest request) {
        for (Attempt attempt : request.attempts()) {
            if (attempt.isInFlight() && attempt.isOnWire() && !attempt.handle().isWritten()) {
                attempt.handle().cancel(evidence -> {});
                end(
                        attempt,
                        AttemptOutcome.NOT_SENT,
                        EndEvidence.of(EndEvidence.Kind.UNWANTED),
                        null);
            }
        }
    }

    /** Fails a request that the policy has not answered by its deadline. */
    void failOverdue(PendingRequest request) {
        if (!request.isAnswered()) {
            errors.internalError(
                    InternalErrorListener.UNANSWERED_AT_DEADLINE,
                    "the policy did not answer a job of class "
                            + request.jobClass()
                            + " by its deadline; the request was failed",
                    null);
            failRequest(request, true, DecisionReason.UNSTATED);
            notifyPolicy(request, nowNs -> policy.get().jobAbandoned(nowNs, request.id()));
        }
    }

    /** Ends or cancels an attempt whose time has run out. */
    void expire(Attempt attempt) {
        long deadlineMicros = attempt.deadlineMicros();
        if (attempt.isInFlight() && timers.nowMicros() >= deadlineMicros) {
            // At the deadline the answer is due and no retry is possible, so the policy need not
            // wait for the worker to confirm.
            AttemptOutcome outcome =
                    attempt.handle().isWritten() ? AttemptOutcome.TIMEOUT : AttemptOutcome.NOT_SENT;
            attempt.handle().cancel(evidence -> {});
            end(attempt, outcome, EndEvidence.of(EndEvidence.Kind.DEADLINE), null);
        } else {
            attempt.setExpiryTimer(timers.at(deadlineMicros, () -> expire(attempt)));
            cancel(attempt, AttemptOutcome.TIMEOUT);
        }
    }

    /**
     * Cancels an attempt. The policy is notified, and may retry, only after it is certain that the
     * worker will not run the attempt.
     */
    void cancel(Attempt attempt, AttemptOutcome outcome) {
        if (attempt.beginCancel()) {
            attempt.handle().cancel(evidence -> end(attempt, outcome, evidence, null));
        }
    }

    /** Cancels the attempts in flight of answered requests, once each. */
    void cancelUnwanted(Collection<PendingRequest> requests) {
        for (PendingRequest request : List.copyOf(requests)) {
            if (request.isAnswered()) {
                request.attempts().stream()
                        .filter(attempt -> attempt.isInFlight() && attempt.isOnWire())
                        .forEach(attempt -> cancel(attempt, AttemptOutcome.CANCELLED));
            }
        }
    }
}
