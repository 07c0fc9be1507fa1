package postgrade.policy.api;

/**
 * What a worker reports of its load. A figure that it does not give is {@link Double#NaN}.
 *
 * @param freeSlots slots that no job occupies
 * @param queued jobs that wait at the worker
 * @param inFlight jobs that run there
 * @param busy the share of its capacity in use
 */
public record LoadReport(double freeSlots, double queued, double inFlight, double utilization) {

    /** A report without any figure. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
