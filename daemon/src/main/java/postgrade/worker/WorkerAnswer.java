package postgrade.worker;

import postgrade.http.Message;
import postgrade.policy.api.AttemptOutcome;

/** What a worker's answer to a job means by the protocol, if it is meant for that job. */
enum WorkerAnswer {
    /** It has taken the job; its end comes by a call-back. */
    ACCEPTED(null),
    /** The job has not run and will not. */
    NEVER_RAN(AttemptOutcome.FULL),
    /** The job has failed, and may have had an effect. */
    FAILED(AttemptOutcome.ERROR),
    /** Neither this worker nor another can use the request. */
    UNUSABLE(AttemptOutcome.CANCELLED),
    /** None that the protocol knows: the job may run, or may yet. */
    UNKNOWN(AttemptOutcome.ERROR);

    private final AttemptOutcome outcome;

    WorkerAnswer(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** How the attempt ends by it; null if it goes on. */
    AttemptOutcome outcome() {
        return outcome;
    }

    static WorkerAnswer of(Message response) {
        int status = response.status();
        return switch (status) {
            case 202 -> ACCEPTED;
            case 500 -> FAILED;
            case 503, 504 -> "1".equals(response.header("x-not-run")) ? NEVER_RAN : FAILED;
            case 408, 429 -> UNKNOWN;
            default -> status / 100 == 4 ? UNUSABLE : UNKNOWN;
        };
    }
}
