package postgrade.discovery;

import java.util.SplittableRandom;

/**
 * How often the watch is opened while openings bring nothing, and how long each is given. All times
 * are shortened by up to a tenth at random, so that dispatchers do not call in step.
 */
final class WatchBackoff {

    /**
     * The first pause after an opening that ends or is refused. What discovery has counts as told
     * whether or not a watch is open, and 0.5 s are given for a change, so pauses stay short.
     */
    private static final long FIRST_PAUSE_MICROS = 100_000;

    private static final long MAX_PAUSE_MICROS = 300_000;

    /**
     * The longest time that a silent opening is given. Discovery that was down answers, on its
     * return, what has been asked meanwhile: the question that waits is answered at once, so no
     * pause follows a silent opening.
     */
    private static final long MAX_TIMEOUT_MICROS = 2_000_000;

    private static final int MAX_DOUBLINGS = 10;
    private static final double MIN_JITTER_FACTOR = 0.9;

    private final long firstTimeoutMicros;
    private final SplittableRandom random;
    private long pauseMicros = FIRST_PAUSE_MICROS;

    /** Silent openings since the last frame. */
    private int silentConnections;

    WatchBackoff(long firstTimeoutMicros, int seed) {
        this.firstTimeoutMicros = firstTimeoutMicros;
        random = new SplittableRandom(seed);
    }

    /** Discovery has moved: what is known of its former address does not count. */
    void reset() {
        pauseMicros = FIRST_PAUSE_MICROS;
        silentConnections = 0;
    }

    /**
     * A frame has come.
     *
     * @param frames how many have come on this connection: one that ends right after its first is
     *     not opened ever faster
     */
    void frameReceived(int frames) {
        silentConnections = 0;
        if (frames > 1) {
            pauseMicros = FIRST_PAUSE_MICROS;
        }
    }

    /** How long the next opening is given; doubles with each that is silent. */
    long nextTimeoutMicros() {
        long maxTimeoutMicros = Math.max(firstTimeoutMicros, MAX_TIMEOUT_MICROS);
        long doubled = firstTimeoutMicros << Math.min(silentConnections, MAX_DOUBLINGS);
        return withJitter(Math.min(maxTimeoutMicros, doubled));
    }

    /**
     * An opening has ended. Returns how long until the next; doubles with each that ends or is
     * refused.
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
