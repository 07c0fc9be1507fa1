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
    private static final long ANSWER_MICROS = 400_000;

    /**
     * The pause before the next doubles from the one to the other. Guards the worker: one whose
     * process has ended refuses each, and each would be a new connection, up to the job's deadline.
     */
    private static final long FIRST_PAUSE_MICROS = 50_000;

    private static final long LONGEST_PAUSE_MICROS = 400_000;

    private final Timers timers;
    private final Pool pool;
    private final Attempt attempt;
    private final EndProof proof;
    private final CancellationTracker tracker;
    private final Consumer<EndEvidence> done;

    /** The latest. */
    private Delete delete;

    private boolean finished;
    private boolean wasAsked;
    private boolean answeredTooEarly;
    private boolean provedInOrder;

    private long pauseMicros = FIRST_PAUSE_MICROS;

    /**
     * @param tracker counts this one
     * @param done hears what proves the end, once
     */
    Cancellation(
            Timers timers,
            Pool pool,
            Attempt attempt,
            EndProof proof,
            CancellationTracker tracker,
            Consumer<EndEvidence> done) {
        this.timers = timers;
        this.pool = pool;
        this.attempt = attempt;
        this.proof = proof;
        this.tracker = tracker;
        this.done = done;
        tracker.begun();
    }

    void send() {
        if (finished) {
            return;
        }
        pool.send(next(false));
    }

    /**
     * Sends one behind the job, on the connection on which an answer has come that may be another
     * exchange's. Answers come in order, so the one to the DELETE shows that the job had been
     * answered before; another first shows that it had not.
     */
    void sendInOrder(Link link) {
        if (!finished) {
            pool.sendAfterRest(link, next(true));
        }
    }

    private Delete next(boolean inOrder) {
        withdrawUnwritten();
        answeredTooEarly = false;
        Delete sent = new Delete(inOrder);
        delete = sent;
        timers.at(timers.nowMicros() + ANSWER_MICROS, sent::expire);
        return sent;
    }

    /** Whether the end was proved by a DELETE that followed the job on its connection. */
    boolean wasProvedInOrder() {
        return provedInOrder;
    }

    /**
     * The worker's word or the end of the connection is known now. A DELETE that was answered
     * before may have come to the worker before the job, so another one follows.
     */
    void settled() {
        if (answeredTooEarly) {
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
        if (delete != null && !delete.over && delete.link == null) {
            pool.withdraw(delete);
        }
    }

    /** The attempt is given up. A DELETE under way goes on, and frees the worker in any case. */
    void finish(EndEvidence evidence) {
        if (close()) {
            done.accept(evidence);
        }
    }

    private boolean close() {
        if (finished) {
            return false;
        }
        finished = true;
        asked();
        tracker.ended();
        pool.users--;
        return true;
    }

    /** The worker has been asked once, or could not be. */
    private void asked() {
        if (!wasAsked) {
            wasAsked = true;
            tracker.asked();
        }
    }

    private void confirmed(Delete answered, int status) {
        if (finished || answered != delete) {
            return;
        }
        if (answered.inOrder && !answered.rested) {
            // Guards against a worker that answers out of order: the job's own answer may follow.
            answered.rested = true;
            long restedMicros = timers.nowMicros() + FreeLinks.REST_MICROS;
            timers.at(restedMicros, () -> confirmed(answered, status));
            return;
        }
        if (proof.isProvedBy(answered.stamp)) {
            provedInOrder = answered.inOrder;
            finish(new EndEvidence(Kind.CANCEL_CONFIRMED, status));
            return;
        }
        answeredTooEarly = true;
        if (proof.isSettled()) {
            send();
        }
    }

    /**
     * Also after a refusal, which is no word on the job: a worker may keep no more connections, or
     * have ended its listener and still complete what it runs. That the process has died is told by
     * its machine's call-back. One that another has followed is not repeated: its repeat would take
     * the place of that one.
     */
    private void again(Delete failed) {
        asked();
        if (failed != delete) {
            return;
        }
        if (timers.nowMicros() >= attempt.deadlineMicros()) {
            // The client has its answer by now and nothing will be sent again.
            finish(EndEvidence.of(Kind.DEADLINE));
        } else {
            // The last one goes out at the deadline: a longer pause would keep a process that is to
            // end waiting for it.
            timers.at(
                    Math.min(timers.nowMicros() + pauseMicros, attempt.deadlineMicros()),
                    () -> repeat(failed));
            pauseMicros = Math.min(2 * pauseMicros, LONGEST_PAUSE_MICROS);
        }
    }

    private void repeat(Delete failed) {
        if (failed == delete) {
            send();
        }
    }

    private final class Delete extends Request {
        private final boolean inOrder;
        private EndProof.Stamp stamp;
        private boolean rested;

        Delete(boolean inOrder) {
            super(NONE);
            this.inOrder = inOrder;
        }

        @Override
        byte[] head() {
            return MessageWriter.request("DELETE", "/jobs/" + attempt.id())
                    .header("Host", pool.host())
                    .noBody();
        }

        @Override
        boolean isNewWork() {
            return false;
        }

        @Override
        void carriedBy(Link carrier) {
            asked();
            stamp = inOrder ? proof.stampInOrder() : proof.stamp();
        }

        @Override
        void answered(Message response) {
            if (EndProof.confirmsCancellation(response)) {
                confirmed(this, response.status());
            } else {
                orderBroken();
                again(this);
            }
        }

        @Override
        void broken(Break how) {
            orderBroken();
            again(this);
        }

        @Override
        void contradicted() {
            orderBroken();
        }

        /** The job's own answer may have been lost, or has come only now. */
        private void orderBroken() {
            if (inOrder) {
                proof.contradict();
            }
        }

        void expire() {
            if (!over) {
                if (link == null) {
                    pool.withdraw(this);
                } else {
                    link.abort();
                }
                orderBroken();
                again(this);
            }
        }
    }
}
