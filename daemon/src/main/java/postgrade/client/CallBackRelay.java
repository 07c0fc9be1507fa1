package postgrade.client;

import java.util.function.Consumer;

/**
 * Hands call-backs of jobs that are not known here to the other processes of this dispatcher, where
 * there are any.
 */
public interface CallBackRelay {

    boolean hasPeers();

    /**
     * @param done told once, true when all others have looked at it, false when that is not known
     */
    void relay(byte[] body, Consumer<Boolean> done);
}
