package postgrade.telemetry;

import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndedAttempt;
import postgrade.policy.api.AttemptOutcome;

/**
 * The latest attempts that ended without a call-age of their worker. A later call-age for one of
 * them shows that its end was concluded wrongly, or that the end and the call-age crossed on the
 * wire.
 */
final class RecentlyEndedAttempts {

    private static final int CAPACITY = 256;

    private final EndedAttempt[] attempts = new EndedAttempt[CAPACITY];
    private int next;

    void add(EndedAttempt ended) {
        boolean reported = ended.evidence().kind() == EndEvidence.Kind.REPORTED;
        if (!reported && ended.outcome() != AttemptOutcome.NOT_SENT) {
            attempts[next] = ended;
            next = (next + 1) % CAPACITY;
        }
    }

    /** Returns the latest such attempt of this request at this worker, or null. */
    EndedAttempt find(String requestId, String workerId) {
        for (int age = 1; age <= CAPACITY; age++) {
            EndedAttempt ended = attempts[(next - age + CAPACITY) % CAPACITY];
            if (ended == null) {
                return null;
            }
            if (ended.requestId().equals(requestId) && ended.workerId().equals(workerId)) {
                return ended;
            }
        }
        return null;
    }
}
