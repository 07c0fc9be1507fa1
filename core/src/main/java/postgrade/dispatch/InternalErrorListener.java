package postgrade.dispatch;

/**
 * Is told of errors of the dispatcher's own that it has caught and survived, so that whoever runs
 * it can log them.
 */
public interface InternalErrorListener {

    /** The policy threw on a job; the request is failed. */
    String JOB_ARRIVAL_FAILED = "module.job-not-taken";

    /** The policy threw on another event. */
    String EVENT_FAILED = "module.event-failed";

    /** The policy gave no answer by the deadline; the request is failed. */
    String UNANSWERED_AT_DEADLINE = "module.left-unanswered";

    /** The policy asked for a second attempt beside one that is out; it is not sent. */
    String CONFLICTING_ATTEMPT = "module.second-call";

    /**
     * An error has been caught.
     *
     * @param event one of the stable names above
     * @param message one sentence
     * @param thrown the cause, or null
     */
    void internalError(String event, String message, Throwable thrown);
}
