package postgrade.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import postgrade.policy.api.Job;

/**
 * A client's request from its arrival until its answer is given and each attempt for it has ended.
 * Used on the loop's thread. Times are microseconds of the loop's clock.
 */
public final class PendingRequest {

    private static final long NANOS_PER_MICRO = 1_000;

    private final String id;
    private final String jobClass;
    private final String tenant;
    private final String key;
    private final double slots;
    private final double memory;
    private final long deadlineMicros;
    private final RequestPayload payload;
    private final ResponseHandler client;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    private int undeliveredEvents;
    private boolean answered;
    private boolean allowsConcurrentAttempts;
    private long arrivedMicros;
    private long readDelayMicros;
    private Timers.Timer overdueTimer;

    /**
     * A request that has come and is not tracked yet.
     *
     * @param tenant null where there is none
     * @param key null where there is none
     * @param slots how many of a worker's slots the job occupies
     * @param memory how much of a worker's memory it occupies
     * @param deadlineMicros when the client stops waiting
     */
    public PendingRequest(
            String id,
            String jobClass,
            String tenant,
            String key,
            double slots,
            double memory,
            long deadlineMicros,
            RequestPayload payload,
            ResponseHandler client) {
        this.id = Objects.requireNonNull(id, "id");
        this.jobClass = Objects.requireNonNull(jobClass, "jobClass");
        this.tenant = tenant;
        this.key = key;
        this.slots = slots;
        this.memory = memory;
        this.deadlineMicros = deadlineMicros;
        this.payload = payload;
        this.client = client;
    }

    String id() {
        return id;
    }

    String jobClass() {
        return jobClass;
    }

    String tenant() {
        return tenant;
    }

    /** The job that the policy decides on. */
    Job toJob(long nowNs) {
        long timeLeftNs = deadlineMicros * NANOS_PER_MICRO - nowNs;
        return new Job(id, jobClass, tenant, key, timeLeftNs, slots, memory);
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    RequestPayload payload() {
        return payload;
    }

    ResponseHandler client() {
        return client;
    }

    /**
     * It may have lain unread for so long before it was read, while its client's time ran. What its
     * worker is told of the time left is less by that.
     */
    public void setReadDelay(long delayMicros) {
        readDelayMicros = delayMicros;
    }

    long readDelayMicros() {
        return readDelayMicros;
    }

    /**
     * It is being tracked.
     *
     * @param concurrentAttempts whether two of its attempts may be out at once
     * @param overdue runs when it is left unanswered
     */
    void startTracking(long nowMicros, boolean concurrentAttempts, Timers.Timer timer) {
        arrivedMicros = nowMicros;
        allowsConcurrentAttempts = concurrentAttempts;
        overdueTimer = timer;
    }

    long arrivedMicros() {
        return arrivedMicros;
    }

    // ---- Its attempts.

    List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    void add(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    /** Its attempt at this worker that is on the wire and has not ended, or null. */
    Attempt inFlightAttemptAt(String workerId) {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight() && attempt.isOnWire() && attempt.workerId().equals(workerId)) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Whether an attempt at this worker may start beside those that are out: never two at one
     * worker.
     */
    boolean mayAddAttempt(String workerId) {
        return attemptsInFlight == 0
                || (allowsConcurrentAttempts && inFlightAttemptAt(workerId) == null);
    }

    // ---- Events that the policy has not heard of.

    void eventQueued() {
        undeliveredEvents++;
    }

    void eventDelivered() {
        undeliveredEvents--;
    }

    // ---- Its answer.

    /** Whether nothing is owed: it has its final answer, or its client has left. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
        overdueTimer.cancel();
    }

    /** Whether nothing is owed, out or to be delivered, so that it may be forgotten. */
    boolean isSettled() {
        return answered && attemptsInFlight == 0 && undeliveredEvents == 0;
    }
}
