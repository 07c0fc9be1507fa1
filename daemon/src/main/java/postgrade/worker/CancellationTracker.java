package postgrade.worker;

/** Counts the cancellations under way, and those of them that no worker has been asked for yet. */
final class CancellationTracker {

    private int active;
    private int unattempted;

    void onStarted() {
        active++;
        unattempted++;
    }

    /** The first DELETE of one was written, or could not be. */
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
