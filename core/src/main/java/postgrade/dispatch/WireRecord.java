package postgrade.dispatch;

/**
 * The times of an attempt on the wire, in microseconds of the event loop's clock, with {@link
 * #NEVER} for what did not happen.
 *
 * @param writtenMicros when its request was passed to a connection
 * @param acceptedMicros when its worker responded that it had accepted the job
 * @param cancelledMicros when its cancellation at the worker began
 * @param outputEndedMicros when our side of its connection ended while it could still arrive
 * @param workerEndedMicros when its worker ended its side of that connection, or the connection
 *     broke
 * @param connection the connection it was written to, null if it was not written
 */
public record WireRecord(
        long writtenMicros,
        long acceptedMicros,
        long cancelledMicros,
        long outputEndedMicros,
        long workerEndedMicros,
        ConnectionUse connection) {

    /** The time of an event that did not happen. */
    public static final long NEVER = -1;

    /** The record of an attempt that never got a connection. */
    public static final WireRecord NONE = new WireRecord(NEVER, NEVER, NEVER, NEVER, NEVER, null);
}
