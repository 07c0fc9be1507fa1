package postgrade.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Timers;
import postgrade.http.MemoryBudget;
import postgrade.http.Reactor;
import postgrade.http.ReadBufferPool;
import postgrade.http.SocketBudget;
import postgrade.http.SystemCalls;
import postgrade.log.Events;

/**
 * The daemon's single thread: waits for channels and timers, then has the request tracker process
 * its batch.
 */
final class EventLoop implements Reactor, Timers {

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int READ_BYTES = 64 << 10;

    /**
     * After this many failed waits in a row the process exits, as its selector is no longer usable.
     */
    private static final int MAX_CONSECUTIVE_FAILED_WAITS = 100;

    /**
     * An iteration that took longer is late: events that arrived meanwhile have waited for a time
     * that matters.
     */
    private static final long LATE_ITERATION_MICROS = 10_000;

    private static final int MAX_CANCELLED_TIMERS = 1_000;

    /** Releases of memory are logged no more often. */
    private static final long MEMORY_LOG_INTERVAL_MICROS = 1_000_000;

    /** A wait that took longer did block, so no channel was ready when it began. */
    private static final long MIN_WAIT_MICROS = 1_000;

    /** Called in each iteration of the loop. */
    interface IterationHandler {
        /** Called when the clock has been read and before anything is processed at that time. */
        default void iterationStarted() {}

        void runBatch();

        /** Whether work is left, so that the next iteration starts without waiting. */
        boolean hasPendingWork();
    }

    private final Selector selector;
    private final SocketBudget sockets;
    private final MemoryBudget memory = new MemoryBudget();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final ReadBufferPool bufferPool = new ReadBufferPool();
    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
    private final Clock clock;
    private final SystemCalls systemCalls;
    private long nowMicros;
    private long previousWaitEndMicros;
    private long readySinceMicros;
    private int consecutiveFailedWaits;
    private long nextTimerNumber;
    private int cancelledTimers;
    private final Runnable enforceMemoryLimit = this::enforceMemoryLimit;
    private int memoryReleases;
    private long memoryLogMicros;
    private volatile boolean stopped;
    private final Queue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();

    EventLoop(SocketBudget sockets, Clock clock, SystemCalls systemCalls) throws IOException {
        this.sockets = sockets;
        this.clock = clock;
        this.systemCalls = systemCalls;
        nowMicros = clock.micros();
        previousWaitEndMicros = nowMicros;
        readySinceMicros = nowMicros;
        selector = Selector.open();
    }

    /** Returns the clock that the loop reads once per iteration. */
    Clock clock() {
        return clock;
    }

    void run(IterationHandler handler) throws IOException {
        Runnable iterationStarted = handler::iterationStarted;
        // Events from before the start count as having just arrived.
        nowMicros = clock.micros();
        while (!stopped) {
            long waitStartMicros = clock.micros();
            waitForEvents(handler.hasPendingWork());
            readClock(waitStartMicros);
            runGuarded(iterationStarted);
            for (Runnable task = submittedTasks.poll();
                    task != null;
                    task = submittedTasks.poll()) {
                runGuarded(task);
            }
            dispatch(new ArrayList<>(selector.selectedKeys()));
            selector.selectedKeys().clear();
            while (!timers.isEmpty() && timers.peek().dueMicros <= nowMicros) {
                Runnable due = timers.poll().take();
                if (due != null) {
                    runGuarded(due);
                }
            }
            handler.runBatch();
            runGuarded(enforceMemoryLimit);
        }
        selector.close();
    }

    /**
     * Determines since when channels may have been ready: after a late iteration, since that
     * iteration began; otherwise since the wait ended.
     */
    private void readClock(long waitStartMicros) {
        boolean wasLate = waitStartMicros - nowMicros > LATE_ITERATION_MICROS;
        previousWaitEndMicros = nowMicros;
        nowMicros = clock.micros();
        boolean waited = nowMicros - waitStartMicros > MIN_WAIT_MICROS;
        readySinceMicros = wasLate && !waited ? previousWaitEndMicros : nowMicros;
    }

    /**
     * Waits for channels and timers. A failed wait ends early, and the iteration goes on with what
     * is due.
     */
    private void waitForEvents(boolean immediately) throws IOException {
        try {
            systemCalls.select(selector, waitMillis(immediately));
            consecutiveFailedWaits = 0;
        } catch (IOException e) {
            if (++consecutiveFailedWaits == MAX_CONSECUTIVE_FAILED_WAITS) {
                throw e;
            }
            Events.warn(LOG, "loop.wait-failed")
                    .setCause(e)
                    .log("waiting for channels failed; continuing");
        }
    }

