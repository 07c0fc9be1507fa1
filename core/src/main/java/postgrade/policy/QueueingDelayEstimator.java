package postgrade.policy;

/** Estimates how long a job waits at a worker before it starts. */
final class QueueingDelayEstimator {

    /** A delay seen at a worker fades with this time constant to what is usual for its kind. */
    private static final double DECAY_NS = 2e9;

    private final CapacityEstimator capacity;
    private final FleetLoadEstimator fleetLoad;

    QueueingDelayEstimator(CapacityEstimator capacity, FleetLoadEstimator fleetLoad) {
        this.capacity = capacity;
        this.fleetLoad = fleetLoad;
    }

    /**
     * How long a job sent now would wait there. A worker in slow start is taken not to have its
     * kind's usual queue.
     */
    double delayNs(long nowNs, WorkerState worker) {
        double keep = Math.exp((worker.queueingDelayObservedNs() - nowNs) / DECAY_NS);
        double usualNs =
                capacity.isInSlowStart(nowNs, worker)
                        ? 0
                        : worker.kind().queueingDelayNs() * (1 - keep);
        return worker.queueingDelayNs() * keep + usualNs;
    }

    /** The worker reports that it has started the attempt; a repeated report changes nothing. */
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

    /** An attempt has not started yet: its worker's delay is as long at least. */
    void recordStillQueued(long nowNs, AttemptRecord attempt) {
        double delayNs =
                Math.max(delayNs(nowNs, attempt.worker()), (double) (nowNs - attempt.sentNs()));
        attempt.worker().recordQueueingDelay(nowNs, delayNs);
    }
}
