package postgrade.dispatch;

import postgrade.policy.api.DecisionReason;

/** Observes requests and attempts without affecting them. Called on the event loop thread. */
public interface RequestObserver {

    /** An observer that does nothing. */
    RequestObserver NONE = new RequestObserver() {};

    /** A request has its final answer. Not called for a request whose client has disconnected. */
    default void requestAnswered(AnsweredRequest answered) {}

    /** A further attempt of a request begins, after one that has ended or concurrently with one. */
    default void attemptRepeated(String requestId, String workerId, int number) {}

    /** The policy cancels an attempt in flight. */
    default void attemptCancelled(
            String requestId, String workerId, int number, DecisionReason reason) {}

    /** An attempt has ended. */
    default void attemptEnded(EndedAttempt ended) {}

    /** A worker has reported on a request that has no attempt in flight at that worker. */
    default void reportUnmatched(String requestId, String workerId, ReportedState state) {}

    /** Returns an observer that notifies both, in the given order. */
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
