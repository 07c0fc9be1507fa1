package postgrade.consumer;

import java.util.function.Consumer;

/**
 * Hands call-backs of jobs that are not known here to the other processes of this dispatcher, where
 * there are any.
 */
public interface Relay {

    boolean any();

    /**
     * @param done told once, true when all others have looked at it, false when that is not known
     */
    void callBack(byte[] body, Consumer<Boolean> done);
}
