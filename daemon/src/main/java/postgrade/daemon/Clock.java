package postgrade.daemon;

/**
 * The monotonic and the wall clock of this process. May be used from any thread.
 *
 * <p>Tests with several processes make their clocks differ: {@code POSTGRADE_TEST_CLOCK} gives the
 * offset of the wall clock in microseconds and the rate error of both clocks in parts per million.
 * Only tests set it; the platform does not.
 */
final class Clock {

    /** Environment variable that only tests set. */
    static final String VARIABLE = "POSTGRADE_TEST_CLOCK";

    /**
     * The monotonic clock starts at one day, so that workers started up to a day before this
     * process have start times above 0.
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
            // Reported by the exception below.
        }
        throw new Config.InvalidConfigException(
                VARIABLE,
                "must be OFFSET_MICROS,RATE_PPM with a rate within 100000, not " + setting);
    }

    /** Returns the time of the monotonic clock. */
    long micros() {
        return ORIGIN_MICROS + scaled((System.nanoTime() - startNanos) / 1000);
    }

    /** Returns the time of the wall clock, which may be stepped. */
    long unixMillis() {
        long skewMicros =
                ratePpm == 0
                        ? 0
                        : scaled((System.nanoTime() - startNanos) / 1000)
                                - (System.nanoTime() - startNanos) / 1000;
        return System.currentTimeMillis() + (offsetMicros + skewMicros) / 1000;
    }

    /** Converts a point of Unix time to the monotonic clock; 0 if it lies too far in the past. */
    long fromUnixMillis(long millis) {
        return Math.max(0, ORIGIN_MICROS + (millis - startUnixMillis) * 1000);
    }

    private long scaled(long micros) {
        return ratePpm == 0 ? micros : (long) (micros * (1 + ratePpm / PPM));
    }
}
