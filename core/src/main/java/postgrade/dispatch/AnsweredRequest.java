package postgrade.dispatch;

import postgrade.policy.api.DecisionReason;

/**
 * A request that has received its final answer.
 *
 * @param afterMicros the time from the request's arrival to its answer
 * @param attempts the number of attempts that were made
 * @param reason why the answer is not a result
 */
public record AnsweredRequest(
        String requestId,
        String jobClass,
        Answer answer,
        long afterMicros,
        int attempts,
        DecisionReason reason) {

    /** The kinds of final answers. */
    public enum Answer {
        /** A worker's result. */
        SERVED,
        /** The job was not run, so the client may safely retry. */
        REJECTED,
        /** The job may or may not have taken effect. */
        FAILED
    }

    /** Whether the job was served. */
    public boolean isServed() {
        return answer == Answer.SERVED;
    }
}
