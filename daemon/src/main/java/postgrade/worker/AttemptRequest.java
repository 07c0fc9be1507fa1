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

/** One attempt at a worker, and how far it has come on the wire. */
final class AttemptRequest extends WorkerRequest implements WorkerTransport.AttemptHandle {

    /**
     * An attempt ended by its call-back leaves its connection once the 202 comes, which is due by
     * then.
     */
    private static final long RESPONSE_TIMEOUT_MICROS = 1_000_000;

    /** A 202 that was on its way when the attempt was given up has come by then. */
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
    private final WireTimes wireTimes = new WireTimes();

    /** Not null from the state {@link AttemptState#CANCELLING} on. */
    private Cancellation cancellation;

    /**
     * @param fence the claim it goes with, or null
     * @param cancellations counts those that are being given up
     */
    AttemptRequest(
            RequestTracker tracker,
            Timers timers,
            ConnectionPool pool,
            Attempt attempt,
            String fence,
            CancellationTracker cancellations) {
        super(attempt.payload().body());
        this.tracker = tracker;
        this.timers = timers;
        this.pool = pool;
        this.attempt = attempt;
        this.fencingToken = fence;
        this.cancellations = cancellations;
    }

    /** False, and nothing changes, where the one does not follow the other. */
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
                .headFor(payload.body());
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
     * The wire or a call-back has told of the end: what is still asked of the worker is asked no
     * more.
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
            // Guards against a late answer of an earlier exchange on the same connection: it says
            // nothing of this job.
            onAmbiguousResponse(meaning);
        } else if (meaning == WorkerResponse.UNKNOWN) {
            settleDelivery();
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

    /** Its end comes by a call-back, or by the answer to a DELETE written from now on. */
    private void onAccepted() {
        accepted = true;
        wireTimes.recordAccepted(timers.nowMicros());
        transitionTo(AttemptState.ACCEPTED);
        if (endProof.responsesAreUnambiguous()) {
            settleDelivery();
        } else if (cancellation != null) {
            settleDeliveryAfterRest();
        }
    }

    /**
     * A 202 on a connection used before may be another exchange's as well: it counts if no other
     * answer comes while the connection rests.
     */
    private void settleDeliveryAfterRest() {
        long restedMicros = wireTimes.acceptedMicros() + FreeConnections.REST_PERIOD_MICROS;
        if (timers.nowMicros() >= restedMicros) {
            settleDelivery();
        } else {
            timers.at(restedMicros, this::settleDelivery);
        }
    }

    /**
     * An answer that may be another exchange's. The job is given up before the policy hears, by a
     * DELETE behind it on the same connection, as long as that is open.
     */
    private void onAmbiguousResponse(WorkerResponse meaning) {
        if (responseConnection == null) {
            settleDelivery();
        }
        if (state == AttemptState.CANCELLING && responseConnection != null) {
            cancellation.sendInOrder(responseConnection);
        } else {
            cancelBeforeReporting(
                    evidence -> reportEnd(meaning, ambiguousOutcome(meaning), evidence),
                    responseConnection);
        }
    }

    /**
     * Guards what must not run twice: that a job never ran is believed only where its answer was
     * shown to be its own, and nothing has said that it began.
     */
    private AttemptOutcome ambiguousOutcome(WorkerResponse meaning) {
        boolean believed = cancellation.wasProvedInOrder() && !startReported;
        return meaning == WorkerResponse.NEVER_RAN && !believed
                ? AttemptOutcome.RESET
                : meaning.outcome();
    }

    /** What came as the answer was not the only one, so it may have been another exchange's. */
    @Override
    void onContradicted() {
        endProof.invalidate(); // Its connection is over with that.
        if (cancellation != null) {
            cancellation.deliverySettled();
        }
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
            // A 202 may have come and gone with the connection, after which a break ends nothing.
            case AFTER_LAST_BYTE, IN_RESPONSE -> {
                settleDelivery();
                cancelBeforeReporting(
                        evidence -> tracker.attemptEnded(attempt, AttemptOutcome.RESET, evidence),
                        null);
            }
        }
    }

    /** The worker has the job, or cannot get it any more. */
    private void settleDelivery() {
        endProof.settleDelivery();
        if (cancellation != null) {
            cancellation.deliverySettled();
        }
    }

    /**
     * What came does not tell whether the worker has taken the job. Guards against a second attempt
     * beside one that runs: it is given up on the wire before the policy hears. One that is being
     * given up goes on with that.
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
        return accepted || possiblyDelivered;
    }

    @Override
    public void endedByReport() {
        if (markEnded()) {
            stopCancellation();
            releaseConnection();
        }
    }

    /**
     * The attempt is over though its request may be under way: its connection is freed by the 202.
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
                connection.abort(); // In part: without its last byte it never begins.
            }
            markEnded();
            onProved.accept(EndEvidence.of(Kind.NOT_WRITTEN));
            return;
        }
        transitionTo(AttemptState.CANCELLING);
        possiblyDelivered = true;
        startCancellation(onProved, null);
        if (connection != null) {
            // Guards against a 202 that crosses: with it the job runs, and only the answer to the
            // DELETE ends that.
            timers.at(timers.nowMicros() + ACCEPT_GRACE_MICROS, this::closeUnaccepted);
        }
    }

    /**
     * @param behind the link on which the DELETE is to follow the job, or null for any
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
                                connection.abort(); // Nothing is awaited on it any more.
                            }
                        });
        if (accepted && !endProof.isDeliverySettled()) {
            settleDeliveryAfterRest();
        }
        if (followedConnection != null) {
            cancellation.sendInOrder(followedConnection);
        } else {
            cancellation.send();
        }
    }

    /**
     * A close before the 202 gives up by itself. But the 202 may be on its way just then, so the
     * close alone counts only at a worker that has said nothing since it was sent the job; from any
     * other its answer to a DELETE is due.
     */
    private void closeUnaccepted() {
        if (connection != null && state == AttemptState.CANCELLING) {
            boolean noResponseBytes = !connection.responseStarted();
            connection.abort();
            if (noResponseBytes && !pool.hasReceivedSince(wireTimes.writtenMicros())) {
                cancellation.finish(EndEvidence.of(Kind.CLOSED));
            } else {
                settleDelivery();
            }
        }
    }
}
