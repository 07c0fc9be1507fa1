package postgrade.worker;

/**
 * Counts the cancellations in progress, and those of them whose first DELETE is still to be tried.
 */
final class CancellationTracker {

    private int active;
    private int unattempted;

    void onStarted() {
        active++;
        unattempted++;
    }

    /** The first DELETE of a cancellation was written, or could not be. */
    void onAttempted() {
        unattempted--;
    }

    void onEnded() {
        active--;
    }

    int activeCount() {
        return active;
    }

    int unattemptedCount() {
        return unattempted;
    }
}
