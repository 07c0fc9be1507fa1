package postgrade.dispatch;

import postgrade.policy.api.AttemptOutcome;

/**
 * Observes what becomes of requests and attempts, and changes nothing of it. Called on the loop's
 * thread.
 */
public interface RequestObserver {

    /** Observes nothing. */
    RequestObserver NONE = new RequestObserver() {};

    /**
     * A request has its final answer. One whose client has left has none.
     *
     * @param afterMicros since it arrived
     * @param served whether the job was served, else it was rejected or failed
     */
    default void requestAnswered(String id, String jobClass, long afterMicros, boolean served) {}

    /**
     * An attempt has ended.
     *
     * @param ranMicros since the worker reported its start, or since it was sent where it reported
     *     none
     */
    default void attemptEnded(String jobClass, AttemptOutcome outcome, long ranMicros) {}
}
