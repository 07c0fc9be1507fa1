package postgrade.fleet;

/**
 * The clock of ledgers: microseconds of the machine's monotonic clock, the same in all processes on
 * it.
 */
public final class Clock {

    private Clock() {}

    public static long micros() {
        return System.nanoTime() / 1000;
    }
}
