package postgrade.policy;

import postgrade.policy.api.Job;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;

/**
 * A worker as this dispatcher sees it: what the list says, what it holds of our jobs, and what has
 * been learnt of it. Times are in nanoseconds of the policy's clock.
 */
final class WorkerState {

    /** Where unlisted workers are kept, an older list may name a drained one again for so long. */
    private static final long DRAIN_RETENTION_NS = 60_000_000_000L;

    /** Of its own pace the latest so many jobs count. */
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

    /** A hash of its name that all dispatchers agree on. */
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

    // ---- What the list says.

    /** Whether it may be sent to, as far as the list decides. */
    boolean isReady() {
        return ready;
    }

    /** When its process last started, 0 for long ago. */
    long startedNs() {
        return startedNs;
    }

    /**
     * The list names it.
     *
     * @param keepsUnlisted only draining takes a worker out, and an older list may not undo a drain
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

    /** The list names it no longer. */
    void markUnlisted(boolean keepsUnlisted) {
        listed = false;
        ready &= keepsUnlisted;
    }

    /**
     * Whether nothing is lost with its state: none of our jobs are there, and it is not to be sent
     * to.
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

    // ---- What it holds of our jobs.

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
     * Updates the average of the slots that our jobs use, before their number changes or a report
     * is compared with it.
     */
    void updateAverageUsedSlots(long nowNs) {
        double keep = Math.exp(-(nowNs - averagedNs) / CapacityEstimator.REPORT_LAG_NS);
        averageUsedSlots = averageUsedSlots * keep + usedSlots * (1 - keep);
        averagedNs = nowNs;
    }

    // ---- Its capacity and its failures.

    CapacityReport capacityReport() {
        return capacityReport;
    }

    /** Its load report shows so many free slots, in which our jobs count with some lag. */
    void recordFreeSlots(long nowNs, double freeSlots) {
        updateAverageUsedSlots(nowNs);
        capacityReport.set(nowNs, freeSlots + averageUsedSlots);
    }

    /** It has rejected a job for want of capacity. */
    void recordFull(long nowNs) {
        capacityReport.setFull(nowNs, usedSlots);
    }

    WorkerHealth health() {
        return health;
    }

    boolean isEjected(long nowNs) {
        return health.isEjected(nowNs);
    }

    // ---- Its queueing delay and its pace.

    /** How long the latest job waited there before it started. */
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
     * How long jobs run there relative to the mean of their class, by {@link
     * #serviceTimeRatioSamples} jobs.
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

    /** Whether an operator has put it back and no job has been sent to it since. */
    boolean needsTrial() {
        return needsTrial;
    }

    void markTrialSent() {
        needsTrial = false;
    }

    /**
     * An operator has put it back, restarted. It needs a trial, as others look better while it is
     * in slow start.
     */
    void markReenabled() {
        resetLearned();
        needsTrial = true;
    }

    /** Nothing that was learnt under another deployment's settings counts any more. */
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

    /** What was learnt of it, in the order that {@link #restore} reads. */
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
