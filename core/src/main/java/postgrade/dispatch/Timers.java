package postgrade.dispatch;

/**
 * The loop's clock and timers. All times are microseconds of a monotonic clock that is read once a
 * turn.
 */
public interface Timers {

    /** The time of the current turn. */
    long nowMicros();

    /** Runs the task in the first turn at or after this time. */
    Timer at(long whenMicros, Runnable task);

    /** A task that waits for its time. */
    interface Timer {

        /** The task will not run; after it has run, or twice, this has no effect. */
        void cancel();
    }
}
