package postgrade.dispatch;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import postgrade.dispatch.WorkerTransport.AttemptHandle;
import postgrade.policy.api.AttemptOutcome;

/**
 * One attempt of a request at one worker. Must be used on the event loop thread only. Times are
 * microseconds of the event loop's clock.
 */
public final class Attempt {

    /** The state of an attempt; the permitted transitions are listed in {@link #TRANSITIONS}. */
    enum State {
        /** Queued, sent or running. */
        IN_FLIGHT,
        /** Its cancellation has been requested, and the policy has not been notified of its end. */
        CANCELLING,
        /** Its outcome is known. */
        ENDED
    }

    static final Map<State, Set<State>> TRANSITIONS =
            Map.of(
                    State.IN_FLIGHT, EnumSet.of(State.CANCELLING, State.ENDED),
                    State.CANCELLING, EnumSet.of(State.ENDED),
                    State.ENDED, EnumSet.noneOf(State.class));

    private final PendingRequest request;
    private final int number;
    private final String workerId;
    private final long expiresAtMicros;
    private final long writeDeadlineMicros;
    private State state = State.IN_FLIGHT;
    private AttemptHandle handle;
    private Timers.Timer expiryTimer;
    private final long beganMicros;
    private long reportedStartMicros = WireRecord.NEVER;
    private AttemptOutcome outcome;

    /**
     * Creates an attempt that has not been handed to the transport.
     *
     * @param number the index among the request's attempts, from 0
     * @param expiresAtMicros when the dispatcher stops waiting for this attempt
     * @param writeDeadlineMicros the latest time at which the attempt may be written
     */
    Attempt(
            PendingRequest request,
            int number,
            String workerId,
            long expiresAtMicros,
            long writeDeadlineMicros,
            long nowMicros) {
        this.request = request;
        this.number = number;
        this.workerId = workerId;
        this.expiresAtMicros = expiresAtMicros;
        this.writeDeadlineMicros = writeDeadlineMicros;
        beganMicros = nowMicros;
    }

    // ---- Used by the transport.

    /** Returns the id of the request. */
    public String id() {
        return request.id();
    }

    /** Returns the id of the worker that the attempt is sent to. */
    public String workerId() {
        return workerId;
    }

    /** Returns the class of the job. */
    public String jobClass() {
        return request.jobClass();
    }

    /** Returns the tenant of the request, or null. */
    public String tenant() {
        return request.tenant();
    }

    /** Returns the payload to forward to the worker. */
    public RequestPayload payload() {
        return request.payload();
    }

    /** Returns when the dispatcher stops waiting for this attempt. */
    public long expiresAtMicros() {
        return expiresAtMicros;
    }

    /** Returns the client's remaining time for this attempt, at least one microsecond. */
    public long timeLeftMicros(long nowMicros) {
        return Math.max(1, expiresAtMicros - nowMicros - request.readDelayMicros());
    }

    /** Returns when the client stops waiting; the request may be retried until then. */
    public long deadlineMicros() {
        return request.deadlineMicros();
    }

    /**
     * Returns the latest time at which the attempt may be written. A repeat that reaches its worker
     * after this time would run the job again.
     */
    public long writeDeadlineMicros() {
        return writeDeadlineMicros;
    }

    /**
     * Whether the client has been answered or has disconnected, even if the event loop has not
     * processed the disconnect yet. Nothing may be written for such an attempt.
     */
    public boolean isUnwanted() {
        return request.isAnswered() || request.client().hasDisconnected();
    }

    // ---- Life cycle.

    PendingRequest request() {
        return request;
    }

    int number() {
        return number;
    }

    boolean isInFlight() {
        return state != State.ENDED;
    }

    /** Whether the attempt has been handed to the transport. */
    boolean isOnWire() {
        return handle != null;
    }

    /** Returns the transport's handle, or null before the attempt is handed to the transport. */
    AttemptHandle handle() {
        return handle;
    }

    void handle(AttemptHandle newHandle) {
        handle = newHandle;
    }

    /** Sets the timer of {@link #expiresAtMicros}, which is cancelled when the attempt ends. */
    void setExpiryTimer(Timers.Timer timer) {
        expiryTimer = timer;
    }

    /** Records that the worker has reported the start of the job. */
    void recordStart(long nowMicros) {
        reportedStartMicros = nowMicros;
    }

    /** Returns the record of the attempt once it has ended. */
    EndedAttempt summary(EndEvidence evidence, long nowMicros) {
        return new EndedAttempt(
                request.id(),
                request.jobClass(),
                number,
                workerId,
                outcome,
                evidence,
                beganMicros,
                reportedStartMicros,
                nowMicros,
                handle == null ? WireRecord.NONE : handle.wireRecord());
    }

    /** Returns false, and changes nothing, if the attempt is being cancelled or has ended. */
    boolean beginCancel() {
        return advance(State.CANCELLING);
    }

    /** Returns false, and changes nothing, if the attempt has already ended. */
    boolean end(AttemptOutcome finalOutcome) {
        if (!advance(State.ENDED)) {
            return false;
        }
        outcome = finalOutcome;
        if (expiryTimer != null) {
            expiryTimer.cancel();
        }
        return true;
    }

    private boolean advance(State next) {
        boolean isAllowed = TRANSITIONS.get(state).contains(next);
        if (isAllowed) {
            state = next;
        }
        return isAllowed;
    }

    /** Whether the attempt never reached a worker, so that the client may safely retry. */
    boolean wasNeverSent() {
        return outcome == AttemptOutcome.NOT_SENT
                || outcome == AttemptOutcome.UNREACHABLE
                || outcome == AttemptOutcome.NO_SOCKET;
    }

    /** Whether a report from this worker may belong to an earlier attempt at the same worker. */
    boolean mayReceiveStaleReports() {
        return request.attempts().stream()
                .filter(other -> other.number < number && other.workerId.equals(workerId))
                .anyMatch(other -> other.isOnWire() && other.handle.mayReport());
    }
}
