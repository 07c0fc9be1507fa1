package postgrade.gateway;

import postgrade.policy.api.AttemptOutcome;

/** One attempt of an invocation at one provider. */
public final class InvokerCall {
    final Invocation invocation;
    final int number;
    final String providerId;
    final long untilMicros;
    final long writtenByMicros;
    Providers.Handle handle;
    Timers.Timer timer;
    long beganMicros;
    boolean givingUp;
    AttemptOutcome end;

    InvokerCall(
            Invocation invocation,
            int number,
            String providerId,
            long untilMicros,
            long writtenByMicros) {
        this.invocation = invocation;
        this.number = number;
        this.providerId = providerId;
        this.untilMicros = untilMicros;
        this.writtenByMicros = writtenByMicros;
    }

    public String id() {
        return invocation.id;
    }

    public String providerId() {
        return providerId;
    }

    public String jobClass() {
        return invocation.jobClass;
    }

    /** Null where there is none. */
    public String tenant() {
        return invocation.tenant;
    }

    public Payload payload() {
        return invocation.payload;
    }

    /** When we stop waiting for it. */
    public long untilMicros() {
        return untilMicros;
    }

    /** When the invocation's consumer stops waiting: until then it may be sent again. */
    public long deadlineMicros() {
        return invocation.deadlineMicros;
    }

    /**
     * After this it may not be written any more: a repeat that comes to its provider later would
     * run again.
     */
    public long writtenByMicros() {
        return writtenByMicros;
    }

    /**
     * Its consumer has its answer or has left by now, seen or not: nothing more may be written for
     * it.
     */
    public boolean unwanted() {
        return invocation.answered || invocation.consumer.hasLeft();
    }

    /** No provider has had it: trying again is harmless. */
    boolean sentNowhere() {
        return end == AttemptOutcome.NOT_SENT
                || end == AttemptOutcome.UNREACHABLE
                || end == AttemptOutcome.NO_SOCKET;
    }

    boolean out() {
        return end == null;
    }

    /** An earlier call to the same provider may still report: what comes may be of either. */
    boolean echoes() {
        return invocation.calls.stream()
                .anyMatch(
                        other ->
                                other.number < number
                                        && other.providerId.equals(providerId)
                                        && other.handle != null
                                        && other.handle.mayReport());
    }
}
