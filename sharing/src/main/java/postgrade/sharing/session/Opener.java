package postgrade.sharing.session;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import postgrade.shared.ReplicatedState;
import postgrade.shared.StatePart;

/** Opens what shares the state. May be called on any thread, and take its time. */
@FunctionalInterface
public interface Opener {

    /**
     * @param onLoop where its answers come back
     */
    ReplicatedState open(List<StatePart> parts, LongSupplier nowMicros, Executor onLoop)
            throws IOException;

    /**
     * Follows beside the process that has this one's place, and takes nothing from it; null where
     * that is not to be had.
     */
    default ReplicatedState beside(LongSupplier nowMicros, Executor onLoop) throws IOException {
        return null;
    }
}
