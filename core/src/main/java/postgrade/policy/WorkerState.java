package postgrade.policy;

import postgrade.policy.api.Job;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;

/**
 * A worker as seen by this dispatcher: its state in the worker list, the jobs of this dispatcher
 * that it holds, and what has been learned of it. Times are in nanoseconds of the policy's clock.
 */
final class WorkerState {

    /**
     * If unlisted workers are kept, a drained worker is remembered for this long, as an outdated
     * list may name it as ready again.
     */
    private static final long DRAIN_RETENTION_NS = 60_000_000_000L;

    /** Number of latest jobs that the service time ratio averages over. */
    private static final double MAX_SERVICE_TIME_RATIO_SAMPLES = 20;

    private final String id;
    private final long hash;
    private final WorkerKindStats kind;
    private final SlowStartUsage slowStartUsage = new SlowStartUsage();
    private final CapacityReport capacityReport = new CapacityReport();
    private final WorkerHealth health = new WorkerHealth();
    private WorkerInfo info;
    private boolean ready;
    private boolean listed;
    private long drainSeenNs;
    private long startedNs;
    private int inFlight;
    private double usedSlots;
    private double usedMemory;
    private double averageUsedSlots;
    private long averagedNs;
    private double queueingDelayNs;
    private long queueingDelayObservedNs;
    private double serviceTimeRatio = 1;
    private double serviceTimeRatioSamples;
    private boolean needsTrial;

    WorkerState(String id, WorkerKindStats kind) {
        this.id = id;
        this.kind = kind;
        hash = Hashing.mix(id.hashCode());
    }

    String id() {
        return id;
    }

    /** Returns a hash of its name that is the same at all dispatchers. */
    long hash() {
        return hash;
    }

    WorkerKindStats kind() {
        return kind;
    }

    WorkerInfo info() {
        return info;
    }

    SlowStartUsage slowStartUsage() {
        return slowStartUsage;
    }

    // ---- State in the worker list.

    /** Whether the worker list allows sending to it. */
    boolean isReady() {
        return ready;
    }

    /** Returns when its process last started; 0 for long ago. */
    long startedNs() {
        return startedNs;
    }

    /**
     * Applies an entry of the worker list.
     *
     * @param keepsUnlisted whether only draining excludes a worker; then an outdated list does not
     *     undo a drain
     */
    void updateFromList(long nowNs, WorkerInfo latest, boolean keepsUnlisted) {
        info = latest;
        boolean restarted = latest.startedNs() > startedNs;
        if (latest.phase() == WorkerPhase.DRAINING) {
            ready = false;
            drainSeenNs = nowNs;
        } else if (restarted || drainSeenNs == 0 || !keepsUnlisted) {
            ready = true;
            drainSeenNs = 0;
        }
        listed = ready;
        if (restarted) {
            startedNs = latest.startedNs();
            capacityReport.clear();
        }
    }

    /** Notes that the worker list no longer names it. */
    void markUnlisted(boolean keepsUnlisted) {
        listed = false;
        ready &= keepsUnlisted;
    }

    /**
     * Whether its state can be removed: it holds no jobs of this dispatcher, and either it is not
     * ready (and not a recently drained worker that is kept) or it is no longer listed and has been
     * ejected several times in a row.
     */
    boolean canBeRemoved(long nowNs, boolean keepsUnlisted) {
        if (inFlight != 0) {
            return false;
        }
        if (ready) {
            return !listed && health.ejections() > OutlierDetector.MAX_DOUBLINGS;
        }
        return !keepsUnlisted || drainSeenNs == 0 || nowNs - drainSeenNs > DRAIN_RETENTION_NS;
    }

    // ---- This dispatcher's jobs at the worker.

    int inFlight() {
        return inFlight;
    }

    double usedSlots() {
        return usedSlots;
    }

    double usedMemory() {
        return usedMemory;
    }

    void addJob(Job job) {
        inFlight++;
        usedSlots += job.slots();
        usedMemory += job.memory();
    }

