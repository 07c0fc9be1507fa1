package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import postgrade.policy.api.PolicyActions;

/** Writes actions down as words, oldest first. */
final class RecordingActions implements PolicyActions {
    final List<String> recorded = new ArrayList<>();

    /** Within which the last attempt's request has to go out. */
    long windowNs;

    @Override
    public void startAttempt(String jobId, String workerId, long limitNs) {
        recorded.add("send " + jobId + " " + workerId);
    }

    @Override
    public void startAttempt(String jobId, String workerId, long limitNs, long within) {
        windowNs = within;
        startAttempt(jobId, workerId, limitNs);
    }

    @Override
    public void cancelAttempt(String jobId, int attempt) {
        recorded.add("cancel " + jobId + " " + attempt);
    }

    @Override
    public void reject(String jobId, long retryAfterNs) {
        recorded.add("refuse " + jobId + " " + retryAfterNs);
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
    public void startTimer(String token, long inNs) {
        recorded.add("timer " + token);
    }

    @Override
    public void watchWorkers() {
        recorded.add("watch");
    }

    long count(String start) {
        return recorded.stream().filter(s -> s.startsWith(start)).count();
    }

    /** The newest line with this start, or an empty text. */
    String last(String start) {
        return recorded.stream().filter(s -> s.startsWith(start)).reduce("", (a, b) -> b);
    }

    /** How many attempts went to workers whose id passes the test. */
    long sendsTo(Predicate<String> workerId) {
        return recorded.stream()
                .filter(
                        s ->
                                s.startsWith("send ")
                                        && workerId.test(s.substring(s.lastIndexOf(' ') + 1)))
                .count();
    }

    /** The worker that the job was last sent to, or an empty text. */
    String sentTo(String jobId) {
        String line = last("send " + jobId + " ");
        return line.substring(line.lastIndexOf(' ') + 1);
    }
}
