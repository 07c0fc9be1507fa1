package postgrade.policy.api;

/**
 * The load that a worker reports. A figure that it does not report is {@link Double#NaN}.
 *
 * @param freeSlots slots that no job occupies
 * @param queued jobs queued at the worker
 * @param inFlight jobs running at the worker
 * @param utilization the share of its capacity in use
 */
public record LoadReport(double freeSlots, double queued, double inFlight, double utilization) {

    /** A report without any figures. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
