package postgrade.gateway;

/** Who waits for an invocation's final answer. Exactly one of the first three is called, once. */
public interface Consumer {

    void serve(byte[] result);

    /** A rejection: trying again after this time is harmless. 0: no advice. */
    void reject(long retryAfterMicros);

    /**
     * @param timedOut the deadline has passed
     */
    void fail(boolean timedOut);

    /**
     * Has left by now, seen or not. Asked before anything is sent for it, when the loop may be
     * late.
     */
    default boolean hasLeft() {
        return false;
    }
}
