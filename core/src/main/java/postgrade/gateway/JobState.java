package postgrade.gateway;

import postgrade.policy.api.AttemptOutcome;

/** What a provider reports of a job it has taken. */
public enum JobState {
    STARTED(null),
    RUNNING(null),
    DONE(AttemptOutcome.SERVED),
    FAILED(AttemptOutcome.ERROR),
    RETURNED(AttemptOutcome.FULL),
    LOST(AttemptOutcome.RESET);

    /** How the call has ended, or null if it goes on. */
    final AttemptOutcome end;

    JobState(AttemptOutcome end) {
        this.end = end;
    }
}
