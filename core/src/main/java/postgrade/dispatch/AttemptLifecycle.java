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
 * How attempts and requests end: each attempt once, each request with one final answer, and the
 * policy is notified of both. Used on the loop's thread.
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

    /** How many accepted requests have no answer yet. */
    int unanswered() {
        return unanswered;
    }

    /** A request has been accepted, which is owed an answer from now on. */
    void requestAccepted() {
        unanswered++;
    }

    /** Hands over the requests that may be forgotten: nothing is owed, out or to be delivered. */
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
     * Queues an event of this request for the policy. The request is remembered until it has been
     * delivered.
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
     * An attempt has ended. One that has ended before is left as it is.
     *
     * @param evidence what showed it
     * @param result of a served job, else null
     */
    void end(Attempt attempt, AttemptOutcome outcome, EndEvidence evidence, byte[] result) {
        if (!attempt.end(outcome)) {
            return;
        }
        PendingRequest request = attempt.request();
        request.attemptEnded();
        observer.attemptEnded(attempt.summary(evidence, timers.nowMicros()));
        if (outcome == AttemptOutcome.SERVED && !request.isAnswered()) {
            markAnswered(request, Answer.SERVED, DecisionReason.UNSTATED);
            request.client().complete(result);
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

    /** Marks the one final answer, which the caller gives. */
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

    /** Nothing more is owed. */
    void conclude(PendingRequest request) {
        request.markAnswered();
        unanswered--;
        settlementCandidates.add(request);
    }

    /**
     * Gives the final answer to a request that is not served. A client whose job no worker has had
     * is told that trying again is harmless. An attempt that still waits for its connection is
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
     * Withdraws the attempts of an answered or abandoned request that have not been written whole,
     * in the moment in which nobody waits any more. The policy's own cancellation comes later in
     * the turn, or never where the settings forbid it, and a connection may come up before it.
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

    /** The policy has left a request unanswered past its deadline. */
    void failOverdue(PendingRequest request) {
        if (!request.isAnswered()) {
            errors.internalError(
                    InternalErrorListener.UNANSWERED_AT_DEADLINE,
                    "the module left a job of class "
                            + request.jobClass()
                            + " unanswered at its deadline; failed here",
                    null);
            failRequest(request, true, DecisionReason.UNSTATED);
            notifyPolicy(request, nowNs -> policy.get().clientLeft(nowNs, request.id()));
        }
    }

    /** An attempt is no longer waited for. */
    void expire(Attempt attempt) {
        long deadlineMicros = attempt.deadlineMicros();
        if (attempt.isInFlight() && timers.nowMicros() >= deadlineMicros) {
            // The policy owes the answer now and can send no more, so it need not wait for the
            // worker.
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
     * Cancels an attempt. The policy is notified, and may send again, only once the worker is sure
     * not to run it.
     */
    void cancel(Attempt attempt, AttemptOutcome outcome) {
        if (attempt.beginCancel()) {
            attempt.handle().cancel(evidence -> end(attempt, outcome, evidence, null));
        }
    }

    /** Cancels the attempts of answered requests that have not ended, once each. */
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
