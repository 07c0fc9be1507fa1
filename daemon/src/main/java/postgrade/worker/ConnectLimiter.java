package postgrade.worker;

/**
 * Limits how often connections to a worker are opened when many dispatchers may do so at once.
 * Nothing is limited unless a limiter is set; a request never waits for it longer than {@link
 * ConnectionPool#MAX_CONNECT_DELAY_MICROS}.
 */
@FunctionalInterface
public interface ConnectLimiter {

    /**
     * Called right before a connection is opened; counts it if it is allowed or mandatory.
     *
     * @param mandatory the connection is opened whatever the result, because nothing else can carry
     *     the request
     */
    boolean tryOpen(String workerId, boolean mandatory);
}
