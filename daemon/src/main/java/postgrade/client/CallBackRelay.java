package postgrade.client;

import java.util.function.Consumer;

/**
 * Relays call-backs for jobs that are not known here to the other processes of this dispatcher, if
 * there are any.
 */
public interface CallBackRelay {

    boolean hasPeers();

    /**
     * Relays one call-back.
     *
     * @param done called once: with true when all other processes have processed it, with false
     *     when that is not known
     */
    void relay(byte[] body, Consumer<Boolean> done);
}
