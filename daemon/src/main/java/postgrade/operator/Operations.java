package postgrade.operator;

/** What operators may ask of a dispatcher. Who carries it out knows nothing of how it was asked. */
public interface Operations {

    /** One thing to ask for. */
    enum Call {
        STATUS,
        ENTER,
        EXIT,
        STANDBY,
        ACTIVE
    }

    /**
     * Exactly one of these is called, once, at latest when {@link #MAX_REPLY_MICROS} have passed.
     */
    interface Reply {
        void succeeded(String text);

        void refused(Refusal why, String text);
    }

    /** Why not: there is no such worker, or the dispatcher is not in a state for it. */
    enum Refusal {
        UNKNOWN,
        UNAVAILABLE
    }

    /** Half of what the caller has, who waits for 1 s. */
    long MAX_REPLY_MICROS = 500_000;

    /**
     * Carries a call out before it replies. A no has changed nothing.
     *
     * @param id the worker's, for those calls that concern one
     */
    void call(Call call, String id, Reply reply);
}
