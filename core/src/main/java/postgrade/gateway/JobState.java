package postgrade.gateway;

import postgrade.Dispatcher.Outcome;

/** What a provider reports of a job it has taken. */
public enum JobState {
    STARTED(null),
    RUNNING(null),
    DONE(Outcome.SERVED),
    FAILED(Outcome.ERROR),
    RETURNED(Outcome.FULL),
    LOST(Outcome.RESET);

    /** How the call has ended, or null if it goes on. */
    final Outcome end;

    JobState(Outcome end) {
        this.end = end;
    }
}
