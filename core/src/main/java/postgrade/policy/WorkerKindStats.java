package postgrade.policy;

/** What has been learnt of all workers of one kind of machine. */
final class WorkerKindStats {

    /** How fast the reported size grows once it is known. */
    private static final double SLOTS_SMOOTHING_RATE = 0.3;

    private double slots;
    private double serviceTimeRatio = 1;
    private long served;
    private double queueingDelayNs;

    /** The most free slots that a worker of this kind has about reported; 0 while none has. */
    double slots() {
        return slots;
    }

    void recordFreeSlots(double free) {
        if (free > slots) {
            slots += slots == 0 ? free : SLOTS_SMOOTHING_RATE * (free - slots);
        }
    }

    /** How long jobs run on this kind, relative to the mean of their class. */
    double serviceTimeRatio() {
        return serviceTimeRatio;
    }

    void recordServiceTimeRatio(double observed) {
        served++;
        serviceTimeRatio +=
                Math.max(Smoothing.RATE, 1.0 / (served + 1)) * (observed - serviceTimeRatio);
    }

    /** How long recent jobs have waited at workers of this kind before they started, on average. */
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

    /** Its state in the order that {@link #restore} reads. */
    double[] export() {
        return new double[] {slots, serviceTimeRatio, served, queueingDelayNs};
    }

    /** An earlier version exports no queueing delay. */
    void restore(double[] values) {
        slots = values[0];
        serviceTimeRatio = values[1];
        served = (long) values[2];
        queueingDelayNs = values.length > 3 ? values[3] : 0;
    }
}
