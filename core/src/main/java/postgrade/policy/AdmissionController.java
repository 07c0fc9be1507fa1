package postgrade.policy;

/**
 * Decides whether a job may be sent to the fleet now.
 *
 * <p>It is not known which of a tenant's jobs lie within its quota, so a strict bucket would also
 * reject valuable ones. Therefore a job beyond the quota is admitted while the fleet has free
 * capacity beyond a reserve. For classes that need much service time for their priority weight the
 * reserve is larger, and applies within the quota too; without it they would fill a busy fleet and
 * cheap jobs would find it full.
 */
final class AdmissionController {

    /** Share of the fleet that jobs beyond their quota leave free. */
    private static final double RESERVE_BEYOND_QUOTA = 0.1;

    /** Further share that jobs beyond their quota leave free, for the most expensive class. */
    private static final double RESERVE_FOR_COSTLIEST = 0.55;

    /** Share of the fleet that jobs of the most expensive class within their quota leave free. */
    private static final double RESERVE_WITHIN_QUOTA = 0.1;

    private final RateLimiter rateLimiter;
    private final JobClassTable classes;
    private final WorkerTable workers;
    private final CapacityEstimator capacity;
    private final FleetLoadEstimator fleetLoad;

    AdmissionController(
            RateLimiter rateLimiter,
            JobClassTable classes,
            WorkerTable workers,
            CapacityEstimator capacity,
            FleetLoadEstimator fleetLoad) {
        this.rateLimiter = rateLimiter;
        this.classes = classes;
        this.workers = workers;
        this.capacity = capacity;
        this.fleetLoad = fleetLoad;
    }

    /** Whether the fleet has free capacity for the job beyond the reserve. */
    boolean admits(long nowNs, InFlightJob job) {
        double reserve = reserve(job);
        double fleetSlots = workers.ready().stream().mapToDouble(capacity::slots).sum();
        fleetLoad.estimateWithoutReports(nowNs, fleetSlots);
        // Old reports decay to the usual free share. With any higher value, a large fleet would
        // seem to have capacity for all jobs beyond the quota.
        double freeSlots =
                workers.ready().stream()
                        .filter(worker -> !worker.isEjected(nowNs))
                        .mapToDouble(
                                worker ->
                                        Math.max(
                                                0,
                                                capacity.freeSlots(
                                                        nowNs, worker, fleetLoad.usualFreeShare())))
                        .sum();
        return freeSlots >= fleetSlots * reserve;
    }

    /** Returns the share of the fleet that the job must leave free. */
    private double reserve(InFlightJob job) {
        JobClassStats jobClass = job.jobClass();
        if (job.withinQuota()) {
            return RESERVE_WITHIN_QUOTA * classes.relativeCost(jobClass);
        }
        double costReserve =
                RESERVE_FOR_COSTLIEST * jobClass.costPerWeight() / classes.highestCostPerWeight();
        return rateLimiter.overQuotaShare(job.job().tenant())
                * (RESERVE_BEYOND_QUOTA + costReserve);
    }
}
