package postgrade.quorum.engine;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one thread of a voter: consensus, its store, and what it serves. The engine counts in whole
 * seconds; here a second of its own lasts one heartbeat, for its tasks as for its clock, so that a
 * dead leader is replaced in less than two seconds of ours.
 */
final class EngineThread implements RaftNodeExecutor {

    /** Lets the engine's clock begin long after zero, which it takes for never. */
    private static final long CLOCK_ORIGIN_MILLIS = 1_000_000_000_000L;

    private final ScheduledThreadPoolExecutor executor;
    private final double timeScale;
    private final TaskFailureLog failures;
    private volatile Thread thread;

    EngineThread(String name, int heartbeatMillis) {
        timeScale = 1000.0 / heartbeatMillis;
        String threadName = "quorum-engine-" + name;
        failures = new TaskFailureLog(threadName);
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, threadName);
                            t.setDaemon(true);
                            thread = t;
                            return t;
                        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** The engine's clock, after the process's own monotonic one. */
    Clock clock(LongSupplier nowMicros) {
        return new Clock() {
            @Override
            public long millis() {
                return CLOCK_ORIGIN_MILLIS + (long) (nowMicros.getAsLong() / 1000.0 * timeScale);
            }

            @Override
            public Instant instant() {
                return Instant.ofEpochMilli(millis());
            }

            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }
        };
    }

    @Override
    public void execute(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            submit(task);
        }
    }

    @Override
    public void submit(Runnable task) {
        try {
            executor.execute(failures.withLogging(task));
        } catch (RejectedExecutionException e) {
            // Closed: nobody waits for it any more.
        }
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        scheduleMicros(task, (long) (unit.toMicros(delay) / timeScale));
    }

    /** As long as that of ours, told to the engine. */
    Duration toEngineTime(long millis) {
        return Duration.ofMillis((long) (millis * timeScale));
    }

    /** In the process's own time. */
    Future<?> scheduleMicros(Runnable task, long micros) {
        try {
            return executor.schedule(failures.withLogging(task), micros, TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            return CompletableFuture.completedFuture(null); // Closed.
        }
    }

    void close() {
        executor.shutdown();
    }

    boolean awaitClosed(long millis) throws InterruptedException {
        return executor.awaitTermination(millis, TimeUnit.MILLISECONDS);
    }
}
