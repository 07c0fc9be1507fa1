package postgrade.discovery;

import java.util.SplittableRandom;

/**
 * The backoff of a watch that receives nothing: the pauses between connections and the time each
 * connection is given for its first frame. All times are shortened at random by up to a tenth, so
 * that dispatchers do not reconnect in step.
 */
final class WatchBackoff {

    /**
     * The first pause after a connection that is closed or refused. A change in discovery counts as
     * known to the dispatcher whether or not a watch is open, with a grace of 0.5 s, so pauses stay
     * short.
     */
    private static final long FIRST_PAUSE_MICROS = 100_000;

    private static final long MAX_PAUSE_MICROS = 300_000;

    /**
     * The longest time that a silent connection is given. Discovery that was down answers pending
     * requests on its return, so the request that waits is answered at once. Hence no pause follows
     * a silent connection.
     */
    private static final long MAX_TIMEOUT_MICROS = 2_000_000;

    private static final int MAX_DOUBLINGS = 10;
    private static final double MIN_JITTER_FACTOR = 0.9;

    private final long firstTimeoutMicros;
    private final SplittableRandom random;
    private long pauseMicros = FIRST_PAUSE_MICROS;

    /** The number of silent connections since the last frame. */
    private int silentConnections;

    WatchBackoff(long firstTimeoutMicros, int seed) {
        this.firstTimeoutMicros = firstTimeoutMicros;
        random = new SplittableRandom(seed);
    }

    /**
     * Resets the backoff after discovery has moved, as the failures at its previous address do not
     * count.
     */
    void reset() {
        pauseMicros = FIRST_PAUSE_MICROS;
        silentConnections = 0;
    }

    /**
     * A frame has been received.
     *
     * @param frames the number of frames on this connection. The pause is reset from the second
     *     frame on, so that a connection that closes right after its first frame is not reopened at
     *     the shortest pause each time
     */
    void frameReceived(int frames) {
        silentConnections = 0;
        if (frames > 1) {
            pauseMicros = FIRST_PAUSE_MICROS;
        }
    }

    /** Returns how long the next connection is given; doubles with each silent connection. */
    long nextTimeoutMicros() {
        long maxTimeoutMicros = Math.max(firstTimeoutMicros, MAX_TIMEOUT_MICROS);
        long doubled = firstTimeoutMicros << Math.min(silentConnections, MAX_DOUBLINGS);
        return withJitter(Math.min(maxTimeoutMicros, doubled));
    }

    /**
     * A connection has ended. Returns the pause before the next; doubles with each connection that
     * is closed or refused.
     */
    long nextPauseMicros(boolean wasSilent) {
        if (wasSilent) {
            silentConnections++;
            return 0;
        }
        long pause = withJitter(pauseMicros);
        pauseMicros = Math.min(MAX_PAUSE_MICROS, pauseMicros * 2);
        return pause;
    }

    private long withJitter(long micros) {
        return (long) (micros * (MIN_JITTER_FACTOR + random.nextDouble() / 10));
    }
}
