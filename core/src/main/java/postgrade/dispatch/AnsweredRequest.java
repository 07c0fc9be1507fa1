package postgrade.dispatch;

import postgrade.policy.api.DecisionReason;

/**
 * A request that has its final answer.
 *
 * @param afterMicros since it arrived
 * @param attempts how many were made for it
 * @param reason of an answer that is not a result
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
        /** Trying again is harmless. */
        REJECTED,
        /** Nothing is promised of its effect. */
        FAILED
    }

    /** Whether the job was served. */
    public boolean isServed() {
        return answer == Answer.SERVED;
    }
}
