package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import postgrade.policy.api.PolicyActions;

/** Records the actions of a policy as text, oldest first. */
final class RecordingActions implements PolicyActions {
    final List<String> recorded = new ArrayList<>();

    /** The time within which the request of the latest attempt has to be sent. */
    long sendWithinNs;

    @Override
    public void startAttempt(String jobId, String workerId, long timeoutNs) {
        recorded.add("send " + jobId + " " + workerId);
    }

    @Override
    public void startAttempt(String jobId, String workerId, long timeoutNs, long withinNs) {
        sendWithinNs = withinNs;
        startAttempt(jobId, workerId, timeoutNs);
    }

    @Override
    public void cancelAttempt(String jobId, int attempt) {
        recorded.add("cancel " + jobId + " " + attempt);
    }

    @Override
    public void reject(String jobId, long retryAfterNs) {
        recorded.add("reject " + jobId + " " + retryAfterNs);
    }

    @Override
    public void fail(String jobId) {
        recorded.add("fail " + jobId);
    }

    @Override
    public void probe(String workerId) {
        recorded.add("probe " + workerId);
    }

    @Override
    public void startTimer(String token, long delayNs) {
        recorded.add("timer " + token);
    }

    @Override
    public void watchWorkers() {
        recorded.add("watch");
    }

    long count(String prefix) {
        return recorded.stream().filter(action -> action.startsWith(prefix)).count();
    }

    /** Returns the latest action with this prefix, or an empty string. */
    String last(String prefix) {
        return recorded.stream()
                .filter(action -> action.startsWith(prefix))
                .reduce("", (earlier, later) -> later);
    }

    /** Returns how many attempts were sent to workers whose id matches. */
    long sendsTo(Predicate<String> workerId) {
        return recorded.stream()
                .filter(
                        action ->
                                action.startsWith("send ")
                                        && workerId.test(
                                                action.substring(action.lastIndexOf(' ') + 1)))
                .count();
    }

    /** Returns the worker that the job was last sent to, or an empty string. */
    String sentTo(String jobId) {
        String action = last("send " + jobId + " ");
        return action.substring(action.lastIndexOf(' ') + 1);
    }
}
