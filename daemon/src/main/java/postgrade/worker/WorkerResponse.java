package postgrade.worker;

import postgrade.http.Message;
import postgrade.policy.api.AttemptOutcome;

/**
 * The meaning of a worker's response to a job in the protocol, provided that it belongs to that
 * job.
 */
enum WorkerResponse {
    /** The worker has accepted the job; a call-back reports its end. */
    ACCEPTED(null),
    /** The job has not run and will not. */
    NEVER_RAN(AttemptOutcome.FULL),
    /** The job has failed, and may have had an effect. */
    FAILED(AttemptOutcome.ERROR),
    /** Neither this worker nor another can use the request. */
    UNUSABLE(AttemptOutcome.CANCELLED),
    /** A status that the protocol does not define: the job may run now or later. */
    UNKNOWN(AttemptOutcome.ERROR);

    private final AttemptOutcome outcome;

    WorkerResponse(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** The attempt's outcome, or null if it continues. */
    AttemptOutcome outcome() {
        return outcome;
    }

    static WorkerResponse of(Message response) {
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
