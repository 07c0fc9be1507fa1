package postgrade.worker;

import postgrade.http.Message;

/**
 * Decides whether a written attempt is proved to have ended. It has ended only when something says
 * so that names it; without input, output or clock.
 *
 * <p>A worker may still take the job as long as its bytes are on their way, so the answer to a
 * DELETE proves nothing by itself: the DELETE may have come before the job. It proves the end if it
 * was written once the job could not come any more: its worker had said that it has it, or its
 * connection was over, or if it followed the job on its own connection. An answer on a connection
 * that has carried other requests may be a late one of an earlier exchange, and a reset may have
 * destroyed a 202 that had come; both are doubt.
 */
final class EndProof {

    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;

    private boolean soleExchange;
    private boolean settled;

    /** Voided whenever something shows that the order was another than it seemed. */
    private int epoch;

    /**
     * The request is being written.
     *
     * @param earlierExchanges requests that the connection has carried before
     */
    void written(int earlierExchanges) {
        soleExchange = earlierExchanges == 0;
    }

    /** Whether an answer on its connection can only be meant for it. */
    boolean answersNameIt() {
        return soleExchange;
    }

    /** A DELETE written from now on comes after the job, or the job never comes. */
    void settle() {
        settled = true;
    }

    /** What was taken for its answer was another one's: DELETEs written before prove nothing. */
    void contradict() {
        epoch++;
        settle();
    }

    boolean isSettled() {
        return settled;
    }

    /** What a DELETE that is written now has to show once it is answered. */
    Stamp stamp() {
        return new Stamp(settled, epoch);
    }

    /** The same for one that follows the job on its own connection: it cannot come before it. */
    Stamp stampInOrder() {
        return new Stamp(true, epoch);
    }

    /** Whether the answer to a DELETE with this stamp proves the end. */
    boolean isProvedBy(Stamp stamp) {
        return stamp.settled && stamp.epoch == epoch;
    }

    /** When a DELETE was written. */
    record Stamp(boolean settled, int epoch) {}

    /** Whether an answer can be one to a DELETE: another status is refused or meant for another. */
    static boolean confirmsCancellation(Message answer) {
        int status = answer.status();
        boolean done = status / 100 == 2 && status != ACCEPTED;
        return done || status == NOT_FOUND || status == GONE;
    }
}
