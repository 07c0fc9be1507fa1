package postgrade.policy;

import postgrade.policy.api.LoadReport;

/** Estimates the size of a worker and how much of it is free, in slots. */
final class CapacityEstimator {

    /** Slots of a worker of mean size where none has reported any. */
    static final double DEFAULT_SLOTS = 5;

    /** A report shows our own jobs with this lag. */
    static final double REPORT_LAG_NS = 0.5e9;

    /** A report fades over this time to what reports usually say. */
    private static final double REPORT_DECAY_NS = 4e9;

    /** More free slots than this are no report but an error. */
    private static final double MAX_PLAUSIBLE_SLOTS = 1e6;

    private final PolicyContext context;
    private final WorkerTable workers;
    private final JobClassTable classes;
    private final FleetLoadEstimator fleetLoad;

    CapacityEstimator(
            PolicyContext context,
            WorkerTable workers,
            JobClassTable classes,
            FleetLoadEstimator fleetLoad) {
        this.context = context;
        this.workers = workers;
        this.classes = classes;
        this.fleetLoad = fleetLoad;
    }

    /**
     * The slots of a worker: as reported, or by the weight that the list announces, which counts
     * speed too.
     */
    double slots(WorkerState worker) {
        double reported = worker.kind().slots();
        return reported > 0 ? reported : DEFAULT_SLOTS * weight(worker);
    }

    /**
     * The size that the list announces, relative to the mean of the ready workers; 1 where it
     * announces none.
     */
    double weight(WorkerState worker) {
        double announced = worker.info().weight();
        return announced > 0 ? announced / workers.meanWeight() : 1;
    }

    /**
     * The part of its work that a worker can do for sure, by the time since its start: 1 once its
     * slow start is over.
     */
    double slowStartShare(long nowNs, WorkerState worker) {
        double initial = context.settings().slowStartInitialShare;
        long slowStartNs = context.settings().slowStartNs;
        long ageNs = nowNs - worker.startedNs();
        if (worker.startedNs() == 0 || ageNs >= slowStartNs) {
            return 1;
        }
        return initial + (1 - initial) * Math.max(0, ageNs) / slowStartNs;
    }

    boolean isInSlowStart(long nowNs, WorkerState worker) {
        return slowStartShare(nowNs, worker) < 1;
    }

    /**
     * Free slots by the worker's report, which fades to the usual; without a report it counts as
     * full until a job may have ended.
     *
     * @param usualFreeShare the part of a worker that is usually free of the other dispatchers'
     *     jobs
     */
    double freeSlots(long nowNs, WorkerState worker, double usualFreeShare) {
        double usual = slots(worker) * slowStartShare(nowNs, worker) * usualFreeShare;
        double fadeNs =
                fleetLoad.hasLoadReports() ? REPORT_DECAY_NS : classes.longestServiceTimeNs();
        double age =
                worker.capacityReport().isPresent()
                        ? Math.min(1, (nowNs - worker.capacityReport().reportedNs()) / fadeNs)
                        : 1;
        double reported = worker.capacityReport().capacity();
        double capacity = age == 1 ? usual : reported + (usual - reported) * age;
        return capacity - worker.usedSlots();
    }

    /** Takes in a worker's report, if it gives free slots. */
    void recordReport(long nowNs, WorkerState worker, LoadReport report) {
        double free = report.freeSlots();
        boolean given = free >= 0 && free < MAX_PLAUSIBLE_SLOTS; // False for NaN.
        if (given) {
            worker.recordFreeSlots(nowNs, free);
            fleetLoad.recordReport(worker.capacityReport().capacity() / slots(worker));
            worker.kind().recordFreeSlots(free);
        }
    }
}
