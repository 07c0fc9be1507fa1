package postgrade.dispatch;

import postgrade.policy.api.AttemptOutcome;

/**
 * The record of an attempt that has ended. Times are microseconds of the event loop's clock.
 *
 * @param number the index among the request's attempts, from 0
 * @param evidence what showed that it had ended
 * @param beganMicros when the policy requested it
 * @param reportedStartMicros when its worker reported the start of the job, or {@link
 *     WireRecord#NEVER}
 */
public record EndedAttempt(
        String requestId,
        String jobClass,
        int number,
        String workerId,
        AttemptOutcome outcome,
        EndEvidence evidence,
        long beganMicros,
        long reportedStartMicros,
        long endedMicros,
        WireRecord wire) {

    /**
     * Returns how long it ran: from the start that its worker reported or, without such a report,
     * from when the policy requested it.
     */
    public long ranMicros() {
        long since = reportedStartMicros == WireRecord.NEVER ? beganMicros : reportedStartMicros;
        return endedMicros - since;
    }
}
