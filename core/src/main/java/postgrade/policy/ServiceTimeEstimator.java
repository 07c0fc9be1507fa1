package postgrade.policy;

/**
 * Estimates how long jobs run: the mean of the class, times a ratio for the worker, times a factor
 * while the worker is in slow start.
 */
final class ServiceTimeEstimator {

    /** Bound on the ratio that one job contributes, in either direction. */
    private static final double MAX_RATIO = 5;

    /** Weight of the ratio of the worker's kind, as a number of jobs of the worker itself. */
    private static final double KIND_PRIOR_SAMPLES = 4;

    /** Speed of workers in slow start, as a multiple of the least that the settings guarantee. */
    private static final double SLOW_START_SPEED_FACTOR = 1.4;

    private final CapacityEstimator capacity;
    private final JobClassTable classes;
    private final FleetLoadEstimator fleetLoad;

    ServiceTimeEstimator(
            CapacityEstimator capacity, JobClassTable classes, FleetLoadEstimator fleetLoad) {
        this.capacity = capacity;
        this.classes = classes;
        this.fleetLoad = fleetLoad;
    }

    /** Returns the expected service time of a job of the class at the worker. */
    double serviceTimeNs(long nowNs, JobClassStats jobClass, WorkerState worker) {
        return jobClass.serviceTimeNs() * serviceTimeRatio(worker) * slowStartFactor(nowNs, worker);
    }

    /** Returns by which factor a job now takes longer at the worker than after its slow start. */
    private double slowStartFactor(long nowNs, WorkerState worker) {
        return Math.max(1, 1 / (SLOW_START_SPEED_FACTOR * capacity.slowStartShare(nowNs, worker)));
    }

    /**
     * Returns the service time of jobs at the worker relative to the mean of their class. The ratio
     * of the worker's kind prevails until enough jobs of the worker itself have been observed.
     */
    static double serviceTimeRatio(WorkerState worker) {
        double weighted =
                worker.kind().serviceTimeRatio() * KIND_PRIOR_SAMPLES
                        + worker.serviceTimeRatio() * worker.serviceTimeRatioSamples();
        return weighted / (KIND_PRIOR_SAMPLES + worker.serviceTimeRatioSamples());
    }

    /**
     * Records the service time of an attempt that has been served. A first job that took no time
     * must not make its class appear free of cost.
     */
    void recordServed(long nowNs, AttemptRecord attempt) {
        WorkerState worker = attempt.worker();
        JobClassStats jobClass = attempt.job().jobClass();
        double elapsedNs = nowNs - attempt.startedOrSentNs();
        double withoutSlowStartNs = elapsedNs / slowStartFactor(nowNs, worker);
        classes.recordServiceTime(jobClass, withoutSlowStartNs);
        double ratio = withoutSlowStartNs / Math.max(1, jobClass.observedServiceTimeNs());
        double bounded = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
        worker.kind().recordServiceTimeRatio(bounded);
        worker.recordServiceTimeRatio(bounded);
        fleetLoad.recordServed(nowNs, elapsedNs / 1e9 * attempt.job().job().slots());
    }
}
