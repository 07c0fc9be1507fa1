package postgrade.sharing.session;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import postgrade.shared.ReplicatedState;
import postgrade.shared.StatePart;

/** Opens the shared state. May be called on any thread, and may block. */
@FunctionalInterface
public interface StateOpener {

    /**
     * Opens the state of a member.
     *
     * @param loopExecutor runs the callbacks of the state
     */
    ReplicatedState open(List<StatePart> parts, LongSupplier nowMicros, Executor loopExecutor)
            throws IOException;

    /**
     * Opens a read-only observer while another process holds this one's membership, without taking
     * anything over from it. Returns null if that is not supported.
     */
    default ReplicatedState openObserver(LongSupplier nowMicros, Executor loopExecutor)
            throws IOException {
        return null;
    }
}
