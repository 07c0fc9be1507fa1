package postgrade.dispatch;

import postgrade.policy.api.DecisionReason;

/**
 * Observes what becomes of requests and attempts, and changes nothing of it. Called on the loop's
 * thread.
 */
public interface RequestObserver {

    /** Observes nothing. */
    RequestObserver NONE = new RequestObserver() {};

    /** A request has its final answer. One whose client has left has none. */
    default void requestAnswered(AnsweredRequest answered) {}

    /** A further attempt of a request begins, after one that has ended or beside one. */
    default void attemptRepeated(String requestId, String workerId, int number) {}

    /** The policy cancels an attempt that has not ended. */
    default void attemptCancelled(
            String requestId, String workerId, int number, DecisionReason reason) {}

    /** An attempt has ended. */
    default void attemptEnded(EndedAttempt ended) {}

    /** A worker has reported on a request of which no attempt is out there. */
    default void reportUnmatched(String requestId, String workerId, ReportedState state) {}

    /** Tells both, the first one first. */
    static RequestObserver both(RequestObserver first, RequestObserver second) {
        return new RequestObserver() {
            @Override
            public void requestAnswered(AnsweredRequest answered) {
                first.requestAnswered(answered);
                second.requestAnswered(answered);
            }

            @Override
            public void attemptRepeated(String requestId, String workerId, int number) {
                first.attemptRepeated(requestId, workerId, number);
                second.attemptRepeated(requestId, workerId, number);
            }

            @Override
            public void attemptCancelled(
                    String requestId, String workerId, int number, DecisionReason reason) {
                first.attemptCancelled(requestId, workerId, number, reason);
                second.attemptCancelled(requestId, workerId, number, reason);
            }

            @Override
            public void attemptEnded(EndedAttempt ended) {
                first.attemptEnded(ended);
                second.attemptEnded(ended);
            }

            @Override
            public void reportUnmatched(String requestId, String workerId, ReportedState state) {
                first.reportUnmatched(requestId, workerId, state);
                second.reportUnmatched(requestId, workerId, state);
            }
        };
    }
}
