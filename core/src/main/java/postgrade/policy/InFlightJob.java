package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;

/** A job that lacks its final answer or has attempts in flight. Times are in nanoseconds. */
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
     * @param withinQuota whether no rate limit was exceeded when it arrived
     * @param retryAfterNs the Retry-After of a rejection
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

    /** Returns the number of attempts so far, including those that have ended. */
    int attemptCount() {
        return attempts.size();
    }

    /** Returns the number of attempts that have not ended. */
    int attemptsInFlight() {
        return attemptsInFlight;
    }

    AttemptRecord attempt(int number) {
        return attempts.get(number);
    }

    /** Returns the latest attempt, or null before the first. */
    AttemptRecord latestAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** Returns the attempt of this number, or null if it is unknown or has ended. */
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
     * Returns the earliest attempt that may have run a job that is not idempotent, or null if there
     * is none. Later attempts must stay within its deduplication scope and window.
     */
    AttemptRecord earliestPossibleRun() {
        if (idempotency() == Idempotency.IDEMPOTENT) {
            return null;
        }
        // Called for each worker, so it allocates no iterator.
        for (int i = 0; i < attempts.size(); i++) {
            if (!attempts.get(i).neverRan()) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Counts an attempt whose connection was reset, and returns the number of such attempts. */
    int recordReset() {
        return ++resets;
    }

    // ---- Answer.

    boolean isStreaming() {
        return streaming;
    }

    void markStreaming() {
        streaming = true;
    }

    /** Whether the job has its final answer or its client no longer waits for one. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }
}
