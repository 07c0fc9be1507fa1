package postgrade.policy;

import postgrade.policy.api.PolicySettings;

/**
 * Limits what is sent to a worker in slow start, so that the sum over all dispatchers stays within
 * the budget that the settings name.
 *
 * <p>An even part of many dispatchers is under one job. So only as many of them send as can send
 * the dearest job each, more as the slow start goes on; which ones follows from the worker's name.
 * docs/measurements/cold-ramp.md has the calculation.
 */
final class SlowStartLimiter {

    /** The part of the budget that is used, as jobs differ in length. */
    private static final double BUDGET_SHARE_USED = 0.9;

    /**
     * A worker on which hardly a job waits has room for its mean load and for so many square roots
     * of it (square-root staffing): at two roots about one job in forty waits.
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
     * Since when all that was sent to workers in slow start is known: not before a start or a
     * crash.
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
     * Whether the job costs no more than is left of this process's part of the budget in the
     * current window. What was sent before a restart is forgotten, so one window passes first.
     */
    boolean permits(long nowNs, InFlightJob job, WorkerState worker) {
        if (!capacity.isInSlowStart(nowNs, worker)) {
            return true; // First, as it is asked for each worker and job.
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

    /** A job is sent there. */
    void recordSent(long nowNs, InFlightJob job, WorkerState worker) {
        if (capacity.isInSlowStart(nowNs, worker)) {
            worker.slowStartUsage().add(nowNs, costNs(job, worker));
        }
    }

    /** How many dispatchers there are for each one that may send there. */
    double dispatchersPerSender(long nowNs, WorkerState worker) {
        return capacity.isInSlowStart(nowNs, worker)
                ? (double) context.settings().dispatcherCount / senders(nowNs, worker)
                : 1;
    }

    /** How many dispatchers may send there: as many as can send the dearest job each. */
    private int senders(long nowNs, WorkerState worker) {
        double dearestNs = classes.longestServiceTimeNs() * worker.kind().serviceTimeRatio();
        double jobs = fleetBudgetNs(nowNs, worker) / dearestNs;
        return (int) Math.max(1, Math.min(context.settings().dispatcherCount, jobs));
    }

    /** The slot time that all dispatchers together may send there in one window. */
    private double fleetBudgetNs(long nowNs, WorkerState worker) {
        return BUDGET_SHARE_USED
                * context.settings().overloadMultiple
                * capacity.slowStartShare(nowNs, worker)
                * conservativeSlots(nowNs, worker)
                * context.settings().overloadWindowNs;
    }

    /**
     * The slots that the worker is known to have, at least one. Without load reports its size is a
     * guess, and a small worker would be overloaded by it. So the guess is bounded by what the
     * fleet is seen to carry: the mean load of a ready worker with its staffing margin, less where
     * jobs wait before they start.
     */
    private double conservativeSlots(long nowNs, WorkerState worker) {
        if (worker.kind().slots() > 0) {
            return worker.kind().slots();
        }
        double load = fleetLoad.fleetLoad(nowNs) / Math.max(1, workers.ready().size());
        double waits = 1 + worker.kind().queueingDelayNs() / classes.meanServiceTimeNs();
        double staffed = Math.max(1, load + STAFFING_ROOTS * Math.sqrt(load)) / waits;
        return capacity.weight(worker) * Math.min(CapacityEstimator.DEFAULT_SLOTS, staffed);
    }

    private static double costNs(InFlightJob job, WorkerState worker) {
        return job.job().slots()
                * job.jobClass().serviceTimeNs()
                * worker.kind().serviceTimeRatio();
    }

    /** The list of workers is known, so from now on all that is sent is. */
    void workerListKnown(long nowNs) {
        if (usageCompleteSinceNs == NOT_KNOWN) {
            usageCompleteSinceNs = nowNs;
        }
    }

    /**
     * Where workers count as in slow start only now, or for longer, what was sent to them has not
     * been counted.
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

    /** For how long all that was sent is known. */
    long usageCompleteForNs(long nowNs) {
        return nowNs - usageCompleteSinceNs;
    }

    /** Another process of this dispatcher has known all for so long, and has exported it. */
    void restoreUsageCompleteFor(long nowNs, long knownForNs) {
        long sinceNs = hasWorkerList() ? usageCompleteSinceNs : nowNs;
        usageCompleteSinceNs = Math.min(sinceNs, nowNs - knownForNs);
    }
}
