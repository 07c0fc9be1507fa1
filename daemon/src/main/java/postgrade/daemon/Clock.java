package postgrade.daemon;

/**
 * The process's clocks. For any thread.
 *
 * <p>Tests of several processes let them run apart: {@code POSTGRADE_TEST_CLOCK} holds by how many
 * microseconds the wall clock is off and by how many millionths both clocks run fast. Nothing else
 * sets it, the platform neither.
 */
final class Clock {

    /** For tests alone. */
    static final String VARIABLE = "POSTGRADE_TEST_CLOCK";

    /**
     * The clock starts at a day, so that the starts of providers up to a day before ours lie after
     * 0.
     */
    private static final long ORIGIN_MICROS = 86_400_000_000L;

    private static final double PPM = 1e6;
    private static final long MAX_RATE_PPM = 100_000;

    private final long offsetMicros;
    private final long ratePpm;
    private final long startNanos = System.nanoTime();
    private final long startUnixMillis;

    private Clock(long offsetMicros, long ratePpm) {
        this.offsetMicros = offsetMicros;
        this.ratePpm = ratePpm;
        startUnixMillis = unixMillis();
    }

    static Clock of(String setting) throws Config.InvalidConfigException {
        if (setting == null || setting.isEmpty()) {
            return new Clock(0, 0);
        }
        String[] parts = setting.split(",", -1);
        try {
            long ppm = parts.length == 2 ? Long.parseLong(parts[1].strip()) : Long.MAX_VALUE;
            if (Math.abs(ppm) <= MAX_RATE_PPM) {
                return new Clock(Long.parseLong(parts[0].strip()), ppm);
            }
        } catch (NumberFormatException e) {
            // Falls through to the one sentence.
        }
        throw new Config.InvalidConfigException(
                VARIABLE,
                "has to be OFFSET_MICROS,RATE_PPM with a rate within 100000, not " + setting);
    }

    /** Monotonic. */
    long micros() {
        return ORIGIN_MICROS + scaled((System.nanoTime() - startNanos) / 1000);
    }

    /** The wall clock, which may jump. */
    long unixMillis() {
        long skewMicros =
                ratePpm == 0
                        ? 0
                        : scaled((System.nanoTime() - startNanos) / 1000)
                                - (System.nanoTime() - startNanos) / 1000;
        return System.currentTimeMillis() + (offsetMicros + skewMicros) / 1000;
    }

    /** A point of Unix time on the monotonic clock, 0 for one too long ago for it. */
    long fromUnixMillis(long millis) {
        return Math.max(0, ORIGIN_MICROS + (millis - startUnixMillis) * 1000);
    }

    private long scaled(long micros) {
        return ratePpm == 0 ? micros : (long) (micros * (1 + ratePpm / PPM));
    }
}