    /** Returns the time until the next timer is due; negative if there is none. */
    private long waitMillis(boolean immediately) {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll().take();
        }
        if (immediately) {
            return 0;
        }
        if (timers.isEmpty()) {
            return -1;
        }
        long waitMicros = timers.peek().dueMicros - clock.micros();
        return waitMicros <= 0 ? 0 : (waitMicros + 999) / 1000;
    }

    /**
     * Handles discovery first, so that worker updates are known before any other event is
     * processed. The client listener comes last, so that a connection whose request has just
     * arrived is not evicted as idle to make room for a new one.
     */
    private void dispatch(List<SelectionKey> keys) {
        for (Handler.Order order : Handler.Order.values()) {
            for (SelectionKey key : keys) {
                Handler handler = (Handler) key.attachment();
                if (handler.order() == order && key.isValid()) {
                    dispatch(key, handler);
                    runGuarded(enforceMemoryLimit);
                }
            }
        }
    }

    private void enforceMemoryLimit() {
        memoryReleases += memory.enforce();
        if (memoryReleases > 0 && nowMicros >= memoryLogMicros) {
            Events.warn(LOG, "memory.released")
                    .addKeyValue("peers", memoryReleases)
                    .addKeyValue("used", memory.usedBytes())
                    .log(
                            "peers held too much memory; taken from those that held the most: "
                                    + memoryReleases
                                    + " times");
            memoryReleases = 0;
            memoryLogMicros = nowMicros + MEMORY_LOG_INTERVAL_MICROS;
        }
    }

    private void dispatch(SelectionKey key, Handler handler) {
        try {
            handler.ready(key);
        } catch (IOException | CancelledKeyException e) {
            handler.failed(e); // A broken connection is an ordinary event.
        } catch (RuntimeException e) {
            // A programming error in one handler must not stop the loop: only its connection is
            // closed.
            Events.error(LOG, "connection.handler-failed")
                    .setCause(e)
                    .log("a connection's handler failed; the connection is closed");
            runGuarded(() -> handler.failed(e));
        }
    }

    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Events.error(LOG, "loop.task-failed")
                    .setCause(e)
                    .log("a task on the event loop failed");
        }
    }

    /** Runs a task on the loop's thread; may be called from any thread. */
    void execute(Runnable task) {
        submittedTasks.add(task);
        selector.wakeup();
    }

    void stop() {
        stopped = true;
    }

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public Timer at(long dueMicros, Runnable task) {
        ScheduledTask timer = new ScheduledTask(dueMicros, nextTimerNumber++, task);
        timers.add(timer);
        return timer;
    }

    @Override
    public SelectionKey register(SelectableChannel channel, int interest, Handler handler)
            throws IOException {
        return channel.register(selector, interest, handler);
    }

    @Override
    public ByteBuffer readBuffer() {
        return readBuffer;
    }

    @Override
    public ByteBuffer acquireBuffer() {
        return bufferPool.acquire();
    }

    @Override
    public void releaseBuffer(ByteBuffer lent) {
        bufferPool.release(lent);
    }

    @Override
    public SystemCalls systemCalls() {
        return systemCalls;
    }

    @Override
    public long previousWaitEndMicros() {
        return previousWaitEndMicros;
    }

    @Override
    public long readySinceMicros() {
        return readySinceMicros;
    }

    @Override
    public SocketBudget sockets() {
        return sockets;
    }

    @Override
    public MemoryBudget memory() {
        return memory;
    }

    /** Returns the number of timers in the heap, including cancelled ones. */
    int timerCount() {
        return timers.size();
    }

    /**
     * Removes the cancelled timers once they are the greater part. Most timers are cancelled long
     * before they are due, and clients choose the deadlines of their jobs.
     */
    private void removeCancelledTimers() {
        if (cancelledTimers > MAX_CANCELLED_TIMERS && cancelledTimers > timers.size() / 2) {
            timers.removeIf(timer -> timer.task == null);
            cancelledTimers = 0;
        }
    }

    /** A timer in the heap; a cancelled one stays there for a while without its task. */
    private final class ScheduledTask implements Timer, Comparable<ScheduledTask> {
        private final long dueMicros;
        private final long number;
        private Runnable task;

        ScheduledTask(long dueMicros, long number, Runnable task) {
            this.dueMicros = dueMicros;
            this.number = number;
            this.task = task;
        }

        /** Takes the task when the timer leaves the heap; null if it has been cancelled. */
        Runnable take() {
            Runnable taken = task;
            task = null;
            cancelledTimers -= taken == null ? 1 : 0;
            return taken;
        }

        @Override
        public void cancel() {
            if (task != null) {
                task = null;
                cancelledTimers++;
                removeCancelledTimers();
            }
        }

        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
