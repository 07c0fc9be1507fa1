package postgrade.dispatch;

import java.util.Optional;
import postgrade.policy.api.AttemptOutcome;

/** What a worker's call-back reports of a job that it has accepted. */
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

    /** How the attempt has ended; empty if it goes on. */
    Optional<AttemptOutcome> outcome() {
        return Optional.ofNullable(outcome);
    }
}
