package postgrade.dispatch;

import java.util.function.Consumer;

/** The side that speaks to workers, as the dispatcher needs it. Called on the loop's thread. */
public interface WorkerTransport {

    /**
     * Starts the attempt. How it ends without a call-back is told to {@link
     * RequestTracker#attemptEnded}.
     */
    AttemptHandle start(Attempt attempt);

    /** Asks a worker whether it is well; the answer goes to {@link RequestTracker#workerProbed}. */
    void probe(String workerId);

    /** An attempt on the wire. */
    interface AttemptHandle {

        /**
         * Cancels the attempt on the wire. Tells {@code done} what shows it as soon as the worker
         * is sure not to start it or to continue it as ours: within this method, later, or never if
         * the worker is silent.
         */
        void cancel(Consumer<EndEvidence> done);

        /** The attempt has ended by a call-back, and nothing is to be cancelled. */
        void endedByReport();

        /** A call-back has told that the job has started: it cannot be said to have never run. */
        void startedByReport();

        /** Whether its last byte has been given to the system, so that the worker may run it. */
        boolean isWritten();

        /**
         * Whether a call-back may yet come: the worker has accepted the job, or has not answered.
         */
        boolean mayReport();

        /** How it has gone on the wire so far. */
        WireRecord wireRecord();
    }
}
