package postgrade.dispatch;

import java.util.function.Supplier;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DispatchPolicy;

/**
 * Matches workers' call-backs to the attempts of a request. A call-back names the request and the
 * worker but not the attempt, and is repeated until it is answered, so it may be about an earlier
 * attempt at the same worker. Must be used on the event loop thread only.
 */
final class ReportMatcher {

    private final Timers timers;
    private final AttemptLifecycle lifecycle;
    private final Supplier<DispatchPolicy> policy;

    ReportMatcher(Timers timers, AttemptLifecycle lifecycle, Supplier<DispatchPolicy> policy) {
        this.timers = timers;
        this.lifecycle = lifecycle;
        this.policy = policy;
    }

    /**
     * Processes a call-back. Those from other workers, about ended attempts or about attempts that
     * the worker cannot have received yet are ignored.
     */
    void process(
            PendingRequest request,
            String workerId,
            ReportedState state,
            double progress,
            byte[] result) {
        Attempt attempt = request.inFlightAttemptAt(workerId);
        if (attempt == null || !mayConcern(attempt, state)) {
            lifecycle.observer().reportUnmatched(request.id(), workerId, state);
            return;
        }
        int number = attempt.number();
        switch (state) {
            case STARTED -> {
                attempt.recordStart(timers.nowMicros());
                attempt.handle().startedByReport();
                lifecycle.notifyPolicy(
                        request, nowNs -> policy.get().attemptStarted(nowNs, request.id(), number));
            }
            case RUNNING -> {
                attempt.handle().startedByReport();
                lifecycle.notifyPolicy(
                        request,
                        nowNs ->
                                policy.get()
                                        .attemptProgressed(nowNs, request.id(), number, progress));
            }
            case DONE, FAILED, RETURNED, LOST -> end(attempt, state, result);
        }
    }

    /**
     * Whether a report can be about this attempt, or is a result of its request from an earlier
     * attempt at the same worker.
     */
    private static boolean mayConcern(Attempt attempt, ReportedState state) {
        return attempt.handle().isWritten()
                || (state == ReportedState.DONE && attempt.mayReceiveStaleReports());
    }

    private void end(Attempt attempt, ReportedState state, byte[] result) {
        if (!attempt.mayReceiveStaleReports()) {
            attempt.handle().endedByReport();
            lifecycle.end(attempt, state.outcome().orElseThrow(), EndEvidence.REPORTED, result);
            return;
        }
        // A late report about an earlier attempt at this worker would end this one while it runs.
        // So it is cancelled before the policy is notified. A result is the answer whichever
        // attempt it is from; any other end counts as possibly run.
        if (state == ReportedState.DONE) {
            lifecycle.serve(attempt.request(), result);
            lifecycle.cancel(attempt, AttemptOutcome.CANCELLED);
        } else {
            lifecycle.cancel(attempt, AttemptOutcome.RESET);
        }
    }
}
