package postgrade.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import postgrade.policy.api.Job;

/**
 * A client's request, from its arrival until it has been answered and all its attempts have ended.
 * Must be used on the event loop thread only. Times are microseconds of the event loop's clock.
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
    private RequestPayload payload;
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
     * Creates a request that has been received and is not tracked yet.
     *
     * @param tenant the tenant, or null if there is none
     * @param key the key, or null if there is none
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

    /** Returns the job as the policy sees it. */
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
     * Sets how long the request may have been waiting in the socket buffer before it was read. The
     * client's time ran meanwhile, so the remaining time sent to the worker is reduced by this
     * delay.
     */
    public void setReadDelay(long delayMicros) {
        readDelayMicros = delayMicros;
    }

    long readDelayMicros() {
        return readDelayMicros;
    }

    /**
     * Starts tracking the request.
     *
     * @param concurrentAttempts whether two of its attempts may be in flight at once
     * @param timer runs if the request is not answered by its deadline
     */
    void startTracking(long nowMicros, boolean concurrentAttempts, Timers.Timer timer) {
        arrivedMicros = nowMicros;
        allowsConcurrentAttempts = concurrentAttempts;
        overdueTimer = timer;
    }

    long arrivedMicros() {
        return arrivedMicros;
    }

    // ---- Attempts.

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

    /** Returns the attempt that is on the wire to this worker and has not ended, or null. */
    Attempt inFlightAttemptAt(String workerId) {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight() && attempt.isOnWire() && attempt.workerId().equals(workerId)) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Whether an attempt at this worker may start beside those in flight. Two attempts are never in
     * flight at the same worker.
     */
    boolean mayAddAttempt(String workerId) {
        return attemptsInFlight == 0
                || (allowsConcurrentAttempts && inFlightAttemptAt(workerId) == null);
    }

    // ---- Undelivered policy events.

    void eventQueued() {
        undeliveredEvents++;
    }

    void eventDelivered() {
        undeliveredEvents--;
    }

    // ---- The answer.

    /**
     * Whether no answer is due: the request has its final answer, or its client has disconnected.
     */
    boolean isAnswered() {
        return answered;
    }

    /**
     * Marks that no answer is due. The body is released: nothing more is written for the request,
     * although attempts of it may be in flight for long.
     */
    void markAnswered() {
        answered = true;
        payload = payload.withoutBody();
        overdueTimer.cancel();
    }

    /**
     * Whether the request can be removed: it needs no answer, no attempt is in flight and no event
     * is undelivered.
     */
    boolean isSettled() {
        return answered && attemptsInFlight == 0 && undeliveredEvents == 0;
    }
}
