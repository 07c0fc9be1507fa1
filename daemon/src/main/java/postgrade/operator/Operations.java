package postgrade.operator;

/**
 * The calls that operators can make to a dispatcher. Implementations do not depend on the
 * transport.
 */
public interface Operations {

    /** The calls. */
    enum Call {
        STATUS,
        ENTER,
        EXIT,
        STANDBY,
        ACTIVE
    }

    /**
     * Receives the outcome. Exactly one of the methods is called, once, within {@link
     * #MAX_REPLY_MICROS}.
     */
    interface Reply {
        void succeeded(String text);

        void refused(Refusal reason, String text);
    }

    /**
     * The reason for a refusal: the worker is unknown, or the dispatcher is in a state that does
     * not allow the call.
     */
    enum Refusal {
        UNKNOWN,
        UNAVAILABLE
    }

    /** Half of the time-out of the caller, which is 1 s. */
    long MAX_REPLY_MICROS = 500_000;

    /**
     * Carries out a call and then replies. A refused call has changed nothing.
     *
     * @param id the worker's id, for calls that concern a worker
     */
    void call(Call call, String id, Reply reply);
}
