package postgrade.worker;

/**
 * How often connections to a provider may be opened, where many dispatchers may do so at once.
 * Nothing paces unless one is given; a request never waits for it longer than {@link
 * Pool#PATIENCE_MICROS}.
 */
@FunctionalInterface
public interface ConnectLimiter {

    /**
     * Asked right before one is opened, and counts it if so.
     *
     * @param must it is opened whatever the answer is: nothing else can carry the request
     */
    boolean tryOpen(String providerId, boolean must);
}
