package postgrade.quorum.engine;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * Logs tasks that ended with an exception, which executors swallow. Writes at most one line per
 * second, with the number of failures suppressed since the last one. Thread-safe.
 */
public final class TaskFailureLog {

    private static final Logger LOG = LoggerFactory.getLogger(TaskFailureLog.class);
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String threadName;
    private long lastLoggedNanos;
    private boolean everLogged;
    private int suppressed;

    /**
     * Creates a log for the tasks of one thread.
     *
     * @param threadName the name of that thread
     */
    public TaskFailureLog(String threadName) {
        this.threadName = threadName;
    }

    /** Wraps a task so that its exception is logged before the executor swallows it. */
    public Runnable withLogging(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                log(e);
                throw e;
            }
        };
    }

    private synchronized void log(Throwable cause) {
        long nowNanos = System.nanoTime();
        if (everLogged && nowNanos - lastLoggedNanos < LOG_INTERVAL_NANOS) {
            suppressed++;
            return;
        }
        Events.error(LOG, "sharing.task-failed")
                .addKeyValue("thread", threadName)
                .addKeyValue("left_out", suppressed)
                .setCause(cause)
                .log("a task on thread " + threadName + " failed");
        everLogged = true;
        lastLoggedNanos = nowNanos;
        suppressed = 0;
    }
}
