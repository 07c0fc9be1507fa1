package postgrade.http;

/**
 * Tracks how long bytes may have been waiting unread in a socket buffer. A client's time runs from
 * when it sent its request, so a request that was delayed by a late event loop iteration, a paused
 * read or a full backlog has less time left than one that has just arrived.
 *
 * <p>It works on times alone, in microseconds of the event loop's clock, and must be used on the
 * event loop thread only.
 */
public final class ArrivalTimes {

    private static final long NOT_WATCHED = Long.MAX_VALUE;

    /** The last time at which the socket buffer is known to have been empty. */
    private long lastEmptyMicros;

    /** The event loop has polled the socket without interruption since this time. */
    private long watchedSinceMicros;

    /**
     * Creates a tracker for one socket.
     *
     * @param lastEmptyMicros when the socket buffer is known to have been empty
     * @param nowMicros when the event loop starts polling the socket
     */
    public ArrivalTimes(long lastEmptyMicros, long nowMicros) {
        this.lastEmptyMicros = lastEmptyMicros;
        watchedSinceMicros = nowMicros;
    }

    /**
     * Records whether the event loop polls the socket from now on. Has no effect if this is
     * unchanged.
     */
    public void watch(long nowMicros, boolean watched) {
        if (watched != (watchedSinceMicros != NOT_WATCHED)) {
            watchedSinceMicros = watched ? nowMicros : NOT_WATCHED;
        }
    }

    /**
     * Must be called before each read.
     *
     * @param previousWaitEndMicros when the wait before the latest one ended. A socket that was
     *     polled during that earlier wait and has not been read since was empty when it ended
     * @param readySinceMicros the earliest time at which the sockets reported by the latest wait
     *     may have become ready
     * @return the last time at which the bytes are known not to have been in the buffer
     */
    public long beforeRead(long previousWaitEndMicros, long readySinceMicros) {
        if (watchedSinceMicros < previousWaitEndMicros) {
            lastEmptyMicros = Math.max(lastEmptyMicros, readySinceMicros);
        }
        return lastEmptyMicros;
    }

    /**
     * Must be called after each read.
     *
     * @param emptied whether the read left nothing in the buffer
     */
    public void afterRead(long nowMicros, boolean emptied) {
        if (emptied) {
            lastEmptyMicros = nowMicros;
        } else if (watchedSinceMicros != NOT_WATCHED) {
            watchedSinceMicros = nowMicros; // The buffer was not empty at the latest wait.
        }
    }
}
