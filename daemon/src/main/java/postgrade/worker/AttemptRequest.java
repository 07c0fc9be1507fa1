package postgrade.worker;

import java.util.function.Consumer;
import postgrade.dispatch.Attempt;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndEvidence.Kind;
import postgrade.dispatch.RequestPayload;
import postgrade.dispatch.RequestTracker;
import postgrade.dispatch.Timers;
import postgrade.dispatch.WireRecord;
import postgrade.dispatch.WorkerTransport;
import postgrade.http.Message;
import postgrade.http.MessageWriter;
import postgrade.policy.api.AttemptOutcome;

/** One attempt at a worker, and its progress on the wire. */
final class AttemptRequest extends WorkerRequest implements WorkerTransport.AttemptHandle {

    /**
     * How long an attempt that has ended by its call-back keeps its connection for the 202, which
     * should have arrived by then.
     */
    private static final long RESPONSE_TIMEOUT_MICROS = 1_000_000;

    /** A 202 that was in flight when the attempt was cancelled has arrived after this time. */
    private static final long ACCEPT_GRACE_MICROS = 100_000;

    private final RequestTracker tracker;
    private final Timers timers;
    private final ConnectionPool pool;
    private final Attempt attempt;
    private final String fencingToken;
    private final CancellationTracker cancellations;
    private final EndProof endProof = new EndProof();
    private AttemptState state = AttemptState.PENDING;
    private boolean accepted;
    private boolean possiblyDelivered;
    private boolean startReported;
    private boolean endReported;

    private final WireTimes wireTimes = new WireTimes();
    private final JobDelivery delivery;

    /** Not null from the state {@link AttemptState#CANCELLING} on. */
    private Cancellation cancellation;

    /**
     * @param fencingToken the token sent with the job, or null
     * @param cancellations counts the attempts that are being cancelled
     */
    AttemptRequest(
            RequestTracker tracker,
            Timers timers,
            ConnectionPool pool,
            Attempt attempt,
            String fencingToken,
            CancellationTracker cancellations) {
        super(attempt.payload().body());
        this.tracker = tracker;
        this.timers = timers;
        this.pool = pool;
        this.attempt = attempt;
        this.fencingToken = fencingToken;
        this.cancellations = cancellations;
        delivery = new JobDelivery(timers, endProof, wireTimes, this::onDeliveryKnown);
    }

    /** Returns false and changes nothing if the transition is not allowed. */
    private boolean transitionTo(AttemptState next) {
        boolean follows = state.canBecome(next);
        if (follows) {
            state = next;
        }
        return follows;
    }

    @Override
    byte[] head() {
        RequestPayload payload = attempt.payload();
        return MessageWriter.request(payload.method(), payload.target())
                .header("Host", pool.hostHeader())
                .header("X-Request-Id", attempt.id())
                .header("X-Fence", fencingToken)
                .header("X-Deadline", attempt.timeLeftMicros(timers.nowMicros()) + "u")
                .header("Idempotency-Key", payload.idempotencyKey())
                .header("Content-Type", payload.contentType())
                .headFor(body());
    }

    @Override
    boolean isNewWork() {
        return true;
    }

    @Override
    boolean isLate(long nowMicros) {
        return nowMicros > attempt.writeDeadlineMicros() || attempt.isUnwanted();
    }

    /**
     * Marks the attempt as ended by the wire or by a call-back. Requests to the worker that are
     * still pending are dropped by the caller.
     */
    private boolean markEnded() {
        if (!transitionTo(AttemptState.ENDED)) {
            return false;
        }
        if (cancellation == null) {
            pool.activeAttempts--;
        }
        return true;
    }

    private void end(AttemptOutcome outcome, EndEvidence evidence) {
        if (markEnded()) {
            tracker.attemptEnded(attempt, outcome, evidence);
            stopCancellation();
        }
    }

    private void stopCancellation() {
        if (cancellation != null) {
            cancellation.stop();
        }
    }

