package postgrade.dispatch;

/**
 * What showed that an attempt had ended.
 *
 * @param status of the answer, for {@link Kind#ANSWERED} and {@link Kind#CANCEL_CONFIRMED}; else 0
 */
public record EndEvidence(Kind kind, int status) {

    /** The ways in which an attempt can be seen to have ended. */
    public enum Kind {
        /** A call-back of its worker, with its id. */
        REPORTED,
        /** An answer to its request. */
        ANSWERED,
        /** The answer to the request that cancels it. */
        CANCEL_CONFIRMED,
        /** We closed its connection before any answer, which cancels it. */
        CLOSED,
        /** Its connection broke or was ended after its last byte and before any answer. */
        BROKEN,
        /** Its last byte was never given to the system. */
        NOT_WRITTEN,
        /** No connection came up. */
        NOT_CONNECTED,
        /** No connection could be begun for want of something of ours. */
        NO_SOCKET,
        /** Its worker takes no new work, so it was not written. */
        WORKER_NOT_READY,
        /** The time within which it could be written was over. */
        WRITE_WINDOW_OVER,
        /** Nobody waited for it any more when it was to be sent. */
        UNWANTED,
        /** The client stopped waiting; its fate at the worker is not known. */
        DEADLINE,
        /** Another attempt was out, so it was not sent. */
        OTHER_ATTEMPT_OUT
    }

    /** A call-back of its worker. */
    public static final EndEvidence REPORTED = of(Kind.REPORTED);

    /** Evidence that comes with no status. */
    public static EndEvidence of(Kind kind) {
        return new EndEvidence(kind, 0);
    }

    /** An answer to the attempt's request. */
    public static EndEvidence answered(int status) {
        return new EndEvidence(Kind.ANSWERED, status);
    }
}
