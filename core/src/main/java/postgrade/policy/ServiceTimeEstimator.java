package postgrade.policy;

/** Estimates how long jobs run: by class, relative to that by worker, and longer in slow start. */
final class ServiceTimeEstimator {

    /** The most that one job tells of a pace, in either direction. */
    private static final double MAX_RATIO = 5;

    /** A kind's pace counts as so many jobs of the worker itself. */
    private static final double KIND_PRIOR_SAMPLES = 4;

    /** Workers in slow start run jobs so many times as fast as the settings promise at least. */
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

    /** How long a job of the class would run there. */
    double serviceTimeNs(long nowNs, JobClassStats jobClass, WorkerState worker) {
        return jobClass.serviceTimeNs() * serviceTimeRatio(worker) * slowStartFactor(nowNs, worker);
    }

    /** How many times as long a job runs there as it will after the slow start. */
    private double slowStartFactor(long nowNs, WorkerState worker) {
        return Math.max(1, 1 / (SLOW_START_SPEED_FACTOR * capacity.slowStartShare(nowNs, worker)));
    }

    /**
     * How long jobs run there, relative to the mean of their class: as on its kind, until enough of
     * its own are known.
     */
    static double serviceTimeRatio(WorkerState worker) {
        double weighted =
                worker.kind().serviceTimeRatio() * KIND_PRIOR_SAMPLES
                        + worker.serviceTimeRatio() * worker.serviceTimeRatioSamples();
        return weighted / (KIND_PRIOR_SAMPLES + worker.serviceTimeRatioSamples());
    }

    /**
     * Learns from an attempt that has been served. A first job of no time must not make its class
     * free.
     */
    void recordServed(long nowNs, AttemptRecord attempt) {
        WorkerState worker = attempt.worker();
        JobClassStats jobClass = attempt.job().jobClass();
        double ranNs = nowNs - attempt.startedOrSentNs();
        double withoutSlowStartNs = ranNs / slowStartFactor(nowNs, worker);
        classes.recordServiceTime(jobClass, withoutSlowStartNs);
        double pace = withoutSlowStartNs / Math.max(1, jobClass.observedServiceTimeNs());
        double bounded = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, pace));
        worker.kind().recordServiceTimeRatio(bounded);
        worker.recordServiceTimeRatio(bounded);
        fleetLoad.recordServed(nowNs, ranNs / 1e9 * attempt.job().job().slots());
    }
}
