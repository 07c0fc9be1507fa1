package postgrade.worker;

import java.util.function.Consumer;
import postgrade.dispatch.Attempt;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndEvidence.Kind;
import postgrade.dispatch.Timers;
import postgrade.http.Message;
import postgrade.http.MessageWriter;

/**
 * DELETE of one job, again until one is answered that proves the end, or the job's client gives up.
 * Guards against two attempts out: until then the worker may still run the job, or may yet take it,
 * and the policy is not told.
 */
final class Cancellation {
    /** How long one DELETE may take. */
    private static final long RESPONSE_TIMEOUT_MICROS = 400_000;

    /**
     * The pause before the next doubles from the one to the other. Guards the worker: one whose
     * process has ended refuses each, and each would be a new connection, up to the job's deadline.
     */
    private static final long INITIAL_BACKOFF_MICROS = 50_000;

    private static final long MAX_BACKOFF_MICROS = 400_000;

    private final Timers timers;
    private final ConnectionPool pool;
    private final Attempt attempt;
    private final EndProof endProof;
    private final CancellationTracker tracker;
    private final Consumer<EndEvidence> onProved;

    /** The latest. */
    private DeleteRequest latestDelete;

    private boolean finished;
    private boolean wasAttempted;
    private boolean answeredBeforeDeliverySettled;
    private boolean provedInOrder;

    private long backoffMicros = INITIAL_BACKOFF_MICROS;

    /**
     * @param tracker counts this one
     * @param done hears what proves the end, once
     */
    Cancellation(
            Timers timers,
            ConnectionPool pool,
            Attempt attempt,
            EndProof proof,
            CancellationTracker tracker,
            Consumer<EndEvidence> done) {
        this.timers = timers;
        this.pool = pool;
        this.attempt = attempt;
        this.endProof = proof;
        this.tracker = tracker;
        this.onProved = done;
        tracker.onStarted();
    }

    void send() {
        if (finished) {
            return;
        }
        pool.send(nextDelete(false));
    }

    /**
     * Sends one behind the job, on the connection on which an answer has come that may be another
     * exchange's. Answers come in order, so the one to the DELETE shows that the job had been
     * answered before; another first shows that it had not.
     */
    void sendInOrder(WorkerConnection link) {
        if (!finished) {
            pool.sendAfterRest(link, nextDelete(true));
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
     * The worker's word or the end of the connection is known now. A DELETE that was answered
     * before may have come to the worker before the job, so another one follows.
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

    /** Guards a later attempt at the same worker, which a DELETE that goes out late would end. */
    private void withdrawUnwritten() {
        if (latestDelete != null && !latestDelete.finished && latestDelete.connection == null) {
            pool.withdraw(latestDelete);
        }
    }

    /** The attempt is given up. A DELETE under way goes on, and frees the worker in any case. */
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

    /** The worker has been asked once, or could not be. */
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
            // Guards against a worker that answers out of order: the job's own answer may follow.
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
        }
    }

    /**
     * Also after a refusal, which is no word on the job: a worker may keep no more connections, or
     * have ended its listener and still complete what it runs. That the process has died is told by
     * its machine's call-back. One that another has followed is not repeated: its repeat would take
     * the place of that one.
     */
    private void scheduleRetry(DeleteRequest failed) {
        markAttempted();
        if (failed != latestDelete) {
            return;
        }
        if (timers.nowMicros() >= attempt.deadlineMicros()) {
            // The client has its answer by now and nothing will be sent again.
            finish(EndEvidence.of(Kind.DEADLINE));
        } else {
            // The last one goes out at the deadline: a longer pause would keep a process that is to
            // end waiting for it.
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
                scheduleRetry(this);
            }
        }

        @Override
        void onFailure(Failure how) {
            onOrderViolated();
            scheduleRetry(this);
        }

        @Override
        void onContradicted() {
            onOrderViolated();
        }

        /** The job's own answer may have been lost, or has come only now. */
        private void onOrderViolated() {
            if (inOrder) {
                endProof.invalidate();
            }
        }

        void expire() {
            if (!finished) {
                if (connection == null) {
                    pool.withdraw(this);
                } else {
                    connection.abort();
                }
                onOrderViolated();
                scheduleRetry(this);
            }
        }
    }
}
