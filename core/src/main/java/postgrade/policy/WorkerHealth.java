package postgrade.policy;

/** The failure rate of one worker and its ejections. Times are in nanoseconds. */
final class WorkerHealth {

    /** Weight of the latest result in the moving average. */
    private static final double SMOOTHING_RATE = 0.2;

    private double failureRate;
    private int ejections;
    private long ejectedUntilNs;

    /** Returns the moving average of its failures, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    void recordSuccess() {
        failureRate *= 1 - SMOOTHING_RATE;
        ejections = 0;
    }

    /**
     * @param workerFault how far the failure is attributed to the worker, from 0 to 1
     */
    void recordFailure(double workerFault) {
        failureRate += SMOOTHING_RATE * Math.max(0, workerFault - failureRate);
    }

    boolean isEjected(long nowNs) {
        return ejectedUntilNs > nowNs;
    }

    /** Returns the number of ejections since the last success. */
    int ejections() {
        return ejections;
    }

    /** Ejects the worker for a time that doubles with each ejection since the last success. */
    void eject(long nowNs, long baseNs, int maxDoublings) {
        ejectedUntilNs = nowNs + (baseNs << Math.min(ejections, maxDoublings));
        ejections++;
    }

    long ejectedForNs(long nowNs) {
        return Math.max(0, ejectedUntilNs - nowNs);
    }

    void reset() {
        restore(0, 0, 0);
    }

    void restore(double restoredFailureRate, long restoredEjectedUntilNs, int restoredEjections) {
        failureRate = restoredFailureRate;
        ejectedUntilNs = restoredEjectedUntilNs;
        ejections = restoredEjections;
    }
}
