package postgrade.dispatch;

/**
 * Notified of internal errors that the dispatcher has caught and recovered from, so that they can
 * be logged.
 */
public interface InternalErrorListener {

    /** The policy threw an exception on a new job; the request is failed. */
    String JOB_ARRIVAL_FAILED = "module.job-not-taken";

    /** The policy threw an exception on another event. */
    String EVENT_FAILED = "module.event-failed";

    /** The policy gave no answer by the deadline; the request is failed. */
    String UNANSWERED_AT_DEADLINE = "module.left-unanswered";

    /** The policy requested a second attempt while one is in flight; it is not sent. */
    String CONFLICTING_ATTEMPT = "module.second-call";

    /**
     * Called when an error has been caught.
     *
     * @param event one of the stable names above
     * @param message one sentence
     * @param thrown the cause, or null
     */
    void internalError(String event, String message, Throwable thrown);
}
