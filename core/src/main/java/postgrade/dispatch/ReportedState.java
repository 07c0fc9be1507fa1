package postgrade.dispatch;

import java.util.Optional;
import postgrade.policy.api.AttemptOutcome;

/** The state of an accepted job, as a worker's call-back reports it. */
public enum ReportedState {
    STARTED(null),
    RUNNING(null),
    DONE(AttemptOutcome.SERVED),
    FAILED(AttemptOutcome.ERROR),
    RETURNED(AttemptOutcome.FULL),
    LOST(AttemptOutcome.RESET);

    private final AttemptOutcome outcome;

    ReportedState(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** Returns the outcome of the attempt; empty if it continues. */
    Optional<AttemptOutcome> outcome() {
        return Optional.ofNullable(outcome);
    }
}
