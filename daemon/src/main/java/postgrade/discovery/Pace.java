package postgrade.discovery;

import java.util.SplittableRandom;

/** How often the watch is opened while openings bring nothing, and how long each is given. */
final class Pace {

    /**
     * Doubles with each opening that ends or is refused: guards discovery against openings without
     * end. Also guards the drain rule: what the agent has counts as told whether or not a watch is
     * open, and 500 ms are given for a change.
     */
    private static final long PAUSE_MICROS = 100_000;

    private static final long MOST_PAUSE_MICROS = 300_000;

    /**
     * How long an opening is given doubles with each that is silent, up to this. Discovery that was
     * down answers, on its return, what has been asked meanwhile: the question that waits is heard
     * at once, so no pause lies between.
     */
    private static final long MOST_FIRST_MICROS = 2_000_000;

    private final long leastFirstMicros;
    private final SplittableRandom random;
    private long pauseMicros = PAUSE_MICROS;

    /** Openings since the last news that were silent. */
    private int silent;

    Pace(long leastFirstMicros, int seed) {
        this.leastFirstMicros = leastFirstMicros;
        random = new SplittableRandom(seed);
    }

    /** Discovery is elsewhere: what is known of the former address does not count. */
    void anew() {
        pauseMicros = PAUSE_MICROS;
        silent = 0;
    }

    /**
     * @param times that one opening has brought news
     */
    void heard(int times) {
        silent = 0;
        if (times > 1) {
            // Guards discovery: watches that end right after their first object are not opened ever
            // faster.
            pauseMicros = PAUSE_MICROS;
        }
    }

    /** How long the next opening is given. */
    long firstMicros() {
        long most = Math.max(leastFirstMicros, MOST_FIRST_MICROS);
        return spread(Math.min(most, leastFirstMicros << Math.min(silent, 10)));
    }

    /** An opening has ended, silent or not: so long until the next. */
    long untilNextMicros(boolean wasSilent) {
        if (wasSilent) {
            silent++;
            return 0;
        }
        long pause = spread(pauseMicros);
        pauseMicros = Math.min(MOST_PAUSE_MICROS, pauseMicros * 2);
        return pause;
    }

    /** Guards discovery against all dispatchers in step. */
    private long spread(long micros) {
        return (long) (micros * (0.9 + random.nextDouble() / 10));
    }
}
