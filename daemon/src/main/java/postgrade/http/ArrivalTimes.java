package postgrade.http;

/**
 * Tells since when what is read from a socket may have lain there unread. A client's time runs from
 * when it sent its request, so what a late turn, a pause or a full backlog held up has less time
 * left than one that has just come.
 *
 * <p>It knows times alone, in microseconds of the loop's clock, and is used on the loop's thread.
 */
public final class ArrivalTimes {

    private static final long NOT_WATCHED = Long.MAX_VALUE;

    /** The socket is last known to have held nothing unread. */
    private long lastEmptyMicros;

    /** The loop has waited for it without a break since then. */
    private long watchedSinceMicros;

    /**
     * @param emptyMicros when it is known to have held nothing; @param nowMicros from when on the
     *     loop waits for it
     */
    public ArrivalTimes(long lastEmptyMicros, long nowMicros) {
        this.lastEmptyMicros = lastEmptyMicros;
        watchedSinceMicros = nowMicros;
    }

    /**
     * The loop waits for it from now on, or no longer. A call that changes nothing has no effect.
     */
    public void watch(long nowMicros, boolean watched) {
        if (watched != (watchedSinceMicros != NOT_WATCHED)) {
            watchedSinceMicros = watched ? nowMicros : NOT_WATCHED;
        }
    }

    /**
     * What lies there is about to be read.
     *
     * @param lastWaitMicros when the loop's wait before the one that has just ended had ended: what
     *     was watched during that wait and has not been read since had nothing unread then
     * @param readySinceMicros since when what the latest wait has shown may have been ready
     * @return the last moment at which it is known not to have been there
     */
    public long beforeRead(long previousWaitEndMicros, long readySinceMicros) {
        if (watchedSinceMicros < previousWaitEndMicros) {
            lastEmptyMicros = Math.max(lastEmptyMicros, readySinceMicros);
        }
        return lastEmptyMicros;
    }

    /** Some has been read. @param emptied nothing is left */
    public void afterRead(long nowMicros, boolean emptied) {
        if (emptied) {
            lastEmptyMicros = nowMicros;
        } else if (watchedSinceMicros != NOT_WATCHED) {
            watchedSinceMicros = nowMicros; // It was not empty at the loop's last wait.
        }
    }
}
