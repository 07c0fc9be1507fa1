package postgrade.policy;

import postgrade.policy.api.LoadReport;

/** Estimates the size and the free capacity of a worker, in slots. */
final class CapacityEstimator {

    /** Slots assumed for a worker of mean size while no worker of its kind has reported any. */
    static final double DEFAULT_SLOTS = 5;

    /** Lag with which load reports reflect the jobs that this dispatcher has sent. */
    static final double REPORT_LAG_NS = 0.5e9;

    /**
     * Time over which the estimate moves linearly from the reported to the usual capacity if
     * workers report their load.
     */
    private static final double REPORT_DECAY_NS = 4e9;

    /** A report of this many free slots or more is treated as an error and ignored. */
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
     * Returns the slots of a worker: those reported for its kind, or else an estimate from its
     * weight in the worker list, which reflects not only its size but also its speed.
     */
    double slots(WorkerState worker) {
        double reported = worker.kind().slots();
        return reported > 0 ? reported : DEFAULT_SLOTS * weight(worker);
    }

    /**
     * Returns the weight that the worker list announces for a worker, relative to the mean of the
     * ready workers; 1 if it announces none.
     */
    double weight(WorkerState worker) {
        double announced = worker.info().weight();
        return announced > 0 ? announced / workers.meanWeight() : 1;
    }

    /**
     * Returns the share of its full throughput that a worker is guaranteed to deliver, which grows
     * linearly from its start and reaches 1 when its slow start is over.
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
     * Estimates the free slots of a worker. The estimate starts from the worker's last report and,
     * as the report ages, moves linearly to the usual capacity.
     *
     * @param usualFreeShare the share of a worker that the other dispatchers' jobs usually leave
     *     free; it determines the usual capacity
     */
    double freeSlots(long nowNs, WorkerState worker, double usualFreeShare) {
        double usualCapacity = slots(worker) * slowStartShare(nowNs, worker) * usualFreeShare;
        double decayNs =
                fleetLoad.hasLoadReports() ? REPORT_DECAY_NS : classes.longestServiceTimeNs();
        double staleness =
                worker.capacityReport().isPresent()
                        ? Math.min(1, (nowNs - worker.capacityReport().reportedNs()) / decayNs)
                        : 1;
        double reportedCapacity = worker.capacityReport().capacity();
        double capacity =
                staleness == 1
                        ? usualCapacity
                        : reportedCapacity + (usualCapacity - reportedCapacity) * staleness;
        return capacity - worker.usedSlots();
    }

    /** Records a worker's load report if its number of free slots is plausible. */
    void recordReport(long nowNs, WorkerState worker, LoadReport report) {
        double free = report.freeSlots();
        boolean plausible = free >= 0 && free < MAX_PLAUSIBLE_SLOTS; // False for NaN.
        if (plausible) {
            worker.recordFreeSlots(nowNs, free);
            fleetLoad.recordReport(worker.capacityReport().capacity() / slots(worker));
            worker.kind().recordFreeSlots(free);
        }
    }
}
