package postgrade.client;

/**
 * The time-outs of an accepted connection, computed from its age and from when it last received
 * data. Holds times only; the connection acts on them.
 */
final class ConnectionTimeouts {

    /**
     * A request must be complete within this time after the connection was accepted, or after its
     * first byte on a connection that has carried a request before. Limits peers that send nothing
     * or stop half-way: invalid input must be answered or the connection closed within 3 s of
     * connecting. A request that arrives in fragments gets this time again after each, up to the
     * maximum below.
     */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;

    private static final long MAX_REQUEST_MICROS = 10_000_000;

    /**
     * A request whose latest fragment is no older than this is making progress: its connection is
     * evicted after others that wait for a request.
     */
    private static final long PROGRESS_MICROS = 1_000_000;

    /** The peer must read an answer within this time. */
    private static final long WRITE_STALL_MICROS = 5_000_000;

    private static final long IDLE_MICROS = 300_000_000;

    /**
     * A new connection, or one with a partial request, is not evicted for this long: the rest may
     * be on its way.
     */
    private static final long FRESH_MICROS = 50_000;

    /** Time that a peer has to close its side after our output was shut down. */
    private static final long LINGER_MICROS = 1_000_000;

    /** A connection that has carried this many valid requests is no longer on probation. */
    private static final int PROBATION_REQUESTS = 2;

    /** When data was last received or an answer written. */
    private long lastActivityMicros;

    /** When the current request began; the first one begins with the connection. */
    private long requestStartMicros;

    /** The number of fragments received of the current request. */
    private int fragments;

    /** The number of valid requests, whatever their answers. */
    private int usefulRequests;

    /** When the output was found to be shut down. */
    private long outputEndedMicros;

    ConnectionTimeouts(long nowMicros) {
        lastActivityMicros = nowMicros;
        requestStartMicros = nowMicros;
    }

    /**
     * Records received data.
     *
     * @param begins whether no answer was due and no part of the next request had been received
     */
    void bytesReceived(long nowMicros, boolean begins) {
        lastActivityMicros = nowMicros;
        if (usefulRequests > 0 && begins) {
            requestStartMicros = nowMicros;
        }
        fragments++;
    }

    /** Records a complete request; the next one may have begun with the same bytes. */
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

    /**
     * Returns whether the connection has carried no valid request yet and is younger than {@link
     * #FRESH_MICROS}.
     */
    boolean isFresh(long nowMicros) {
        return usefulRequests == 0 && nowMicros - requestStartMicros < FRESH_MICROS;
    }

    /**
     * Returns whether the connection has timed out, while no answer is due to it.
     *
     * @param allSent whether the operating system has accepted everything written
     * @param partial whether a request has been received in part
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

    /**
     * Returns whether the connection, with all output sent, may be closed in favour of another one.
     */
    boolean isEvictable(long nowMicros, ConnectionState state, boolean partial) {
        return state == ConnectionState.LINGERING
                || !expectsRequest(partial)
                || nowMicros - requestStartMicros >= FRESH_MICROS;
    }

    boolean isOnProbation(long nowMicros, boolean partial) {
        return usefulRequests < PROBATION_REQUESTS
                && !(isFragmented(partial) && nowMicros - lastActivityMicros < PROGRESS_MICROS);
    }

    /** Returns whether a request is expected: the first one, or the rest of a partial one. */
    private boolean expectsRequest(boolean partial) {
        return usefulRequests == 0 || partial;
    }

    /**
     * Returns whether the request arrives in several fragments, as a valid request does over a slow
     * link.
     */
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
