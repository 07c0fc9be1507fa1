package postgrade.worker;

import java.util.function.Consumer;
import postgrade.dispatch.Attempt;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndEvidence.Kind;
import postgrade.dispatch.Timers;
import postgrade.http.Message;
import postgrade.http.MessageWriter;

/**
 * Sends DELETE for one job, repeatedly, until a response proves the end of the attempt or the
 * client's deadline has passed. Guards against two attempts in flight: until then the worker may
 * still run or accept the job, and the policy is not notified.
 */
final class Cancellation {
    /** Time-out of one DELETE. */
    private static final long RESPONSE_TIMEOUT_MICROS = 400_000;

    /**
     * The delay before a retry doubles from this value up to {@link #MAX_BACKOFF_MICROS}. Guards
     * the worker: one whose process has ended refuses every DELETE, and each would be a new
     * connection, up to the job's deadline.
     */
    private static final long INITIAL_BACKOFF_MICROS = 50_000;

    private static final long MAX_BACKOFF_MICROS = 400_000;

    private final Timers timers;
    private final ConnectionPool pool;
    private final Attempt attempt;
    private final EndProof endProof;
    private final CancellationTracker tracker;
    private final Consumer<EndEvidence> onProved;

    private DeleteRequest latestDelete;

    private boolean finished;
    private boolean wasAttempted;
    private boolean answeredBeforeDeliverySettled;
    private boolean provedInOrder;

    private long backoffMicros = INITIAL_BACKOFF_MICROS;

    /**
     * @param tracker counts this cancellation
     * @param onProved receives the evidence of the end, once
     */
    Cancellation(
            Timers timers,
            ConnectionPool pool,
            Attempt attempt,
            EndProof endProof,
            CancellationTracker tracker,
            Consumer<EndEvidence> onProved) {
        this.timers = timers;
        this.pool = pool;
        this.attempt = attempt;
        this.endProof = endProof;
        this.tracker = tracker;
        this.onProved = onProved;
        tracker.onStarted();
    }

    void send() {
        if (finished) {
            return;
        }
        pool.send(nextDelete(false));
    }

    /**
     * Sends a DELETE behind the job, on the connection on which a response has come that may belong
     * to another exchange. Responses come in order, so the one to the DELETE shows that the job had
     * been answered before; another response first shows that it had not.
     */
    void sendInOrder(WorkerConnection connection) {
        if (!finished) {
            pool.sendAfterRest(connection, nextDelete(true));
        }
    }

    private DeleteRequest nextDelete(boolean inOrder) {
        withdrawUnwritten();
        answeredBeforeDeliverySettled = false;
        DeleteRequest request = new DeleteRequest(inOrder);
        latestDelete = request;
        timers.at(timers.nowMicros() + RESPONSE_TIMEOUT_MICROS, request::expire);
        return request;
    }

    /** Whether the end was proved by a DELETE that followed the job on its connection. */
    boolean wasProvedInOrder() {
        return provedInOrder;
    }

    /**
     * The worker has answered the job, or has ended its side of the connection. A DELETE that was
     * answered earlier may have reached the worker before the job, so another one follows.
     */
    void deliverySettled() {
        if (answeredBeforeDeliverySettled) {
            send();
        }
    }

    /**
     * The attempt has ended otherwise: a DELETE that still waits for its connection is not written
     * any more.
     */
    void stop() {
        if (close()) {
            withdrawUnwritten();
        }
    }

    /** Guards a later attempt at the same worker, which a delayed DELETE would cancel. */
    private void withdrawUnwritten() {
        if (latestDelete != null && !latestDelete.finished && latestDelete.connection == null) {
            pool.withdraw(latestDelete);
        }
    }

    /**
     * The attempt has been cancelled. A DELETE in flight continues, and frees the worker in any
     * case.
     */
    void finish(EndEvidence evidence) {
        if (close()) {
            onProved.accept(evidence);
        }
    }

    private boolean close() {
        if (finished) {
            return false;
        }
        finished = true;
        markAttempted();
        tracker.onEnded();
        pool.activeAttempts--;
        return true;
    }

    /** The first DELETE has been written, or could not be. */
    private void markAttempted() {
        if (!wasAttempted) {
            wasAttempted = true;
            tracker.onAttempted();
        }
    }