    void removeJob(Job job) {
        inFlight--;
        usedSlots -= job.slots();
        usedMemory -= job.memory();
    }

    /**
     * Updates the average of the slots used by this dispatcher's jobs. Must be called before their
     * number changes and before a report is compared with the average.
     */
    void updateAverageUsedSlots(long nowNs) {
        double remaining = Math.exp(-(nowNs - averagedNs) / CapacityEstimator.REPORT_LAG_NS);
        averageUsedSlots = averageUsedSlots * remaining + usedSlots * (1 - remaining);
        averagedNs = nowNs;
    }

    // ---- Capacity and failures.

    CapacityReport capacityReport() {
        return capacityReport;
    }

    /**
     * Records the free slots of a load report, which reflects this dispatcher's jobs with some lag.
     */
    void recordFreeSlots(long nowNs, double freeSlots) {
        updateAverageUsedSlots(nowNs);
        capacityReport.set(nowNs, freeSlots + averageUsedSlots);
    }

    /** Records that the worker has rejected a job for lack of capacity. */
    void recordFull(long nowNs) {
        capacityReport.setFull(nowNs, usedSlots);
    }

    WorkerHealth health() {
        return health;
    }

    boolean isEjected(long nowNs) {
        return health.isEjected(nowNs);
    }

    // ---- Queueing delay and service time.

    /** Returns how long the latest job was queued before it started. */
    double queueingDelayNs() {
        return queueingDelayNs;
    }

    long queueingDelayObservedNs() {
        return queueingDelayObservedNs;
    }

    void recordQueueingDelay(long nowNs, double delayNs) {
        queueingDelayNs = delayNs;
        queueingDelayObservedNs = nowNs;
    }

    /**
     * Returns the service time of its jobs relative to the mean of their class, averaged over
     * {@link #serviceTimeRatioSamples} jobs.
     */
    double serviceTimeRatio() {
        return serviceTimeRatio;
    }

    double serviceTimeRatioSamples() {
        return serviceTimeRatioSamples;
    }

    void recordServiceTimeRatio(double observed) {
        serviceTimeRatioSamples =
                Math.min(MAX_SERVICE_TIME_RATIO_SAMPLES, serviceTimeRatioSamples + 1);
        serviceTimeRatio += (observed - serviceTimeRatio) / serviceTimeRatioSamples;
    }

    // ---- Resets.

    /** Whether an operator has re-enabled it and no job has been sent to it since. */
    boolean needsTrial() {
        return needsTrial;
    }

    void markTrialSent() {
        needsTrial = false;
    }

    /**
     * Marks the worker as restarted and re-enabled by an operator. It needs a trial job, as other
     * workers are preferred while it is in slow start.
     */
    void markReenabled() {
        resetLearned();
        needsTrial = true;
    }

    /** Resets what was learned under another deployment's settings. */
    void resetForNewDeployment() {
        resetLearned();
        queueingDelayObservedNs = 0;
        capacityReport.resetTime();
    }

    private void resetLearned() {
        health.reset();
        queueingDelayNs = 0;
        serviceTimeRatio = 1;
        serviceTimeRatioSamples = 0;
        capacityReport.reset();
    }

    /** Returns what was learned of it, in the order that {@link #restore} reads. */
    double[] export(long nowNs) {
        return new double[] {
            health.failureRate(),
            health.ejectedForNs(nowNs),
            health.ejections(),
            serviceTimeRatio,
            serviceTimeRatioSamples,
            queueingDelayNs,
            nowNs - queueingDelayObservedNs,
            capacityReport.fullAgeNs(nowNs),
            needsTrial ? 1 : 0
        };
    }

    void restore(double[] values, long nowNs) {
        health.restore(values[0], nowNs + (long) values[1], (int) values[2]);
        serviceTimeRatio = values[3];
        serviceTimeRatioSamples = values[4];
        queueingDelayNs = values[5];
        queueingDelayObservedNs = nowNs - (long) values[6];
        capacityReport.restoreFullAge(values[7], nowNs);
        needsTrial = values[8] == 1;
    }
}
