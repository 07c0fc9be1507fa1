package postgrade.client;

import java.util.function.Consumer;

/**
 * The link to the other processes of this dispatcher, if there are any. Relays to them the
 * call-backs for jobs that are not known here.
 */
public interface CallBackRelay {

    boolean hasPeers();

    /**
     * Handles the messages that the other processes have sent until now, among them which requests
     * they have begun.
     */
    default void receivePending() {}

    /**
     * Relays one call-back.
     *
     * @param done called once: with true when all other processes have processed it, with false
     *     when that is not known
     */
    void relay(byte[] body, Consumer<Boolean> done);
}
