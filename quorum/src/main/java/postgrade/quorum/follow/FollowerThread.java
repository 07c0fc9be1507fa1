package postgrade.quorum.follow;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import postgrade.quorum.engine.TaskFailureLog;

/**
 * The thread on which a process pulls views and submits commands, separate from the event loop and
 * from the thread that writes a voter's log.
 */
public final class FollowerThread {

    private final ScheduledThreadPoolExecutor executor;
    private final TaskFailureLog failures;

    public FollowerThread(String name) {
        String threadName = "quorum-follow-" + name;
        failures = new TaskFailureLog(threadName);
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, threadName);
                            t.setDaemon(true);
                            return t;
                        });
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    void execute(Runnable task) {
        schedule(task, 0);
    }

    void schedule(Runnable task, long micros) {
        try {
            executor.schedule(failures.withLogging(task), micros, TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            // Shut down: nobody waits for the task any more.
        }
    }

    public void close() {
        executor.shutdownNow();
    }
}
