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
    private static final long DRAIN_MEMORY_NS = 60_000_000_000L;

    /** Of its own pace the latest so many jobs count. */
    private static final double MOST_PACE_SAMPLES = 20;

    private final String id;
    private final long hash;
    private final WorkerKindStats kind;
    private final SlowStartLedger slowStartLedger = new SlowStartLedger();
    private final CapacityReport capacityReport = new CapacityReport();
    private final WorkerHealth health = new WorkerHealth();
    private WorkerInfo info;
    private boolean ready;
    private boolean listed;
    private long drainedNs;
    private long startedNs;
    private int inFlight;
    private double usedSlots;
    private double usedMemory;
    private double averageUsedSlots;
    private long averagedNs;
    private double queueingDelayNs;
    private long queueingDelaySeenNs;
    private double pace = 1;
    private double paceSamples;
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

    SlowStartLedger slowStartLedger() {
        return slowStartLedger;
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
    void listed(long nowNs, WorkerInfo latest, boolean keepsUnlisted) {
        info = latest;
        boolean restarted = latest.startedNs() > startedNs;
        if (latest.phase() == WorkerPhase.DRAINING) {
            ready = false;
            drainedNs = nowNs;
        } else if (restarted || drainedNs == 0 || !keepsUnlisted) {
            ready = true;
            drainedNs = 0;
        }
        listed = ready;
        if (restarted) {
            startedNs = latest.startedNs();
            capacityReport.clear();
        }
    }

    /** The list names it no longer. */
    void unlisted(boolean keepsUnlisted) {
        listed = false;
        ready &= keepsUnlisted;
    }

    /**
     * Whether nothing is lost with its state: none of our jobs are there, and it is not to be sent
     * to.
     */
    boolean canBeForgotten(long nowNs, boolean keepsUnlisted) {
        if (inFlight != 0) {
            return false;
        }
        if (ready) {
            return !listed && health.ejections() > OutlierDetector.MOST_DOUBLINGS;
        }
        return !keepsUnlisted || drainedNs == 0 || nowNs - drainedNs > DRAIN_MEMORY_NS;
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

    void occupy(Job job) {
        inFlight++;
        usedSlots += job.slots();
        usedMemory += job.memory();
    }

    void vacate(Job job) {
        inFlight--;
        usedSlots -= job.slots();
        usedMemory -= job.memory();
    }

    /**
     * Updates the average of the slots that our jobs use, before their number changes or a report
     * is compared with it.
     */
    void averageUsedSlots(long nowNs) {
        double keep = Math.exp(-(nowNs - averagedNs) / CapacityEstimator.REPORT_LAG_NS);
        averageUsedSlots = averageUsedSlots * keep + usedSlots * (1 - keep);
        averagedNs = nowNs;
    }

    // ---- Its capacity and its failures.

    CapacityReport capacityReport() {
        return capacityReport;
    }

    /** Its load report shows so many free slots, in which our jobs count with some lag. */
    void reportFreeSlots(long nowNs, double freeSlots) {
        averageUsedSlots(nowNs);
        capacityReport.set(nowNs, freeSlots + averageUsedSlots);
    }

    /** It has rejected a job for want of capacity. */
    void reportFull(long nowNs) {
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

    long queueingDelaySeenNs() {
        return queueingDelaySeenNs;
    }

    void recordQueueingDelay(long nowNs, double delayNs) {
        queueingDelayNs = delayNs;
        queueingDelaySeenNs = nowNs;
    }

    /**
     * How long jobs run there relative to the mean of their class, by {@link #paceSamples} jobs.
     */
    double pace() {
        return pace;
    }

    double paceSamples() {
        return paceSamples;
    }

    void recordPace(double observed) {
        paceSamples = Math.min(MOST_PACE_SAMPLES, paceSamples + 1);
        pace += (observed - pace) / paceSamples;
    }

    // ---- Resets.

    /** Whether an operator has put it back and no job has been sent to it since. */
    boolean needsTrial() {
        return needsTrial;
    }

    void trialSent() {
        needsTrial = false;
    }

    /**
     * An operator has put it back, restarted. It needs a trial, as others look better while it is
     * in slow start.
     */
    void reenabled() {
        resetLearnt();
        needsTrial = true;
    }

    /** Nothing that was learnt under another deployment's settings counts any more. */
    void deploymentChanged() {
        resetLearnt();
        queueingDelaySeenNs = 0;
        capacityReport.resetTime();
    }

    private void resetLearnt() {
        health.reset();
        queueingDelayNs = 0;
        pace = 1;
        paceSamples = 0;
        capacityReport.reset();
    }

    /** What was learnt of it, in the order that {@link #restore} reads. */
    double[] export(long nowNs) {
        return new double[] {
            health.failureRate(),
            health.ejectedForNs(nowNs),
            health.ejections(),
            pace,
            paceSamples,
            queueingDelayNs,
            nowNs - queueingDelaySeenNs,
            capacityReport.fullAgeNs(nowNs),
            needsTrial ? 1 : 0
        };
    }

    void restore(double[] values, long nowNs) {
        health.restore(values[0], nowNs + (long) values[1], (int) values[2]);
        pace = values[3];
        paceSamples = values[4];
        queueingDelayNs = values[5];
        queueingDelaySeenNs = nowNs - (long) values[6];
        capacityReport.restoreFullAge(values[7], nowNs);
        needsTrial = values[8] == 1;
    }
}
