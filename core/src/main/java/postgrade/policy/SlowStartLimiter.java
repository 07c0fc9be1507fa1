package postgrade.policy;

import postgrade.policy.api.PolicySettings;

/**
 * Limits the work sent to a worker in slow start, so that all dispatchers together stay within the
 * budget that the settings define.
 *
 * <p>With many dispatchers, an even share of the budget is less than one job. So only as many
 * dispatchers send as can each afford the most expensive job; their number grows during slow start,
 * and a hash of the worker's name decides which ones they are. docs/measurements/cold-ramp.md has
 * the calculation.
 */
final class SlowStartLimiter {

    /**
     * Share of the budget that is used; the rest is a margin for jobs that run longer than the
     * mean.
     */
    private static final double BUDGET_SHARE_USED = 0.9;

    /**
     * Square-root staffing: a worker on which hardly any job waits has capacity for its mean load
     * plus this many square roots of it. With two roots about one job in forty waits.
     */
    private static final double STAFFING_ROOTS = 2;

    private static final long NOT_KNOWN = -1;

    private final PolicyContext context;
    private final WorkerTable workers;
    private final JobClassTable classes;
    private final RateLimiter rateLimiter;
    private final CapacityEstimator capacity;
    private final FleetLoadEstimator fleetLoad;

    /**
     * Time since which the recorded work sent to workers in slow start is complete. After a crash
     * nothing is known of the time before the restart.
     */
    private long usageCompleteSinceNs = NOT_KNOWN;

    SlowStartLimiter(
            PolicyContext context,
            WorkerTable workers,
            JobClassTable classes,
            RateLimiter rateLimiter,
            CapacityEstimator capacity,
            FleetLoadEstimator fleetLoad) {
        this.context = context;
        this.workers = workers;
        this.classes = classes;
        this.rateLimiter = rateLimiter;
        this.capacity = capacity;
        this.fleetLoad = fleetLoad;
    }

    /**
     * Whether the job fits into what is left of this process's share of the budget in the current
     * window. Work sent before a restart is not known, so nothing is sent until one window has
     * passed.
     */
    boolean permits(long nowNs, InFlightJob job, WorkerState worker) {
        if (!capacity.isInSlowStart(nowNs, worker)) {
            return true; // Checked first, as this method runs for each worker and job.
        }
        PolicySettings settings = context.settings();
        int senders = senders(nowNs, worker);
        boolean isSender =
                Math.floorMod(settings.dispatcherIndex + worker.hash(), settings.dispatcherCount)
                        < senders;
        if (!isSender || nowNs - usageCompleteSinceNs < settings.overloadWindowNs) {
            return false;
        }
        double ownBudget = rateLimiter.quotaShare() * fleetBudgetNs(nowNs, worker) / senders;
        double spent = worker.slowStartUsage().since(nowNs - settings.overloadWindowNs);
        return costNs(job, worker) <= ownBudget - spent;
    }

    /** Records that the job is sent to the worker. */
    void recordSent(long nowNs, InFlightJob job, WorkerState worker) {
        if (capacity.isInSlowStart(nowNs, worker)) {
            worker.slowStartUsage().add(nowNs, costNs(job, worker));
        }
    }

    /** Returns the number of dispatchers per dispatcher that may send to the worker. */
    double dispatchersPerSender(long nowNs, WorkerState worker) {
        return capacity.isInSlowStart(nowNs, worker)
                ? (double) context.settings().dispatcherCount / senders(nowNs, worker)
                : 1;
    }

    /**
     * Returns how many dispatchers may send to the worker: as many as can each afford the most
     * expensive job.
     */
    private int senders(long nowNs, WorkerState worker) {
        double longestJobNs = classes.longestServiceTimeNs() * worker.kind().serviceTimeRatio();
        double jobs = fleetBudgetNs(nowNs, worker) / longestJobNs;
        return (int) Math.max(1, Math.min(context.settings().dispatcherCount, jobs));
    }

    /** Returns the slot time that all dispatchers together may send to the worker in one window. */
    private double fleetBudgetNs(long nowNs, WorkerState worker) {
        return BUDGET_SHARE_USED
                * context.settings().overloadMultiple
                * capacity.slowStartShare(nowNs, worker)
                * conservativeSlots(nowNs, worker)
                * context.settings().overloadWindowNs;
    }

    /**
     * Returns the reported slots of the worker or, without load reports, a conservative estimate.
     * The default size would overload a small worker, so it is bounded by the load that the fleet
     * is observed to carry: the mean load of a ready worker plus a staffing margin, reduced where
     * jobs wait before they start.
     */
    private double conservativeSlots(long nowNs, WorkerState worker) {
        if (worker.kind().slots() > 0) {
            return worker.kind().slots();
        }
        double meanLoad = fleetLoad.fleetLoad(nowNs) / Math.max(1, workers.ready().size());
        double queueingFactor = 1 + worker.kind().queueingDelayNs() / classes.meanServiceTimeNs();
        double staffedSlots =
                Math.max(1, meanLoad + STAFFING_ROOTS * Math.sqrt(meanLoad)) / queueingFactor;
        return capacity.weight(worker) * Math.min(CapacityEstimator.DEFAULT_SLOTS, staffedSlots);
    }

    private static double costNs(InFlightJob job, WorkerState worker) {
        return job.job().slots()
                * job.jobClass().serviceTimeNs()
                * worker.kind().serviceTimeRatio();
    }

    /** Notes the first update of the worker list: from then on all work sent is recorded. */
    void workerListKnown(long nowNs) {
        if (usageCompleteSinceNs == NOT_KNOWN) {
            usageCompleteSinceNs = nowNs;
        }
    }

    /**
     * Restarts the record if workers now count as in slow start, or for longer, or over a longer
     * window: work sent to them before was not recorded.
     */
    void settingsChanged(long nowNs, PolicySettings former, PolicySettings next) {
        if (next.overloadWindowNs > former.overloadWindowNs
                || next.slowStartNs > former.slowStartNs
                || next.slowStartInitialShare < former.slowStartInitialShare) {
            usageCompleteSinceNs = nowNs;
        }
    }

    boolean hasWorkerList() {
        return usageCompleteSinceNs != NOT_KNOWN;
    }

    /** Returns for how long the recorded work has been complete. */
    long usageCompleteForNs(long nowNs) {
        return nowNs - usageCompleteSinceNs;
    }

    /**
     * Takes over from another process of this dispatcher, which has exported a complete record of
     * this duration.
     */
    void restoreUsageCompleteFor(long nowNs, long durationNs) {
        long sinceNs = hasWorkerList() ? usageCompleteSinceNs : nowNs;
        usageCompleteSinceNs = Math.min(sinceNs, nowNs - durationNs);
    }
}
