package postgrade.worker;

import postgrade.http.Message;

/**
 * Decides whether a written attempt is proved to have ended. Only something that names the attempt
 * can prove that. Pure logic without I/O or clock.
 *
 * <p>A worker may still accept the job while its bytes are in flight, so the response to a DELETE
 * proves nothing by itself: the DELETE may have arrived before the job. It proves the end if it was
 * written after the job could no longer arrive, because the worker had confirmed that it has the
 * job or had ended its side of the job's connection, or if it followed the job on the same
 * connection. The end of our own side proves nothing: bytes on their way arrive after it. A
 * response on a connection that has carried other requests may be a late one of an earlier
 * exchange, and a reset may have destroyed a 202 that had arrived; neither is a proof.
 */
final class EndProof {

    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;

    private boolean firstExchange;
    private boolean deliverySettled;

    /**
     * Incremented whenever something shows that the assumed order was wrong; DELETEs of an earlier
     * epoch prove nothing.
     */
    private int epoch;

    /**
     * The request is being written.
     *
     * @param previousRequests requests that the connection has carried before
     */
    void onWriting(int previousRequests) {
        firstExchange = previousRequests == 0;
    }

    /** Whether a response on its connection can only belong to this request. */
    boolean responsesAreUnambiguous() {
        return firstExchange;
    }

    /** From now on a DELETE arrives after the job, or the job never arrives. */
    void settleDelivery() {
        deliverySettled = true;
    }

    /**
     * A response taken for the job's, or for that of a DELETE behind it, belongs to another
     * exchange: DELETEs written before prove nothing, and the job may still be on its way.
     */
    void invalidate() {
        epoch++;
        deliverySettled &= firstExchange;
    }

    boolean isDeliverySettled() {
        return deliverySettled;
    }

    /** The conditions under which a DELETE is written now, to be checked once it is answered. */
    DeleteStamp stamp() {
        return new DeleteStamp(deliverySettled, epoch);
    }

    /**
     * The same for a DELETE that follows the job on its own connection, which it cannot overtake.
     */
    DeleteStamp stampInOrder() {
        return new DeleteStamp(true, epoch);
    }

    /** Whether the response to a DELETE with this stamp proves the end. */
    boolean isProvedBy(DeleteStamp stamp) {
        return stamp.deliverySettled && stamp.epoch == epoch;
    }

    /** The conditions under which a DELETE was written. */
    record DeleteStamp(boolean deliverySettled, int epoch) {}

    /**
     * Whether a response can confirm a DELETE: any other status is a refusal or belongs to another
     * request.
     */
    static boolean confirmsCancellation(Message response) {
        int status = response.status();
        boolean succeeded = status / 100 == 2 && status != ACCEPTED;
        return succeeded || status == NOT_FOUND || status == GONE;
    }
}
