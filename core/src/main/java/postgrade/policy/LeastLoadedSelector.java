package postgrade.policy;

import postgrade.policy.api.Idempotency;

/**
 * Selects the worker for an attempt: the one that holds the fewest jobs of this dispatcher relative
 * to its size. Ties are broken at random.
 */
final class LeastLoadedSelector {

    /**
     * A worker where a job would take longer than this share of its latency target is disfavoured.
     */
    private static final double TARGET_MARGIN = 0.8;

    /**
     * Added to the load of a disfavoured worker, which is then selected only if all eligible
     * workers are disfavoured.
     */
    private static final double DISFAVOURED_PENALTY = 1e9;

    /** A worker with a failure rate above this is disfavoured for jobs that must not run twice. */
    private static final double SUSPECT_FAILURE_RATE = 0.1;

    private final PolicyContext context;
    private final WorkerTable workers;
    private final JobClassTable classes;
    private final FleetLoadEstimator fleetLoad;
    private final CapacityEstimator capacity;
    private final QueueingDelayEstimator queueingDelay;
    private final ServiceTimeEstimator serviceTime;
    private final SlowStartLimiter slowStart;
    private final AttemptGuard attemptGuard;

    LeastLoadedSelector(PolicyState state, SlowStartLimiter slowStart, AttemptGuard guard) {
        context = state.context();
        workers = state.workers();
        classes = state.classes();
        fleetLoad = state.fleetLoad();
        capacity = state.capacity();
        queueingDelay = state.queueingDelay();
        serviceTime = state.serviceTime();
        this.slowStart = slowStart;
        this.attemptGuard = guard;
    }

    /**
     * Returns the worker, or null if none is eligible.
     *
     * @param needsFreeSlots whether the worker must have free capacity for the job by its last
     *     report
     */
    WorkerState select(long nowNs, InFlightJob job, boolean needsFreeSlots) {
        boolean mustNotRepeat = job.idempotency() == Idempotency.NOT_IDEMPOTENT;
        WorkerState selected = null;
        double leastLoad = Double.MAX_VALUE;
        double tieWeight = 0;
        for (WorkerState worker : workers.ready()) {
            if (!isEligible(nowNs, job, worker)) {
                continue;
            }
            if (worker.needsTrial() && !mustNotRepeat) {
                return worker; // In slow start it is never the least loaded, and would stay unused.
            }
            if (needsFreeSlots && !fits(nowNs, job, worker)) {
                continue;
            }
            double size = effectiveSize(nowNs, job, worker);
            double delayNs = queueingDelay.delayNs(nowNs, worker);
            double load = load(nowNs, job, worker, size, delayNs);
            // Only few dispatchers may send to a worker in slow start, so these few have to send
            // the share of all dispatchers.
            double weight = size * slowStart.dispatchersPerSender(nowNs, worker);
            if (load < leastLoad) {
                tieWeight = weight;
            } else if (load == leastLoad) {
                tieWeight += weight;
            }
            boolean isSelected =
                    load < leastLoad
                            || (load == leastLoad
                                    && context.random().nextDouble() * tieWeight < weight);
            if (isSelected) {
                selected = worker;
                leastLoad = load;
            }
        }
        return selected;
    }

    /**
     * Returns the slots usable by the job, scaled by throughput: fewer where jobs run slowly or are
     * queued.
     */
    private double effectiveSize(long nowNs, InFlightJob job, WorkerState worker) {
        double relativeKindDelay = worker.kind().queueingDelayNs() / job.jobClass().serviceTimeNs();
        return capacity.slots(worker)
                * capacity.slowStartShare(nowNs, worker)
                / ServiceTimeEstimator.serviceTimeRatio(worker)
                / (1 + relativeKindDelay)
                * context.constraints().usableShare(nowNs, job.job(), worker.info());
    }

    /**
     * Returns this dispatcher's jobs at the worker plus the expected queueing delay, both relative
     * to its size, plus a penalty for disfavoured workers.
     */
    private double load(
            long nowNs, InFlightJob job, WorkerState worker, double size, double delayNs) {
        // A full worker rejects jobs at once and so holds none of this dispatcher's jobs. Going by
        // their number alone, it would be sent even more.
        double loadIfFull =
                capacity.slots(worker)
                        * worker.capacityReport().fullness(nowNs, classes.longestServiceTimeNs());
        double relativeDelay = delayNs / job.jobClass().serviceTimeNs();
        boolean suspect =
                job.idempotency() == Idempotency.NOT_IDEMPOTENT
                        && worker.health().failureRate() > SUSPECT_FAILURE_RATE;
        return Math.max(worker.inFlight(), loadIfFull) / size
                + relativeDelay / size
                + (isTooLate(nowNs, job, worker, delayNs) ? DISFAVOURED_PENALTY : 0)
                + (suspect ? DISFAVOURED_PENALTY : 0);
    }

    /**
     * Whether the job is expected to miss its latency target at the worker. A slow or heavily
     * queued worker may hold the fewest jobs of this dispatcher and still be unsuitable.
     */
    private boolean isTooLate(long nowNs, InFlightJob job, WorkerState worker, double delayNs) {
        double expectedNs =
                nowNs
                        - job.arrivedNs()
                        + delayNs
                        + serviceTime.serviceTimeNs(nowNs, job.jobClass(), worker);
        return expectedNs > TARGET_MARGIN * job.jobClass().latencyTargetNs();
    }

    private boolean isEligible(long nowNs, InFlightJob job, WorkerState worker) {
        AttemptRecord latest = job.latestAttempt();
        boolean isLatestWorker =
                latest != null
                        && latest.worker() == worker
                        && (workers.ready().size() > 1 || job.attemptsInFlight() > 0);
        return !worker.isEjected(nowNs)
                && !isLatestWorker
                && attemptGuard.maySend(nowNs, job, worker);
    }

    private boolean fits(long nowNs, InFlightJob job, WorkerState worker) {
        double freeShare = (1 + fleetLoad.usualFreeShare()) / 2;
        double memory = job.job().memory();
        return capacity.freeSlots(nowNs, worker, freeShare) >= job.job().slots()
                && worker.usedMemory() + memory <= Math.max(capacity.slots(worker), memory);
    }
}
