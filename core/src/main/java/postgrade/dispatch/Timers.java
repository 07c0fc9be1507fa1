package postgrade.dispatch;

/**
 * The event loop's clock and timers. All times are microseconds of a monotonic clock that is read
 * once per iteration.
 */
public interface Timers {

    /** Returns the time of the current iteration. */
    long nowMicros();

    /** Runs the task in the first iteration at or after the given time. */
    Timer at(long whenMicros, Runnable task);

    /** A scheduled task. */
    interface Timer {

        /** Cancels the task. Has no effect after the task has run or been cancelled. */
        void cancel();
    }
}