    @Override
    void onResponse(Message response) {
        WorkerResponse meaning = WorkerResponse.of(response);
        if (meaning == WorkerResponse.ACCEPTED) {
            onAccepted();
        } else if (!endProof.responsesAreUnambiguous()) {
            // Guards against a late response of an earlier exchange on the same connection, which
            // says nothing about this job.
            onAmbiguousResponse(meaning);
        } else if (meaning == WorkerResponse.UNKNOWN) {
            delivery.settle();
            cancelBeforeReporting(
                    evidence -> tracker.attemptEnded(attempt, meaning.outcome(), evidence), null);
        } else if (markEnded()) {
            reportEnd(meaning, meaning.outcome(), EndEvidence.answered(response.status()));
            stopCancellation();
        }
    }

    private void reportEnd(WorkerResponse meaning, AttemptOutcome outcome, EndEvidence evidence) {
        if (meaning == WorkerResponse.UNUSABLE) {
            tracker.requestUnusable(attempt, evidence);
        } else {
            tracker.attemptEnded(attempt, outcome, evidence);
        }
    }

    /** The attempt ends by a call-back, or by the response to a DELETE written from now on. */
    private void onAccepted() {
        accepted = true;
        wireTimes.recordAccepted(timers.nowMicros());
        transitionTo(AttemptState.ACCEPTED);
        delivery.onAccepted(cancellation != null);
    }

    /**
     * Handles a response that may belong to an earlier exchange. The job is cancelled before the
     * policy is notified, by a DELETE behind it on the same connection if that is still open.
     */
    private void onAmbiguousResponse(WorkerResponse meaning) {
        if (state == AttemptState.CANCELLING && responseConnection != null) {
            cancellation.sendInOrder(responseConnection);
        } else {
            cancelBeforeReporting(
                    evidence -> reportEnd(meaning, ambiguousOutcome(meaning), evidence),
                    responseConnection);
        }
    }

    /**
     * Guards jobs that must not run twice: "never ran" is believed only if the response was shown
     * to belong to the job and no call-back has reported that it started.
     */
    private AttemptOutcome ambiguousOutcome(WorkerResponse meaning) {
        boolean believed = cancellation.wasProvedInOrder() && !startReported;
        return meaning == WorkerResponse.NEVER_RAN && !believed
                ? AttemptOutcome.RESET
                : meaning.outcome();
    }

    /**
     * Another response followed the one taken for this job's, so that one may belong to another
     * exchange.
     */
    @Override
    void onContradicted() {
        delivery.onContradicted();
    }

    @Override
    void onMalformedResponse() {
        cancelBeforeReporting(this::reportReset, null);
    }

    private void reportReset(EndEvidence evidence) {
        tracker.attemptEnded(attempt, AttemptOutcome.RESET, evidence);
    }

    @Override
    void onOutputEnded() {
        wireTimes.recordOutputEnded(timers.nowMicros());
    }

    @Override
    void onDeliverySettled() {
        delivery.onWorkerEnded();
    }

    @Override
    boolean isResponseAmbiguous() {
        return state != AttemptState.ENDED && !endProof.responsesAreUnambiguous();
    }

    @Override
    long irrelevantFromMicros() {
        return attempt.deadlineMicros();
    }

    @Override
    public void startedByReport() {
        startReported = true;
    }

    @Override
    void onFailure(Failure failure) {
        switch (failure) {
            case NO_SOCKET -> end(AttemptOutcome.NO_SOCKET, EndEvidence.of(Kind.NO_SOCKET));
            case NEVER_WRITTEN -> end(AttemptOutcome.UNREACHABLE, EndEvidence.of(unwrittenKind()));
            case DRAINED -> end(AttemptOutcome.NOT_SENT, EndEvidence.of(Kind.WORKER_NOT_READY));
            case TOO_LATE -> end(AttemptOutcome.NOT_SENT, EndEvidence.of(lateKind()));
            // A 202 may have been lost with the connection, so the break does not end the attempt.
            case AFTER_LAST_BYTE, IN_RESPONSE -> {
                onDeliverySettled();
                cancelBeforeReporting(this::reportReset, null);
            }
        }
    }

