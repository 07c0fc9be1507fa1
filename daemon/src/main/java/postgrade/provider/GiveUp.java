package postgrade.provider;

import java.util.function.Consumer;
import java.util.function.IntConsumer;
import postgrade.dispatch.Attempt;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndEvidence.Kind;
import postgrade.dispatch.Timers;
import postgrade.http.Message;
import postgrade.http.MessageWriter;

/**
 * DELETE of one job, again until it is answered or the job's consumer gives up. Guards against two
 * calls out: until it is answered the provider may still run the job, and the module is not told.
 */
final class GiveUp {
    /** How long one DELETE may take. */
    private static final long ANSWER_MICROS = 400_000;

    /**
     * The pause before the next doubles from the one to the other. Guards the provider: one whose
     * process has ended refuses each, and each would be a new connection, up to the job's deadline.
     */
    private static final long FIRST_PAUSE_MICROS = 50_000;

    private static final long LONGEST_PAUSE_MICROS = 400_000;

    private final Timers timers;
    private final Pool pool;
    private final Attempt call;
    private final IntConsumer underWay;
    private final Consumer<EndEvidence> done;
    private Delete delete;
    private boolean finished;
    private long pauseMicros = FIRST_PAUSE_MICROS;

    /**
     * @param underWay counts those that are under way
     */
    GiveUp(
            Timers timers,
            Pool pool,
            Attempt call,
            IntConsumer underWay,
            Consumer<EndEvidence> done) {
        this.timers = timers;
        this.pool = pool;
        this.call = call;
        this.underWay = underWay;
        this.done = done;
        underWay.accept(1);
    }

    void send() {
        if (finished) {
            return;
        }
        Delete sent = new Delete();
        delete = sent;
        timers.at(timers.nowMicros() + ANSWER_MICROS, sent::expire);
        pool.send(sent);
    }

    /**
     * The call has ended otherwise: a DELETE that still waits for its connection is not written any
     * more.
     */
    void stop() {
        if (close() && !delete.over && delete.link == null) {
            pool.withdraw(delete); // Guards a later call to the same provider, which it would end.
        }
    }

    /** The call is given up. A DELETE under way goes on, and frees the provider in any case. */
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
        underWay.accept(-1);
        pool.users--;
        return true;
    }

    /**
     * Also after a refusal, which is no word on the job: a provider may keep no more connections,
     * or have ended its listener and still complete what it runs. That the process has died is told
     * by its machine's call-back.
     */
    private void again() {
        if (timers.nowMicros() >= call.deadlineMicros()) {
            // The client has its answer by now and nothing will be sent again.
            finish(EndEvidence.of(Kind.DEADLINE));
        } else {
            // The last one goes out at the deadline: a longer pause would keep a process that is to
            // end waiting for it.
            timers.at(
                    Math.min(timers.nowMicros() + pauseMicros, call.deadlineMicros()), this::send);
            pauseMicros = Math.min(2 * pauseMicros, LONGEST_PAUSE_MICROS);
        }
    }

    private final class Delete extends Request {
        Delete() {
            super(NONE);
        }

        @Override
        byte[] head() {
            return MessageWriter.request("DELETE", "/jobs/" + call.id())
                    .header("Host", pool.host())
                    .noBody();
        }

        @Override
        boolean isNewWork() {
            return false;
        }

        @Override
        void answered(Message response) {
            finish(new EndEvidence(Kind.CANCEL_CONFIRMED, response.status()));
        }

        @Override
        void broken(Break how) {
            again();
        }

        void expire() {
            if (!over) {
                if (link == null) {
                    pool.withdraw(this);
                } else {
                    link.abort();
                }
                again();
            }
        }
    }
}
