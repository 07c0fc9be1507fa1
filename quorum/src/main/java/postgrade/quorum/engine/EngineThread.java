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
 * The single thread of a voter, for consensus, its store and its requests. The engine counts in
 * whole seconds; here one of its seconds lasts one heartbeat interval, for its tasks and its clock
 * alike, so that a dead leader is replaced in less than two real seconds.
 */
final class EngineThread implements RaftNodeExecutor {

    /** Start of the engine's clock, far above zero, since the engine takes zero as never. */
    private static final long CLOCK_ORIGIN_MILLIS = 1_000_000_000_000L;

    private final ScheduledThreadPoolExecutor executor;
    private final double timeScale;
    private final TaskFailureLog failures;
    private volatile Thread thread;

    EngineThread(String name, int heartbeatIntervalMillis) {
        timeScale = 1000.0 / heartbeatIntervalMillis;
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

    /** The engine's clock, derived from the process's monotonic clock. */
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
            // Shut down: nobody waits for the task any more.
        }
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        scheduleMicros(task, (long) (unit.toMicros(delay) / timeScale));
    }

    /** Converts a real duration to the engine's time. */
    Duration toEngineTime(long millis) {
        return Duration.ofMillis((long) (millis * timeScale));
    }

    /** Runs a task after a delay in real time. */
    Future<?> scheduleMicros(Runnable task, long micros) {
        try {
            return executor.schedule(failures.withLogging(task), micros, TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            return CompletableFuture.completedFuture(null); // Shut down.
        }
    }

    void close() {
        executor.shutdown();
    }

    boolean awaitClosed(long millis) throws InterruptedException {
        return executor.awaitTermination(millis, TimeUnit.MILLISECONDS);
    }
}
