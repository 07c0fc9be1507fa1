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

    /** How fast the failure rate moves. */
    private static final double FAILURE_RATE = 0.2;

    /** Of its own pace the latest so many jobs count. */
    private static final double MOST_PACE_SAMPLES = 20;

    /** Exported as the age of what has never been. */
    private static final double NEVER_AGE_NS = Long.MAX_VALUE / 4;

    private final String id;
    private final long hash;
    private final WorkerKindStats kind;
    private final SlowStartLedger slowStartLedger = new SlowStartLedger();
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
    private boolean hasCapacityReport;
    private double reportedCapacity;
    private long reportedNs;
    private boolean everFull;
    private long fullNs;
    private double failureRate;
    private int ejections;
    private long ejectedUntilNs;
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
            clearCapacityReport();
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
            return !listed && ejections > OutlierDetector.MOST_DOUBLINGS;
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

    // ---- Its capacity: the slots that are free or used by our jobs.

    boolean hasCapacityReport() {
        return hasCapacityReport;
    }

    double reportedCapacity() {
        return reportedCapacity;
    }

    long reportedNs() {
        return reportedNs;
    }

    void reportFreeSlots(long nowNs, double freeSlots) {
        averageUsedSlots(nowNs);
        setCapacity(nowNs, freeSlots + averageUsedSlots);
    }

    /** It has rejected a job for want of capacity. */
    void reportFull(long nowNs) {
        setCapacity(nowNs, usedSlots);
        everFull = true;
        fullNs = nowNs;
    }

    private void setCapacity(long nowNs, double capacity) {
        hasCapacityReport = true;
        reportedCapacity = capacity;
        reportedNs = nowNs;
    }

    private void clearCapacityReport() {
        hasCapacityReport = false;
        reportedCapacity = 0;
    }

    /**
     * How far it still counts as full: 1 right after it was, 0 after {@code fadeNs} or if it never
     * was.
     */
    double fullness(long nowNs, double fadeNs) {
        return everFull ? 1 - Math.min(1, (nowNs - fullNs) / fadeNs) : 0;
    }

    // ---- Its failures.

    /** The moving average of its failures, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    void recordSuccess() {
        failureRate *= 1 - FAILURE_RATE;
        ejections = 0;
    }

    /**
     * @param fault how far the failure is the worker's, from 0 to 1
     */
    void recordFailure(double fault) {
        failureRate += FAILURE_RATE * Math.max(0, fault - failureRate);
    }

    boolean isEjected(long nowNs) {
        return ejectedUntilNs > nowNs;
    }

    /** Ejects it for a time that doubles with each ejection that no success has followed. */
    void eject(long nowNs, long baseNs, int mostDoublings) {
        ejectedUntilNs = nowNs + (baseNs << Math.min(ejections, mostDoublings));
        ejections++;
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
        reportedNs = 0;
    }

    private void resetLearnt() {
        failureRate = 0;
        ejections = 0;
        ejectedUntilNs = 0;
        queueingDelayNs = 0;
        pace = 1;
        paceSamples = 0;
        clearCapacityReport();
        everFull = false;
        fullNs = 0;
    }

    /** What was learnt of it, in the order that {@link #restore} reads. */
    double[] export(long nowNs) {
        return new double[] {
            failureRate,
            Math.max(0, ejectedUntilNs - nowNs),
            ejections,
            pace,
            paceSamples,
            queueingDelayNs,
            nowNs - queueingDelaySeenNs,
            everFull ? nowNs - fullNs : NEVER_AGE_NS,
            needsTrial ? 1 : 0
        };
    }

    void restore(double[] values, long nowNs) {
        failureRate = values[0];
        ejectedUntilNs = nowNs + (long) values[1];
        ejections = (int) values[2];
        pace = values[3];
        paceSamples = values[4];
        queueingDelayNs = values[5];
        queueingDelaySeenNs = nowNs - (long) values[6];
        everFull = values[7] < NEVER_AGE_NS;
        fullNs = everFull ? nowNs - (long) values[7] : 0;
        needsTrial = values[8] == 1;
    }
}
