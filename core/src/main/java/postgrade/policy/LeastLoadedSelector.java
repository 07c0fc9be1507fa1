package postgrade.policy;

import postgrade.policy.api.Idempotency;

/**
 * Selects the worker for an attempt: the one that holds the fewest of our jobs for its size, ties
 * at random.
 */
final class LeastLoadedSelector {

    /** A worker where a job would take longer than this part of its latency target comes last. */
    private static final double TARGET_MARGIN = 0.8;

    /** Added to the load of a worker that comes last. */
    private static final double DISFAVOURED_PENALTY = 1e9;

    /** A failure rate above this puts a worker last for jobs that must not run twice. */
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
     * Returns null if no worker is able.
     *
     * @param needsFreeSlots whether only a worker that shows room for the job will do
     */
    WorkerState select(long nowNs, InFlightJob job, boolean needsFreeSlots) {
        boolean runsOnce = job.idempotency() == Idempotency.NOT_IDEMPOTENT;
        WorkerState selected = null;
        double leastLoad = Double.MAX_VALUE;
        double tieWeight = 0;
        for (WorkerState worker : workers.ready()) {
            if (!isEligible(nowNs, job, worker)) {
                continue;
            }
            if (worker.needsTrial() && !runsOnce) {
                return worker; // In slow start it never looks best, and would be left unused.
            }
            if (needsFreeSlots && !fits(nowNs, job, worker)) {
                continue;
            }
            double size = effectiveSize(nowNs, job, worker);
            double delayNs = queueingDelay.delayNs(nowNs, worker);
            double load = load(nowNs, job, worker, size, delayNs);
            // What only few dispatchers may send to a worker in slow start must come from these
            // few.
            double weight = size * slowStart.dispatchersPerSender(nowNs, worker);
            if (load < leastLoad) {
                tieWeight = weight;
            } else if (load == leastLoad) {
                tieWeight += weight;
            }
            boolean wins =
                    load < leastLoad
                            || (load == leastLoad
                                    && context.random().nextDouble() * tieWeight < weight);
            if (wins) {
                selected = worker;
                leastLoad = load;
            }
        }
        return selected;
    }

    /** The job's usable slots there in terms of work done: less where jobs run slowly or wait. */
    private double effectiveSize(long nowNs, InFlightJob job, WorkerState worker) {
        double kindDelay = worker.kind().queueingDelayNs() / job.jobClass().serviceTimeNs();
        return capacity.slots(worker)
                * capacity.slowStartShare(nowNs, worker)
                / ServiceTimeEstimator.serviceTimeRatio(worker)
                / (1 + kindDelay)
                * context.constraints().usableShare(nowNs, job.job(), worker.info());
    }

    /**
     * Our jobs there and the expected wait, both for its size; workers that come last have a
     * penalty.
     */
    private double load(
            long nowNs, InFlightJob job, WorkerState worker, double size, double delayNs) {
        // A worker that is full answers at once and holds none of our jobs: the fewest alone would
        // feed it more.
        double whileFull =
                capacity.slots(worker)
                        * worker.capacityReport().fullness(nowNs, classes.longestServiceTimeNs());
        double delay = delayNs / job.jobClass().serviceTimeNs();
        boolean suspect =
                job.idempotency() == Idempotency.NOT_IDEMPOTENT
                        && worker.health().failureRate() > SUSPECT_FAILURE_RATE;
        return Math.max(worker.inFlight(), whileFull) / size
                + delay / size
                + (isTooLate(nowNs, job, worker, delayNs) ? DISFAVOURED_PENALTY : 0)
                + (suspect ? DISFAVOURED_PENALTY : 0);
    }

    /**
     * An idle worker that is slow, or one whose queue is long, may hold the fewest jobs and yet be
     * of no use.
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
        boolean wasLatest =
                latest != null
                        && latest.worker() == worker
                        && (workers.ready().size() > 1 || job.attemptsInFlight() > 0);
        return !worker.isEjected(nowNs) && !wasLatest && attemptGuard.maySend(nowNs, job, worker);
    }

    private boolean fits(long nowNs, InFlightJob job, WorkerState worker) {
        double freeShare = (1 + fleetLoad.usualFreeShare()) / 2;
        double memory = job.job().memory();
        return capacity.freeSlots(nowNs, worker, freeShare) >= job.job().slots()
                && worker.usedMemory() + memory <= Math.max(capacity.slots(worker), memory);
    }
}
