package postgrade.policy;

/**
 * The failures of one worker, and for how long it is ejected for them. Times are in nanoseconds.
 */
final class WorkerHealth {

    /** How fast the failure rate moves. */
    private static final double SMOOTHING_RATE = 0.2;

    private double failureRate;
    private int ejections;
    private long ejectedUntilNs;

    /** The moving average of its failures, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    void recordSuccess() {
        failureRate *= 1 - SMOOTHING_RATE;
        ejections = 0;
    }

    /**
     * @param fault how far the failure is the worker's, from 0 to 1
     */
    void recordFailure(double fault) {
        failureRate += SMOOTHING_RATE * Math.max(0, fault - failureRate);
    }

    boolean isEjected(long nowNs) {
        return ejectedUntilNs > nowNs;
    }

    /** Ejections that no success has followed. */
    int ejections() {
        return ejections;
    }

    /** Ejects it for a time that doubles with each ejection that no success has followed. */
    void eject(long nowNs, long baseNs, int mostDoublings) {
        ejectedUntilNs = nowNs + (baseNs << Math.min(ejections, mostDoublings));
        ejections++;
    }

    long ejectedForNs(long nowNs) {
        return Math.max(0, ejectedUntilNs - nowNs);
    }

    void reset() {
        restore(0, 0, 0);
    }

    void restore(double rate, long untilNs, int count) {
        failureRate = rate;
        ejectedUntilNs = untilNs;
        ejections = count;
    }
}
