package postgrade.telemetry;

import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndedAttempt;
import postgrade.policy.api.AttemptOutcome;

/**
 * The latest attempts that ended without a call-back of their worker. A call-back that comes for
 * one of them later shows that its end was concluded wrongly, or crossed the worker's word.
 */
final class RecentEnds {

    private static final int MOST = 256;

    private final EndedAttempt[] ends = new EndedAttempt[MOST];
    private int next;

    void add(EndedAttempt ended) {
        boolean reported = ended.evidence().kind() == EndEvidence.Kind.REPORTED;
        if (!reported && ended.outcome() != AttemptOutcome.NOT_SENT) {
            ends[next] = ended;
            next = (next + 1) % MOST;
        }
    }

    /** The latest such end of this request at this worker, or null. */
    EndedAttempt find(String requestId, String workerId) {
        for (int back = 1; back <= MOST; back++) {
            EndedAttempt ended = ends[(next - back + MOST) % MOST];
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
