package postgrade.dispatch;

/**
 * How an attempt went on the wire. Times are microseconds of the loop's clock, {@link #NEVER} for
 * what did not happen.
 *
 * @param writtenMicros its request was given to a connection
 * @param acceptedMicros its worker answered that it had taken the job
 * @param cancelledMicros its worker began to be told to drop it
 * @param connection null if it was not written
 */
public record WireRecord(
        long writtenMicros, long acceptedMicros, long cancelledMicros, ConnectionUse connection) {

    /** The time of what did not happen. */
    public static final long NEVER = -1;

    /** Of an attempt that never came to a connection. */
    public static final WireRecord NONE = new WireRecord(NEVER, NEVER, NEVER, null);
}
