package postgrade.policy;

/** Estimates how long a job queues at a worker before it starts. */
final class QueueingDelayEstimator {

    /** Time constant with which a delay observed at a worker decays to the mean of its kind. */
    private static final double DECAY_NS = 2e9;

    private final CapacityEstimator capacity;
    private final FleetLoadEstimator fleetLoad;

    QueueingDelayEstimator(CapacityEstimator capacity, FleetLoadEstimator fleetLoad) {
        this.capacity = capacity;
        this.fleetLoad = fleetLoad;
    }

    /**
     * Returns how long a job sent now would queue at the worker. The mean of the kind does not
     * apply in slow start, as a new worker starts with an empty queue.
     */
    double delayNs(long nowNs, WorkerState worker) {
        double remaining = Math.exp((worker.queueingDelayObservedNs() - nowNs) / DECAY_NS);
        double usualNs =
                capacity.isInSlowStart(nowNs, worker)
                        ? 0
                        : worker.kind().queueingDelayNs() * (1 - remaining);
        return worker.queueingDelayNs() * remaining + usualNs;
    }

    /**
     * Records the worker's report that it has started the attempt; repeated reports are ignored.
     */
    void recordStart(long nowNs, AttemptRecord attempt) {
        if (attempt.hasStarted()) {
            return;
        }
        attempt.markStarted(nowNs);
        long delayNs = nowNs - attempt.sentNs();
        attempt.worker().recordQueueingDelay(nowNs, (double) delayNs);
        attempt.worker().kind().recordQueueingDelay(delayNs);
        fleetLoad.recordStartDelay(delayNs);
    }

    /**
     * Records that an attempt is still queued: the worker's delay is at least as long as its wait
     * so far.
     */
    void recordStillQueued(long nowNs, AttemptRecord attempt) {
        double delayNs =
                Math.max(delayNs(nowNs, attempt.worker()), (double) (nowNs - attempt.sentNs()));
        attempt.worker().recordQueueingDelay(nowNs, delayNs);
    }
}
