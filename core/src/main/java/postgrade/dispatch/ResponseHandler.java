package postgrade.dispatch;

/**
 * The client side of a request that waits for its final answer. Exactly one of {@link #complete},
 * {@link #reject} and {@link #fail} is called, once, on the event loop thread.
 */
public interface ResponseHandler {

    /** The job was served with this result. */
    void complete(byte[] result);

    /**
     * The job has not run, so the client may safely retry.
     *
     * @param retryAfterMicros when to retry; 0 for no advice
     */
    void reject(long retryAfterMicros);

    /**
     * The job has failed, and may or may not have taken effect.
     *
     * @param timedOut whether the deadline has passed
     */
    void fail(boolean timedOut);

    /**
     * Whether the client has disconnected, even if the event loop has not processed the disconnect
     * yet. Checked before anything is sent for the request, because the event loop may be late.
     */
    default boolean hasDisconnected() {
        return false;
    }
}
