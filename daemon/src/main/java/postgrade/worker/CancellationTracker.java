package postgrade.worker;

/** Counts the cancellations under way, and those of them that no worker has been asked for yet. */
final class CancellationTracker {

    private int underWay;
    private int unasked;

    void begun() {
        underWay++;
        unasked++;
    }

    /** The first DELETE of one was written, or could not be. */
    void asked() {
        unasked--;
    }

    void ended() {
        underWay--;
    }

    int underWay() {
        return underWay;
    }

    int unasked() {
        return unasked;
    }
}
