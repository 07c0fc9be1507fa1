package postgrade.dispatch;

import postgrade.policy.api.AttemptOutcome;

/**
 * An attempt that has ended, and what is known of its course. Times are microseconds of the loop's
 * clock.
 *
 * @param number of the request's attempts, from 0
 * @param evidence what showed its end
 * @param beganMicros when the policy asked for it
 * @param reportedStartMicros when its worker reported its start, or {@link WireRecord#NEVER}
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

    /** How long it ran since its worker reported its start, or since it began where it did not. */
    public long ranMicros() {
        long since = reportedStartMicros == WireRecord.NEVER ? beganMicros : reportedStartMicros;
        return endedMicros - since;
    }
}
