package postgrade.extension;

import java.io.IOException;
import java.nio.file.Path;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.dispatch.RequestObserver;
import postgrade.operator.AdditionalEndpoints;
import postgrade.policy.api.JobConstraints;

/**
 * An optional extension of a dispatcher. It is notified of events and can constrain the policy's
 * decisions; the dispatcher works without it. All methods are called on the loop's thread and must
 * not block.
 */
public interface DispatcherExtension {

    /** Returns the constraints that the policy checks for each job and worker. */
    JobConstraints jobConstraints();

    /**
     * Returns the fencing token sent to a worker with a job, in a header of its own, which proves
     * the job's claim; null for most jobs.
     */
    default String fence(String jobClass, String tenant, String workerId) {
        return null;
    }

    /**
     * Returns whether a connection to a worker may be opened now. Called right before the
     * connection is opened.
     *
     * @param forced the connection is opened whatever the answer, as nothing else can carry the
     *     request
     */
    default boolean mayConnect(String workerId, boolean forced) {
        return true;
    }

    /**
     * Called at the start of a loop iteration, before any input is processed. Time-dependent state
     * is updated here.
     */
    default void iterationStarted() {}

    /**
     * Returns whether the extension has received the state that a new process needs, such as which
     * workers are in maintenance. Until then, but no longer than {@link #initTimeoutMicros}, the
     * process does not listen, and clients use other dispatchers as they did before it started.
     */
    default boolean isInitialized() {
        return true;
    }

    /**
     * Returns how long to wait for {@link #isInitialized} at most: a failing extension may disable
     * features but must not cost a client its answer.
     */
    default long initTimeoutMicros() {
        return 1_000_000;
    }

    /**
     * Returns the state for the extension in a new process of this dispatcher, in a format of the
     * extension's own.
     */
    default String handOverState() {
        return "";
    }

    /** Returns the reader of additional job headers; null if there is none. */
    default ExtensionHeaders extensionHeaders() {
        return null;
    }

    /** Returns an observer of requests. */
    default RequestObserver requestObserver() {
        return RequestObserver.NONE;
    }

    /** Returns the extension's operator endpoints. */
    AdditionalEndpoints operatorEndpoints();

    /**
     * The list of workers has changed, in full or in part. Called before the policy is notified.
     */
    default void workerListChanged() {}

    /**
     * An operator has put this worker into maintenance at this dispatcher, or taken it out.
     *
     * @param inMaintenance whether the worker is now in maintenance
     */
    default void workerMaintenanceChanged(String workerId, boolean inMaintenance) {}

    /** A process of the same dispatcher has started or ended. */
    default void peersChanged() {}

    /** The process begins to shut down; it exits once everything is answered. */
    default void stopping() {}

    /**
     * Everything is answered and the process exits. This is the last call and may take some
     * milliseconds.
     */
    void close();

    /** Creates extensions; found by {@link java.util.ServiceLoader}. */
    interface Factory {
        /**
         * Reads a configuration file.
         *
         * @param dispatcher the name of the dispatcher
         * @throws IllegalArgumentException if the file is invalid; the message names the place
         */
        Configuration read(Path file, String dispatcher);
    }

    /** A validated configuration. */
    interface Configuration {
        /**
         * Creates the extension. Called once, before the loop runs.
         *
         * @throws IllegalArgumentException if the configuration conflicts with the dispatcher's
         *     settings
         */
        DispatcherExtension open(Host host) throws IOException;
    }
}
