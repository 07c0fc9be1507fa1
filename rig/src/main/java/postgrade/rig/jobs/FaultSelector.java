package postgrade.rig.jobs;

/** Chooses what happens to an exchange. Called on threads of the proxies. */
@FunctionalInterface
public interface FaultSelector {

    /** Nothing happens to any exchange. */
    FaultSelector NONE = exchange -> ExchangeFault.NONE;

    /**
     * An exchange that begins.
     *
     * @param dispatcher counted from 0
     * @param subject the id of the request that it is about
     * @param isJob whether it carries the job, else it cancels it
     * @param number of the exchange on its connection, from 0
     */
    record Exchange(int dispatcher, String worker, String subject, boolean isJob, int number) {}

    /** What happens to this one. */
    ExchangeFault select(Exchange exchange);

    /** A fault that was chosen has come about: what it takes for that was there. */
    default void faultInjected(ExchangeFault.Kind kind) {}
}
