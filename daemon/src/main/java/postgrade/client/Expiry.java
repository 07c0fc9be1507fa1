package postgrade.client;

/**
 * How long an accepted connection is waited for, by when it came and what has come on it. It knows
 * times alone.
 */
final class Expiry {

    /**
     * A request must be whole so long after the connection came, or after its first byte on a
     * connection that has carried one. Guards against peers that say nothing or stop half-way: who
     * sends rubbish is owed an error or a close within 3 s of connecting. One that comes on in
     * pieces is given as long again after each, up to the most.
     */
    private static final long REQUEST_MICROS = 2_000_000;

    private static final long MOST_REQUEST_MICROS = 10_000_000;

    /**
     * A request whose latest piece is no older is moving: its connection goes after those of others
     * that wait.
     */
    private static final long MOVING_MICROS = 1_000_000;

    /** An answer must be taken within this time. */
    private static final long STALL_MICROS = 5_000_000;

    private static final long IDLE_MICROS = 300_000_000;

    /**
     * A new connection, or one with a request begun, is not idle for so long: the rest may be on
     * the way.
     */
    private static final long FRESH_MICROS = 50_000;

    /** A peer that was told of the connection's end has this time to end its own side. */
    private static final long LINGER_MICROS = 1_000_000;

    /** A connection that has carried so many requests of use is past its probation. */
    private static final int PROVED = 2;

    /** When something last came or was answered. */
    private long activeMicros;

    /** When the request that is coming in began; the first one begins with the connection. */
    private long requestMicros;

    /** In how many parts it has come so far. */
    private int pieces;

    /** Requests that were of use, whatever their answer. */
    private int useful;

    /** When our side was found ended. */
    private long endedMicros;

    Expiry(long nowMicros) {
        activeMicros = nowMicros;
        requestMicros = nowMicros;
    }

    /**
     * @param begins nothing is owed, and nothing of a next request had come
     */
    void came(long nowMicros, boolean begins) {
        activeMicros = nowMicros;
        if (useful > 0 && begins) {
            requestMicros = nowMicros;
        }
        pieces++;
    }

    /** A request has come whole; the next one may have begun with it. */
    void requestCame() {
        requestMicros = activeMicros;
        pieces = 0;
    }

    void wasOfUse() {
        useful++;
    }

    void answered(long nowMicros) {
        activeMicros = nowMicros;
    }

    void ended(long nowMicros) {
        endedMicros = nowMicros;
    }

    /** Has carried nothing of use yet and has hardly had the time to. */
    boolean fresh(long nowMicros) {
        return useful == 0 && nowMicros - requestMicros < FRESH_MICROS;
    }

    /**
     * Its time is over, while it is owed no answer.
     *
     * @param allSent the system has taken all that was written
     * @param inPart some of a request has come
     */
    boolean isOver(long nowMicros, ConnectionState state, boolean allSent, boolean inPart) {
        long due =
                !allSent
                        ? activeMicros + STALL_MICROS
                        : state == ConnectionState.LINGERING
                                ? endedMicros + LINGER_MICROS
                                : awaited(inPart)
                                        ? awaitedUntil(inPart)
                                        : activeMicros + IDLE_MICROS;
        return nowMicros >= due;
    }

    /** It may be closed for another one, all having been sent. */
    boolean idle(long nowMicros, ConnectionState state, boolean inPart) {
        return state == ConnectionState.LINGERING
                || !awaited(inPart)
                || nowMicros - requestMicros >= FRESH_MICROS;
    }

    boolean onProbation(long nowMicros, boolean inPart) {
        return useful < PROVED && !(inPieces(inPart) && nowMicros - activeMicros < MOVING_MICROS);
    }

    /** A request is due: its rest, or the first one. */
    private boolean awaited(boolean inPart) {
        return useful == 0 || inPart;
    }

    /** Comes on in pieces, as an honest request does over a slow line. */
    private boolean inPieces(boolean inPart) {
        return pieces > 1 && inPart;
    }

    private long awaitedUntil(boolean inPart) {
        return inPieces(inPart)
                ? Math.min(activeMicros + REQUEST_MICROS, requestMicros + MOST_REQUEST_MICROS)
                : requestMicros + REQUEST_MICROS;
    }
}
