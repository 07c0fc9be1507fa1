package postgrade.gateway;

/**
 * The loop's clock and timers. All times are microseconds of a monotonic clock that is read once a
 * turn.
 */
public interface Timers {

    long nowMicros();

    /** Runs the task in the first turn at or after this time. */
    Timer at(long whenMicros, Runnable task);

    /** One task that waits for its time. */
    interface Timer {
        void cancel();
    }
}
