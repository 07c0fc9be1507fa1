package postgrade.policy;

/** Statistics over all workers of one kind of machine. */
final class WorkerKindStats {

    /** Rate at which the size grows towards larger reports after the first report. */
    private static final double SLOTS_SMOOTHING_RATE = 0.3;

    private double slots;
    private double serviceTimeRatio = 1;
    private long served;
    private double queueingDelayNs;

    /**
     * Returns approximately the most free slots that a worker of this kind has reported; 0 before
     * any report.
     */
    double slots() {
        return slots;
    }

    void recordFreeSlots(double free) {
        if (free > slots) {
            slots += slots == 0 ? free : SLOTS_SMOOTHING_RATE * (free - slots);
        }
    }

    /** Returns the mean service time on this kind, relative to the mean of the job class. */
    double serviceTimeRatio() {
        return serviceTimeRatio;
    }

    void recordServiceTimeRatio(double observed) {
        served++;
        serviceTimeRatio +=
                Math.max(Smoothing.RATE, 1.0 / (served + 1)) * (observed - serviceTimeRatio);
    }

    /** Returns how long recent jobs were queued at workers of this kind on average. */
    double queueingDelayNs() {
        return queueingDelayNs;
    }

    void recordQueueingDelay(long delayNs) {
        queueingDelayNs = Smoothing.next(queueingDelayNs, (double) delayNs);
    }

    void reset() {
        slots = 0;
        serviceTimeRatio = 1;
        served = 0;
        queueingDelayNs = 0;
    }

    /** Returns the state in the order that {@link #restore} reads. */
    double[] export() {
        return new double[] {slots, serviceTimeRatio, served, queueingDelayNs};
    }

    /** Restores exported state. Earlier versions export no queueing delay. */
    void restore(double[] values) {
        slots = values[0];
        serviceTimeRatio = values[1];
        served = (long) values[2];
        queueingDelayNs = values.length > 3 ? values[3] : 0;
    }
}