    private void onConfirmed(DeleteRequest answered, int status) {
        if (finished || answered != latestDelete) {
            return;
        }
        if (answered.inOrder && !answered.restedAfterResponse) {
            // Guards against a worker that answers out of order: the job's own response may
            // follow.
            answered.restedAfterResponse = true;
            long restedMicros = timers.nowMicros() + FreeConnections.REST_PERIOD_MICROS;
            timers.at(restedMicros, () -> onConfirmed(answered, status));
            return;
        }
        if (endProof.isProvedBy(answered.stamp)) {
            provedInOrder = answered.inOrder;
            finish(new EndEvidence(Kind.CANCEL_CONFIRMED, status));
            return;
        }
        answeredBeforeDeliverySettled = true;
        if (endProof.isDeliverySettled()) {
            send();
        } else {
            timers.at(attempt.deadlineMicros(), () -> finish(EndEvidence.of(Kind.DEADLINE)));
        }
    }

    /**
     * Schedules a retry, also after a refusal, which says nothing about the job: a worker may be at
     * its connection limit, or may have closed its listener and still complete what it runs. The
     * call-back of its machine reports that the process has died. A DELETE that has been superseded
     * is not retried, because its retry would replace the newer one.
     */
    private void scheduleRetry(DeleteRequest failed) {
        markAttempted();
        if (failed != latestDelete) {
            return;
        }
        if (timers.nowMicros() >= attempt.deadlineMicros()) {
            // The client has its answer by now, and no further attempt follows.
            finish(EndEvidence.of(Kind.DEADLINE));
        } else {
            // The last retry goes out at the deadline: a longer delay would make a process that is
            // shutting down wait for it.
            timers.at(
                    Math.min(timers.nowMicros() + backoffMicros, attempt.deadlineMicros()),
                    () -> retry(failed));
            backoffMicros = Math.min(2 * backoffMicros, MAX_BACKOFF_MICROS);
        }
    }

    private void retry(DeleteRequest failed) {
        if (failed == latestDelete) {
            send();
        }
    }

    private final class DeleteRequest extends WorkerRequest {
        private final boolean inOrder;
        private EndProof.DeleteStamp stamp;
        private boolean restedAfterResponse;

        /** The worker has ended its side of the connection that carried this. */
        private boolean connectionOver;

        DeleteRequest(boolean inOrder) {
            super(EMPTY_BODY);
            this.inOrder = inOrder;
        }

        @Override
        byte[] head() {
            return MessageWriter.request("DELETE", "/jobs/" + attempt.id())
                    .header("Host", pool.hostHeader())
                    .noBody();
        }

        @Override
        boolean isNewWork() {
            return false;
        }

        @Override
        void onWriting(WorkerConnection carrier) {
            markAttempted();
            stamp = inOrder ? endProof.stampInOrder() : endProof.stamp();
        }

        @Override
        void onResponse(Message response) {
            if (EndProof.confirmsCancellation(response)) {
                onConfirmed(this, response.status());
            } else {
                onOrderViolated();
                if (inOrder && responseConnection != null) {
                    responseConnection.retire();
                }
                scheduleRetry(this);
            }
        }

        @Override
        void onFailure(Failure failure) {
            onOrderViolated();
            if (stamp != null) {
                onDeliverySettled(); // Its connection, which is the job's, has ended under it.
            }
            scheduleRetry(this);
        }

        @Override
        void onContradicted() {
            onOrderViolated();
        }

        @Override
        void onMalformedResponse() {
            onOrderViolated();
            scheduleRetry(this);
        }

        /** The job's own response may have been lost, or has come only now. */
        private void onOrderViolated() {
            if (inOrder) {
                endProof.invalidate();
                if (connectionOver) {
                    endProof.settleDelivery();
                }
            }
        }

        @Override
        boolean isResponseAmbiguous() {
            return inOrder && !Cancellation.this.finished;
        }

        @Override
        long irrelevantFromMicros() {
            return attempt.deadlineMicros();
        }

        @Override
        void onDeliverySettled() {
            connectionOver = true;
            if (inOrder) {
                endProof.settleDelivery();
                deliverySettled();
            }
        }

        void expire() {
            if (!finished) {
                if (connection == null) {
                    pool.withdraw(this);
                } else if (inOrder) {
                    connection.endOutput();
                } else {
                    connection.abort();
                }
                onOrderViolated();
                scheduleRetry(this);
            }
        }
    }
}
