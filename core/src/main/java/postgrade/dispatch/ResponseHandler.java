package postgrade.dispatch;

/**
 * The client of a request, who waits for its final answer. Exactly one of {@link #complete}, {@link
 * #reject} and {@link #fail} is called, once, on the loop's thread.
 */
public interface ResponseHandler {

    /** The job was served with this result. */
    void complete(byte[] result);

    /**
     * The job has not run, and trying again is harmless.
     *
     * @param retryAfterMicros when to try again; 0 for no advice
     */
    void reject(long retryAfterMicros);

    /**
     * The job has failed, and nothing is promised of its effect.
     *
     * @param timedOut whether the deadline has passed
     */
    void fail(boolean timedOut);

    /**
     * Whether the client has left by now, noticed or not. Asked before anything is sent for it, as
     * the loop may be late.
     */
    default boolean hasDisconnected() {
        return false;
    }
}
