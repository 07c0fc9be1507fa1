package postgrade.extension;

import java.io.IOException;
import java.nio.file.Path;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.dispatch.RequestObserver;
import postgrade.operator.AdditionalEndpoints;
import postgrade.policy.api.JobConstraints;

/**
 * What may stand beside a dispatcher: it is told what goes on and has a say in what the module
 * decides, and the dispatcher does all without it as well. All is called on the loop's thread, and
 * nothing here may wait.
 */
public interface DispatcherExtension {

    /** Consulted by the module for each job and worker. */
    JobConstraints jobConstraints();

    /**
     * What goes to a worker beside a job, in a header of ours that proves the job's claim; null for
     * most.
     */
    default String fence(String jobClass, String tenant, String workerId) {
        return null;
    }

    /**
     * Whether a connection to a worker may be opened now; asked right before, and then it is
     * opened.
     *
     * @param must it is opened whatever the answer, as nothing else can carry what is to be sent
     */
    default boolean mayConnect(String workerId, boolean must) {
        return true;
    }

    /**
     * A turn of the loop begins, and nothing of it has been taken in: what hangs on the time is
     * looked at here.
     */
    default void iterationStarted() {}

    /**
     * It has heard what a new process has to know, such as which workers are out. Until then, and
     * for so long at most, the process does not listen: consumers turn to others, as before it had
     * started.
     */
    default boolean isInitialized() {
        return true;
    }

    /**
     * How long it may be waited for: what stands beside a dispatcher may cost features, and no
     * consumer its answer.
     */
    default long initTimeoutMicros() {
        return 1_000_000;
    }

    /** What the companion of a new process of this dispatcher is to know, in a form of its own. */
    default String handOverState() {
        return "";
    }

    /** What jobs may claim in headers of ours; null for nothing, then none is looked at. */
    default ExtensionHeaders extensionHeaders() {
        return null;
    }

    /** Sees what becomes of invocations. */
    default RequestObserver requestObserver() {
        return RequestObserver.NONE;
    }

    /** Calls that operators may make of it. */
    AdditionalEndpoints operatorEndpoints();

    /** The list of workers has changed, in whole or in part; the module has not heard of it yet. */
    default void workerListChanged() {}

    /** An operator has taken this worker out here, or put it back. */
    default void workerMaintenanceChanged(String workerId, boolean out) {}

    /** A process of the same dispatcher has come or gone. */
    default void peersChanged() {}

    /** The process is to end, once all is answered. */
    default void stopping() {}

    /**
     * Everything is answered and the process ends: the last call. It may take some milliseconds.
     */
    void close();

    /** Finds companions, by {@link java.util.ServiceLoader}. */
    interface Factory {
        /**
         * Reads what is to stand there.
         *
         * @param dispatcher its name
         * @throws IllegalArgumentException for a faulty file; the message names the place
         */
        Configuration read(Path file, String dispatcher);
    }

    /** A file that was found good. */
    interface Configuration {
        /**
         * Called once, before the loop runs.
         *
         * @throws IllegalArgumentException where it does not go with the dispatcher's settings
         */
        DispatcherExtension open(Host host) throws IOException;
    }
}
