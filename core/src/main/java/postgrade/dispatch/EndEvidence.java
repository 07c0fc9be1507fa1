package postgrade.dispatch;

/**
 * The evidence that an attempt has ended.
 *
 * @param status the status of the response, for {@link Kind#ANSWERED} and {@link
 *     Kind#CANCEL_CONFIRMED}; else 0
 */
public record EndEvidence(Kind kind, int status) {

    /** The ways in which the end of an attempt is detected. */
    public enum Kind {
        /** A call-back of its worker, with its id. */
        REPORTED,
        /** The response to its request. */
        ANSWERED,
        /** The response to the request that cancels it. */
        CANCEL_CONFIRMED,
        /**
         * The dispatcher closed its connection before any response. Not produced any more, as that
         * proves no end; kept for readers of older logs.
         */
        CLOSED,
        /**
         * Its connection was reset or closed after the last byte was written and before any
         * response.
         */
        BROKEN,
        /** The last byte was never passed to the operating system. */
        NOT_WRITTEN,
        /** No connection was established. */
        NOT_CONNECTED,
        /** No connection could be opened because a local resource was missing or exhausted. */
        NO_SOCKET,
        /** Its worker accepts no new work, so it was not written. */
        WORKER_NOT_READY,
        /** The time within which it could be written was over. */
        WRITE_WINDOW_OVER,
        /** It was no longer needed when it was to be sent. */
        UNWANTED,
        /** The client stopped waiting; whether the worker ran the job is not known. */
        DEADLINE,
        /** Another attempt was in flight, so it was not sent. */
        OTHER_ATTEMPT_OUT
    }

    /** A call-back of its worker. */
    public static final EndEvidence REPORTED = of(Kind.REPORTED);

    /** Returns evidence that has no status. */
    public static EndEvidence of(Kind kind) {
        return new EndEvidence(kind, 0);
    }

    /** Returns the evidence of a response to the attempt's request. */
    public static EndEvidence answered(int status) {
        return new EndEvidence(Kind.ANSWERED, status);
    }
}
