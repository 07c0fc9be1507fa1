package postgrade.client;

/**
 * How long an accepted connection is waited for, by when it came and what has come on it. It knows
 * times alone.
 */
final class ConnectionTimeouts {

    /**
     * A request must be whole so long after the connection came, or after its first byte on a
     * connection that has carried one. Guards against peers that say nothing or stop half-way: who
     * sends rubbish is owed an error or a close within 3 s of connecting. One that comes on in
     * pieces is given as long again after each, up to the most.
     */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;

    private static final long MAX_REQUEST_MICROS = 10_000_000;

    /**
     * A request whose latest piece is no older is moving: its connection goes after those of others
     * that wait.
     */
    private static final long PROGRESS_MICROS = 1_000_000;

    /** An answer must be taken within this time. */
    private static final long WRITE_STALL_MICROS = 5_000_000;

    private static final long IDLE_MICROS = 300_000_000;

    /**
     * A new connection, or one with a request begun, is not idle for so long: the rest may be on
     * the way.
     */
    private static final long FRESH_MICROS = 50_000;

    /** A peer that was told of the connection's end has this time to end its own side. */
    private static final long LINGER_MICROS = 1_000_000;

    /** A connection that has carried so many requests of use is past its probation. */
    private static final int PROBATION_REQUESTS = 2;

    /** When something last came or was answered. */
    private long lastActivityMicros;

    /** When the request that is coming in began; the first one begins with the connection. */
    private long requestStartMicros;

    /** In how many parts it has come so far. */
    private int fragments;

    /** Requests that were of use, whatever their answer. */
    private int usefulRequests;

    /** When our side was found ended. */
    private long outputEndedMicros;

    ConnectionTimeouts(long nowMicros) {
        lastActivityMicros = nowMicros;
        requestStartMicros = nowMicros;
    }

    /**
     * @param begins nothing is owed, and nothing of a next request had come
     */
    void bytesReceived(long nowMicros, boolean begins) {
        lastActivityMicros = nowMicros;
        if (usefulRequests > 0 && begins) {
            requestStartMicros = nowMicros;
        }
        fragments++;
    }

    /** A request has come whole; the next one may have begun with it. */
    void requestReceived() {
        requestStartMicros = lastActivityMicros;
        fragments = 0;
    }

    void requestUseful() {
        usefulRequests++;
    }

    void answerWritten(long nowMicros) {
        lastActivityMicros = nowMicros;
    }

    void outputEnded(long nowMicros) {
        outputEndedMicros = nowMicros;
    }

    /** Has carried nothing of use yet and has hardly had the time to. */
    boolean isFresh(long nowMicros) {
        return usefulRequests == 0 && nowMicros - requestStartMicros < FRESH_MICROS;
    }

    /**
     * Its time is over, while it is owed no answer.
     *
     * @param allSent the system has taken all that was written
     * @param inPart some of a request has come
     */
    boolean isExpired(long nowMicros, ConnectionState state, boolean allSent, boolean partial) {
        long expiresAtMicros =
                !allSent
                        ? lastActivityMicros + WRITE_STALL_MICROS
                        : state == ConnectionState.LINGERING
                                ? outputEndedMicros + LINGER_MICROS
                                : expectsRequest(partial)
                                        ? requestDeadlineMicros(partial)
                                        : lastActivityMicros + IDLE_MICROS;
        return nowMicros >= expiresAtMicros;
    }

    /** It may be closed for another one, all having been sent. */
    boolean isEvictable(long nowMicros, ConnectionState state, boolean partial) {
        return state == ConnectionState.LINGERING
                || !expectsRequest(partial)
                || nowMicros - requestStartMicros >= FRESH_MICROS;
    }

    boolean isOnProbation(long nowMicros, boolean partial) {
        return usefulRequests < PROBATION_REQUESTS
                && !(isFragmented(partial) && nowMicros - lastActivityMicros < PROGRESS_MICROS);
    }

    /** A request is due: its rest, or the first one. */
    private boolean expectsRequest(boolean partial) {
        return usefulRequests == 0 || partial;
    }

    /** Comes on in pieces, as an honest request does over a slow line. */
    private boolean isFragmented(boolean partial) {
        return fragments > 1 && partial;
    }

    private long requestDeadlineMicros(boolean partial) {
        return isFragmented(partial)
                ? Math.min(
                        lastActivityMicros + REQUEST_TIMEOUT_MICROS,
                        requestStartMicros + MAX_REQUEST_MICROS)
                : requestStartMicros + REQUEST_TIMEOUT_MICROS;
    }
}
