package postgrade.dispatch;

import java.util.function.Consumer;

/**
 * The transport to the workers, as the dispatcher core uses it. Called on the event loop thread.
 */
public interface WorkerTransport {

    /**
     * Starts the attempt. An end without a call-back is reported to {@link
     * RequestTracker#attemptEnded}.
     */
    AttemptHandle start(Attempt attempt);

    /** Probes a worker; the result goes to {@link RequestTracker#workerProbed}. */
    void probe(String workerId);

    /** An attempt on the wire. */
    interface AttemptHandle {

        /**
         * Cancels the attempt on the wire. Calls {@code done} with the evidence as soon as the
         * worker is certain not to start the attempt, and not to continue it for this dispatcher:
         * within this method, later, or never if the worker does not respond.
         */
        void cancel(Consumer<EndEvidence> done);

        /** The attempt has ended by a call-back, so there is nothing to cancel. */
        void endedByReport();

        /**
         * A call-back has reported the start of the job, so it can no longer count as never run.
         */
        void startedByReport();

        /**
         * Whether its last byte has been passed to the operating system, so that the worker may run
         * it.
         */
        boolean isWritten();

        /**
         * Whether a call-back may still arrive: the worker has accepted the job, or has not
         * responded.
         */
        boolean mayReport();

        /** Returns the times on the wire so far. */
        WireRecord wireRecord();
    }
}
