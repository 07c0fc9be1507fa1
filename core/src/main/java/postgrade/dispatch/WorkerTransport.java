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

    /** An attempt that the transport has started. */
    interface AttemptHandle {

        /**
         * Cancels the attempt on the wire. Calls {@code done} with the evidence as soon as it is
         * certain that the worker will neither start the attempt nor continue it for this
         * dispatcher. This may happen before this method returns, later, or, if the worker does not
         * respond, never.
         */
        void cancel(Consumer<EndEvidence> done);

        /** A call-back has reported the end of the attempt, so there is nothing to cancel. */
        void endedByReport();

        /**
         * A call-back has reported the start of the job, so it can no longer count as never run.
         */
        void startedByReport();

        /**
         * Whether the last byte of the request has been passed to the operating system, so that the
         * worker may run the job.
         */
        boolean isWritten();

        /**
         * Whether a call-back about the attempt may still arrive, as long as its request is open:
         * the worker has or may have received the job, and has not turned it away by its response.
         * This includes an attempt that a call-back has ended, as call-backs are repeated.
         */
        boolean mayReport();

        /** Returns the times of the attempt on the wire that are known so far. */
        WireRecord wireRecord();
    }
}
