package postgrade.quorum.engine;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * Tells of tasks that ended by an exception, which an executor keeps to itself. One line a second
 * at most, with the number of those that were left out. Any thread may use it.
 */
public final class TaskFailureLog {

    private static final Logger LOG = LoggerFactory.getLogger(TaskFailureLog.class);
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String threadName;
    private long lastLoggedNanos;
    private boolean everLogged;
    private int suppressed;

    /**
     * @param thread the name of the one whose tasks these are
     */
    public TaskFailureLog(String threadName) {
        this.threadName = threadName;
    }

    /** The same task, whose failure is told before the executor swallows it. */
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
        long now = System.nanoTime();
        if (everLogged && now - lastLoggedNanos < LOG_INTERVAL_NANOS) {
            suppressed++;
            return;
        }
        Events.error(LOG, "sharing.task-failed")
                .addKeyValue("thread", threadName)
                .addKeyValue("left_out", suppressed)
                .setCause(cause)
                .log("a task of " + threadName + " failed");
        everLogged = true;
        lastLoggedNanos = now;
        suppressed = 0;
    }
}
