package postgrade.dispatch;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import postgrade.dispatch.WorkerTransport.AttemptHandle;
import postgrade.policy.api.AttemptOutcome;

/**
 * One attempt of a request at one worker. Used on the loop's thread. Times are microseconds of the
 * loop's clock.
 */
public final class Attempt {

    /** Which state follows which is told by {@link #TRANSITIONS} alone. */
    enum State {
        /** Queued, sent or running. */
        IN_FLIGHT,
        /** The worker is being told to drop it, and the policy has not heard of its end. */
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
     * @param number of the request's attempts, from 0
     * @param untilMicros when it is no longer waited for
     * @param writeByMicros after this it may not be written
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

    // ---- What the transport asks.

    /** The id of the request. */
    public String id() {
        return request.id();
    }

    /** The worker that it goes to. */
    public String workerId() {
        return workerId;
    }

    /** The class of the job. */
    public String jobClass() {
        return request.jobClass();
    }

    /** The tenant of the request, or null. */
    public String tenant() {
        return request.tenant();
    }

    /** What is forwarded. */
    public RequestPayload payload() {
        return request.payload();
    }

    /** When the attempt is no longer waited for. */
    public long expiresAtMicros() {
        return expiresAtMicros;
    }

    /** What is left of the client's time for this attempt, at least a microsecond. */
    public long timeLeftMicros(long nowMicros) {
        return Math.max(1, expiresAtMicros - nowMicros - request.readDelayMicros());
    }

    /** When the client stops waiting: until then the request may be sent again. */
    public long deadlineMicros() {
        return request.deadlineMicros();
    }

    /**
     * After this it may not be written: a repeat that comes to its worker later would run again.
     */
    public long writeDeadlineMicros() {
        return writeDeadlineMicros;
    }

    /**
     * Whether the client has its answer or has left by now, noticed or not, so that nothing may be
     * written for it.
     */
    public boolean isUnwanted() {
        return request.isAnswered() || request.client().hasDisconnected();
    }

    // ---- Its life.

    PendingRequest request() {
        return request;
    }

    int number() {
        return number;
    }

    boolean isInFlight() {
        return state != State.ENDED;
    }

    /** Whether it has been handed to the transport. */
    boolean isOnWire() {
        return handle != null;
    }

    /** Null before it is handed to the transport. */
    AttemptHandle handle() {
        return handle;
    }

    void handle(AttemptHandle newHandle) {
        handle = newHandle;
    }

    /** The timer of {@link #expiresAtMicros}, cancelled with the attempt's end. */
    void setExpiryTimer(Timers.Timer timer) {
        expiryTimer = timer;
    }

    /** The worker reports that it has started the job. */
    void recordStart(long nowMicros) {
        reportedStartMicros = nowMicros;
    }

    /** What is known of its course, once it has ended. */
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

    /** Returns false, and changes nothing, if it is being cancelled or has ended. */
    boolean beginCancel() {
        return advance(State.CANCELLING);
    }

    /** Returns false, and changes nothing, if it has ended. */
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

    /** Whether no worker has had it, so that trying again is harmless. */
    boolean wasNeverSent() {
        return outcome == AttemptOutcome.NOT_SENT
                || outcome == AttemptOutcome.UNREACHABLE
                || outcome == AttemptOutcome.NO_SOCKET;
    }

    /** Whether a report from its worker may be of an earlier attempt at the same worker. */
    boolean mayReceiveStaleReports() {
        return request.attempts().stream()
                .filter(other -> other.number < number && other.workerId.equals(workerId))
                .anyMatch(other -> other.isOnWire() && other.handle.mayReport());
    }
}
