package postgrade.rig.jobs;

/** Selects the fault of each exchange. Called on the threads of the proxies. */
@FunctionalInterface
public interface FaultSelector {

    /** Selects no fault for any exchange. */
    FaultSelector NONE = exchange -> ExchangeFault.NONE;

    /**
     * An exchange that begins.
     *
     * @param dispatcher index from 0
     * @param subject id of the request that it concerns
     * @param isJob whether it carries the job; otherwise it cancels it
     * @param number index of the exchange on its connection, from 0
     */
    record Exchange(int dispatcher, String worker, String subject, boolean isJob, int number) {}

    /** Selects the fault of this exchange. */
    ExchangeFault select(Exchange exchange);

    /**
     * Called when a selected fault was injected, which happens only if its preconditions were met.
     */
    default void faultInjected(ExchangeFault.Kind kind) {}
}
