package postgrade.policy;

/**
 * The capacity of one worker by its latest report: the slots that are free or used by this
 * dispatcher's jobs. Times are in nanoseconds.
 */
final class CapacityReport {

    /** Exported in place of an age if the event has never happened. */
    private static final double NEVER_AGE_NS = Long.MAX_VALUE / 4.0;

    private boolean present;
    private double capacity;
    private long reportedNs;
    private boolean hasBeenFull;
    private long fullNs;

    /** Whether the worker's process has reported its capacity since its start. */
    boolean isPresent() {
        return present;
    }

    double capacity() {
        return capacity;
    }

    long reportedNs() {
        return reportedNs;
    }

    void set(long nowNs, double slots) {
        present = true;
        capacity = slots;
        reportedNs = nowNs;
    }

    /**
     * Records that the worker has rejected a job for lack of capacity while this dispatcher's jobs
     * used this many slots.
     */
    void setFull(long nowNs, double usedSlots) {
        set(nowNs, usedSlots);
        hasBeenFull = true;
        fullNs = nowNs;
    }

    /**
     * Returns how far the worker still counts as full: 1 right after it was full, falling to 0
     * after {@code decayNs}; 0 if it never was.
     */
    double fullness(long nowNs, double decayNs) {
        return hasBeenFull ? 1 - Math.min(1, (nowNs - fullNs) / decayNs) : 0;
    }

    /** Clears the report when the worker has restarted. */
    void clear() {
        present = false;
        capacity = 0;
    }

    /** Resets the report and when the worker was full. */
    void reset() {
        clear();
        hasBeenFull = false;
        fullNs = 0;
    }

    /** Resets the time of the latest report too. */
    void resetTime() {
        reportedNs = 0;
    }

    double fullAgeNs(long nowNs) {
        return hasBeenFull ? nowNs - fullNs : NEVER_AGE_NS;
    }

    void restoreFullAge(double ageNs, long nowNs) {
        hasBeenFull = ageNs < NEVER_AGE_NS;
        fullNs = hasBeenFull ? nowNs - (long) ageNs : 0;
    }
}