    private void onDeliveryKnown() {
        if (cancellation != null) {
            cancellation.deliverySettled();
        }
    }

    /**
     * Handles an event that does not show whether the worker has accepted the job. Guards against a
     * second attempt beside one that runs: the attempt is cancelled on the wire before the policy
     * is notified. A cancellation under way continues.
     */
    private void cancelBeforeReporting(
            Consumer<EndEvidence> reportEnd, WorkerConnection followedConnection) {
        possiblyDelivered = true;
        if (transitionTo(AttemptState.CANCELLING)) {
            startCancellation(reportEnd, followedConnection);
        }
    }

    @Override
    public boolean isWritten() {
        return accepted || possiblyDelivered || super.isFullyWritten();
    }

    @Override
    public boolean mayReport() {
        return endReported || isWritten();
    }

    @Override
    public void endedByReport() {
        endReported = true;
        if (markEnded()) {
            stopCancellation();
            releaseConnection();
        }
    }

    /**
     * The attempt has ended although its request may be in flight: the 202 frees its connection.
     */
    private void releaseConnection() {
        if (!finished && connection == null) {
            pool.withdraw(this);
        } else if (connection != null) {
            timers.at(
                    timers.nowMicros() + RESPONSE_TIMEOUT_MICROS,
                    () -> {
                        if (connection != null) {
                            connection.abort();
                        }
                    });
        }
    }

    @Override
    public WireRecord wireRecord() {
        return wireTimes.toRecord();
    }

    @Override
    void onWriting(WorkerConnection carrier) {
        tracker.attemptWriting(attempt);
        wireTimes.recordWritten(timers.nowMicros(), carrier);
        endProof.onWriting(carrier.requestsCarried);
    }

    private Kind unwrittenKind() {
        return !wireTimes.wasWritten() ? Kind.NOT_CONNECTED : Kind.NOT_WRITTEN;
    }

    private Kind lateKind() {
        return attempt.isUnwanted() ? Kind.UNWANTED : Kind.WRITE_WINDOW_OVER;
    }

    @Override
    public void cancel(Consumer<EndEvidence> onProved) {
        if (state == AttemptState.CANCELLING || state == AttemptState.ENDED) {
            return;
        }
        if (!isWritten()) {
            if (connection == null) {
                pool.withdraw(this);
            } else {
                connection.abort(); // Without its last byte the worker never starts the job.
            }
            markEnded();
            onProved.accept(EndEvidence.of(Kind.NOT_WRITTEN));
            return;
        }
        transitionTo(AttemptState.CANCELLING);
        possiblyDelivered = true;
        startCancellation(onProved, null);
        if (connection != null) {
            // Guards against a 202 that crosses the cancellation: the job then runs, and only the
            // response to the DELETE ends the attempt.
            timers.at(timers.nowMicros() + ACCEPT_GRACE_MICROS, this::endUnaccepted);
        }
    }

    /**
     * @param followedConnection the connection on which the DELETE must follow the job, or null for
     *     any
     */
    private void startCancellation(
            Consumer<EndEvidence> onProved, WorkerConnection followedConnection) {
        wireTimes.recordCancelled(timers.nowMicros());
        cancellation =
                new Cancellation(
                        timers,
                        pool,
                        attempt,
                        endProof,
                        cancellations,
                        evidence -> {
                            transitionTo(AttemptState.ENDED);
                            onProved.accept(evidence);
                            if (connection != null) {
                                connection.abort(); // No response is awaited on it any more.
                            }
                        });
        delivery.onCancelling();
        if (followedConnection != null) {
            cancellation.sendInOrder(followedConnection);
        } else {
            cancellation.send();
        }
    }

    /**
     * Ends our side of the connection, by which a worker that has not accepted the job drops it.
     * The job may still be on its way to the worker, or the 202 on its way here, so only the
     * worker's own end settles which, and a DELETE written after that proves the end.
     */
    private void endUnaccepted() {
        if (connection != null && state == AttemptState.CANCELLING) {
            connection.endOutput();
        }
    }
}
