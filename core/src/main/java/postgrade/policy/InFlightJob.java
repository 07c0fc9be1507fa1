package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;

/**
 * A job until its final answer is given and all its attempts have ended. Times are in nanoseconds.
 */
final class InFlightJob {

    private final Job job;
    private final JobClassStats jobClass;
    private final long arrivedNs;
    private final long deadlineNs;
    private final boolean withinQuota;
    private final long retryAfterNs;
    private final List<AttemptRecord> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    private int resets;
    private boolean streaming;
    private boolean answered;

    /**
     * @param withinQuota whether no rate limit stood against it when it came
     * @param retryAfterNs what its client is advised if it is rejected
     */
    InFlightJob(
            Job job, JobClassStats jobClass, long nowNs, boolean withinQuota, long retryAfterNs) {
        this.job = job;
        this.jobClass = jobClass;
        this.withinQuota = withinQuota;
        this.retryAfterNs = retryAfterNs;
        arrivedNs = nowNs;
        deadlineNs = nowNs + job.timeLeftNs();
    }

    Job job() {
        return job;
    }

    String id() {
        return job.id();
    }

    JobClassStats jobClass() {
        return jobClass;
    }

    Idempotency idempotency() {
        return jobClass.jobClass().idempotency();
    }

    long arrivedNs() {
        return arrivedNs;
    }

    long deadlineNs() {
        return deadlineNs;
    }

    boolean withinQuota() {
        return withinQuota;
    }

    long retryAfterNs() {
        return retryAfterNs;
    }

    // ---- Attempts.

    /** Attempts so far, those that have ended included. */
    int attemptCount() {
        return attempts.size();
    }

    /** Attempts that have not ended. */
    int attemptsInFlight() {
        return attemptsInFlight;
    }

    AttemptRecord attempt(int number) {
        return attempts.get(number);
    }

    /** Null before the first. */
    AttemptRecord latestAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** The attempt of this number if it has not ended, else null. */
    AttemptRecord attemptInFlight(int number) {
        boolean known = number >= 0 && number < attempts.size();
        return known && !attempts.get(number).hasEnded() ? attempts.get(number) : null;
    }

    void beginAttempt(long nowNs, WorkerState worker) {
        attempts.add(new AttemptRecord(this, worker, nowNs));
        attemptsInFlight++;
        worker.addJob(job);
    }

    void endAttempt(AttemptRecord attempt, boolean provedNotRun) {
        attempt.markEnded(provedNotRun);
        attemptsInFlight--;
    }

    /**
     * The earliest attempt that may have run a job that must not run freely again: later ones stay
     * in its deduplication scope and window. Null if there is none.
     */
    AttemptRecord earliestPossibleRun() {
        if (idempotency() == Idempotency.IDEMPOTENT) {
            return null;
        }
        for (int i = 0;
                i < attempts.size();
                i++) { // Asked for each worker: an iterator would be garbage.
            if (!attempts.get(i).neverRan()) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Counts an attempt whose connection was reset, and returns how many there have been. */
    int recordReset() {
        return ++resets;
    }

    // ---- Its answer.

    boolean isStreaming() {
        return streaming;
    }

    void markStreaming() {
        streaming = true;
    }

    /** Whether nothing is owed: it has its final answer, or its client has left. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }
}
