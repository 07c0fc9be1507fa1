package postgrade.policy;

/**
 * What one worker last showed of its capacity: the slots that are free or used by our jobs. Times
 * are in nanoseconds.
 */
final class CapacityReport {

    /** Exported as the age of what has never been. */
    private static final double NEVER_AGE_NS = Long.MAX_VALUE / 4.0;

    private boolean present;
    private double capacity;
    private long reportedNs;
    private boolean hasBeenFull;
    private long fullNs;

    /** Whether the worker's process has shown anything since its start. */
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

    /** It has rejected a job for want of capacity, while our jobs used so many slots. */
    void setFull(long nowNs, double usedSlots) {
        set(nowNs, usedSlots);
        hasBeenFull = true;
        fullNs = nowNs;
    }

    /**
     * How far it still counts as full: 1 right after it was, 0 after {@code fadeNs} or if it never
     * was.
     */
    double fullness(long nowNs, double fadeNs) {
        return hasBeenFull ? 1 - Math.min(1, (nowNs - fullNs) / fadeNs) : 0;
    }

    /** Its process is a new one. */
    void clear() {
        present = false;
        capacity = 0;
    }

    /** Nothing of it counts any more. */
    void reset() {
        clear();
        hasBeenFull = false;
        fullNs = 0;
    }

    /** Nor does the time of the last report. */
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
