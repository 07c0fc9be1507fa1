package postgrade.rig.jobs;

import java.util.Locale;

/**
 * What happens to one exchange between a dispatcher and a worker.
 *
 * @param delayMillis how late, for the kinds that are late
 */
public record ExchangeFault(Kind kind, long delayMillis) {

    /** Nothing happens to it. */
    public static final ExchangeFault NONE = new ExchangeFault(Kind.NONE, 0);

    /** The places of an exchange, in their order. */
    public enum Kind {
        NONE,
        /** The connection is reset with nothing of the request passed on. */
        RESET_BEFORE_REQUEST,
        /** The connection is reset with half of the request passed on. */
        RESET_IN_REQUEST,
        /** The request is passed on late, as on a connection that comes up late. */
        LATE_REQUEST,
        /**
         * The request comes to the worker only when the cancellation of its job has been answered
         * there, and the answer to the cancellation to the dispatcher only after the one to the
         * request. Meant for both exchanges; neither waits longer than the delay.
         */
        OVERTAKEN,
        /**
         * As the request comes, the dispatcher gets a second answer of the exchange before: the
         * worker has no room. Nothing happens to the first exchange of a connection.
         */
        STALE_ANSWER,
        /** The whole request is passed on, and the connection reset at once. */
        RESET_AFTER_REQUEST,
        /** The worker has answered; the connection is reset before the answer is passed on. */
        RESET_BEFORE_ANSWER,
        /** The connection is reset with half of the answer passed on. */
        RESET_IN_ANSWER,
        /** The answer is passed on late. */
        LATE_ANSWER,
        /** The answer is passed on, and the connection reset some time after. */
        RESET_AFTER_ANSWER,
        /** The answer is lost, and the connection stays open and silent. */
        LOST_ANSWER,
        /** A second answer follows late: the worker has no room. */
        SECOND_ANSWER_FULL,
        /** A second answer follows late: the job has failed. */
        SECOND_ANSWER_ERROR,
        /** A second answer follows late: the first one again. */
        SECOND_ANSWER_SAME
    }

    /** A fault of this kind. */
    public static ExchangeFault of(Kind kind, long delayMillis) {
        return new ExchangeFault(kind, delayMillis);
    }

    /** Whether it is put as the exchange's answer passes. */
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
