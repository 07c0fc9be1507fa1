package postgrade.rig.jobs;

import java.util.Locale;

/**
 * Fault in one exchange between a dispatcher and a worker.
 *
 * @param delayMillis the delay, for kinds that delay something
 */
public record ExchangeFault(Kind kind, long delayMillis) {

    /** No fault. */
    public static final ExchangeFault NONE = new ExchangeFault(Kind.NONE, 0);

    /** Kinds of faults, in the order of the points in an exchange at which they occur. */
    public enum Kind {
        NONE,
        /** The connection is reset before any of the request is forwarded. */
        RESET_BEFORE_REQUEST,
        /** The connection is reset after half of the request was forwarded. */
        RESET_IN_REQUEST,
        /** The request is forwarded late, as on a connection that is established late. */
        LATE_REQUEST,
        /**
         * The request reaches the worker only after the worker has answered the cancellation of the
         * job, and the answer to the cancellation reaches the dispatcher only after the answer to
         * the request. Applies to both exchanges; neither is held back for longer than the delay.
         */
        OVERTAKEN,
        /**
         * When the request arrives, the dispatcher receives a second answer to the previous
         * exchange: the worker has no room. The first exchange of a connection is not affected.
         */
        STALE_ANSWER,
        /** The whole request is forwarded, and the connection is reset at once. */
        RESET_AFTER_REQUEST,
        /** The worker has answered; the connection is reset before the answer is forwarded. */
        RESET_BEFORE_ANSWER,
        /** The connection is reset after half of the answer was forwarded. */
        RESET_IN_ANSWER,
        /** The answer is forwarded late. */
        LATE_ANSWER,
        /** The answer is forwarded, and the connection is reset some time later. */
        RESET_AFTER_ANSWER,
        /** The answer is dropped, and the connection stays open and silent. */
        LOST_ANSWER,
        /** A second answer follows late: the worker has no room. */
        SECOND_ANSWER_FULL,
        /** A second answer follows late: the job has failed. */
        SECOND_ANSWER_ERROR,
        /** A second answer follows late: a copy of the first. */
        SECOND_ANSWER_SAME,
        /**
         * The request is in flight until another worker has answered an attempt of the same job,
         * for as long as the delay at most. It outlives the dispatcher's end of the connection, as
         * bytes that have left a sender do.
         */
        GATED_REQUEST;

        /** Kinds that only tests select; the soak draws none of them. */
        public boolean isDrawnAtRandom() {
            return this != NONE && this != GATED_REQUEST;
        }
    }

    /** Returns a fault of this kind. */
    public static ExchangeFault of(Kind kind, long delayMillis) {
        return new ExchangeFault(kind, delayMillis);
    }

    /** Whether the fault is injected when the answer of the exchange passes. */
    boolean affectsAnswer() {
        return switch (kind) {
            case RESET_BEFORE_ANSWER,
                    RESET_IN_ANSWER,
                    LATE_ANSWER,
                    RESET_AFTER_ANSWER,
                    LOST_ANSWER,
                    SECOND_ANSWER_FULL,
                    SECOND_ANSWER_ERROR,
                    SECOND_ANSWER_SAME ->
                    true;
            default -> false;
        };
    }

    @Override
    public String toString() {
        String name = kind.name().toLowerCase(Locale.ROOT);
        return delayMillis == 0 ? name : name + "+" + delayMillis + "ms";
    }
}
