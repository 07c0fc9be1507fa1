package postgrade.worker;

import postgrade.dispatch.Timers;
import postgrade.dispatch.WireRecord;

/**
 * Follows whether a written job may still be on its way to its worker. Records in the {@link
 * EndProof} when that is settled, and notifies the cancellation of it.
 *
 * <p>What is written on a connection outlives our own end of it: in the send buffer, on the network
 * or in the worker's receive buffer. It is settled by the worker's answer, or by the worker's own
 * end of the connection, which comes after all that the worker reads there.
 */
final class JobDelivery {

    private final Timers timers;
    private final EndProof endProof;
    private final WireTimes wireTimes;
    private final Runnable onSettled;

    /** More has come after the response, so that one may belong to another exchange. */
    private boolean contradicted;

    /**
     * @param onSettled called each time something settles it, also when it was settled before
     */
    JobDelivery(Timers timers, EndProof endProof, WireTimes wireTimes, Runnable onSettled) {
        this.timers = timers;
        this.endProof = endProof;
        this.wireTimes = wireTimes;
        this.onSettled = onSettled;
    }

    /** The worker has the job or can no longer receive it. */
    void settle() {
        endProof.settleDelivery();
        onSettled.run();
    }

    /** The worker has ended its side of the connection, or the connection has broken. */
    void onWorkerEnded() {
        wireTimes.recordWorkerEnded(timers.nowMicros());
        settle();
    }

    /**
     * The worker's 202 has been read.
     *
     * @param cancelling whether the job is being cancelled, which waits for this
     */
    void onAccepted(boolean cancelling) {
        if (endProof.responsesAreUnambiguous()) {
            settle();
        } else if (cancelling) {
            settleAfterRest();
        }
    }

    /** The cancellation of the job begins. */
    void onCancelling() {
        if (isAccepted() && !endProof.isDeliverySettled()) {
            settleAfterRest();
        }
    }

    /**
     * A 202 on a reused connection may belong to an earlier exchange: it counts if no other
     * response comes while the connection rests.
     */
    private void settleAfterRest() {
        long restedMicros = wireTimes.acceptedMicros() + FreeConnections.REST_PERIOD_MICROS;
        if (timers.nowMicros() >= restedMicros) {
            settleUnlessContradicted();
        } else {
            timers.at(restedMicros, this::settleUnlessContradicted);
        }
    }

    private boolean isAccepted() {
        return wireTimes.acceptedMicros() != WireRecord.NEVER;
    }

    private void settleUnlessContradicted() {
        if (!contradicted) {
            settle();
        }
    }

    /** Another response has followed the one taken for the job's. */
    void onContradicted() {
        contradicted = true;
        endProof.invalidate();
        if (endProof.isDeliverySettled()) {
            onSettled.run();
        }
    }
}
