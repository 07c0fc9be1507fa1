package postgrade.gateway;

/**
 * Hears of faults of our own that the gateway has caught and outlived. Whoever runs the gateway
 * writes them down.
 */
public interface Faults {

    String JOB_NOT_TAKEN = "module.job-not-taken";
    String EVENT_FAILED = "module.event-failed";
    String LEFT_UNANSWERED = "module.left-unanswered";
    String SECOND_CALL = "module.second-call";

    /**
     * @param event one of the stable names above
     * @param thrown what the module threw, or null
     */
    void fault(String event, String message, Throwable thrown);
}
