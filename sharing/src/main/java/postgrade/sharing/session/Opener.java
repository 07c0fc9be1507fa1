package postgrade.sharing.session;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import postgrade.shared.Part;
import postgrade.shared.Sharing;

/** Opens what shares the state. May be called on any thread, and take its time. */
@FunctionalInterface
public interface Opener {

    /**
     * @param onLoop where its answers come back
     */
    Sharing open(List<Part> parts, LongSupplier nowMicros, Executor onLoop) throws IOException;

    /**
     * Follows beside the process that has this one's place, and takes nothing from it; null where
     * that is not to be had.
     */
    default Sharing beside(LongSupplier nowMicros, Executor onLoop) throws IOException {
        return null;
    }
}
