package postgrade.policy;

/**
 * Decides whether a job may go to the fleet now.
 *
 * <p>Which of a tenant's jobs lie within its quota is not told, so a strict bucket rejects valuable
 * ones too: a job beyond the quota may go while the fleet has room beyond a reserve. Jobs of
 * classes that cost much service time for their weight leave more of it free, also within the
 * quota, or they fill a busy fleet and the cheap ones find it full.
 */
final class AdmissionController {

    /**
     * The part of the fleet that is left free by jobs beyond their quota, and how much more by the
     * dearest class.
     */
    private static final double RESERVE_BEYOND_QUOTA = 0.1;

    private static final double RESERVE_FOR_COSTLIEST = 0.55;

    /** The part that the dearest classes leave free within their quota. */
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

    /** Whether the fleet has room for the job beyond its reserve. */
    boolean admits(long nowNs, InFlightJob job) {
        double reserve = reserve(job);
        double fleetSlots = workers.ready().stream().mapToDouble(capacity::slots).sum();
        fleetLoad.estimateWithoutReports(nowNs, fleetSlots);
        // Old reports count as the usual share: with anything above, all excess looks welcome in a
        // large fleet.
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

    /** The part of the fleet that the job leaves free. */
    private double reserve(InFlightJob job) {
        JobClassStats jobClass = job.jobClass();
        if (job.withinQuota()) {
            return RESERVE_WITHIN_QUOTA * classes.relativeCost(jobClass);
        }
        double ofDearest =
                RESERVE_FOR_COSTLIEST * jobClass.costPerWeight() / classes.highestCostPerWeight();
        return rateLimiter.overQuotaShare(job.job().tenant()) * (RESERVE_BEYOND_QUOTA + ofDearest);
    }
}
