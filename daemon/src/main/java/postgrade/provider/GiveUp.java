package postgrade.provider;

import java.util.function.IntConsumer;
import postgrade.gateway.InvokerCall;
import postgrade.gateway.Timers;
import postgrade.http.Message;
import postgrade.http.MessageWriter;

/**
 * DELETE of one job, again until it is answered or the job's consumer gives up. Guards against two calls out: until it is
 * answered the provider may still run the job, and the module is not told.
 */
final class GiveUp {
    /** How long one DELETE may take, and the pause before the next. */
    private static final long ANSWER_MICROS = 400_000;
    private static final long AGAIN_MICROS = 50_000;

    private final Timers timers;
    private final Pool pool;
    private final InvokerCall call;
    private final IntConsumer underWay;
    private final Runnable done;
    private Delete delete;
    private boolean finished;

    /** @param underWay counts those that are under way */
    GiveUp(Timers timers, Pool pool, InvokerCall call, IntConsumer underWay, Runnable done) {
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

    /** The call has ended otherwise: a DELETE that still waits for its connection is not written any more. */
    void stop() {
        if (close() && !delete.over && delete.link == null) {
            pool.withdraw(delete); // Guards a later call to the same provider, which it would end.
        }
    }

    /** The call is given up. A DELETE under way goes on, and frees the provider in any case. */
    void finish() {
        if (close()) {
            done.run();
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

    private void again() {
        if (timers.nowMicros() >= call.deadlineMicros()) {
            finish(); // The consumer has its answer by now and nothing will be sent again.
        } else {
            timers.at(timers.nowMicros() + AGAIN_MICROS, this::send);
        }
    }

    private final class Delete extends Request {
        Delete() {
            super(NONE);
        }

        @Override
        byte[] head() {
            return MessageWriter.request("DELETE", "/jobs/" + call.id()).header("Host", pool.host()).noBody();
        }

        @Override
        boolean isNewWork() {
            return false;
        }

        @Override
        void answered(Message response) {
            finish();
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
