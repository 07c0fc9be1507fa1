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
import postgrade.http.Reactor;
import postgrade.http.ReadBufferPool;
import postgrade.http.SocketBudget;
import postgrade.http.SystemCalls;
import postgrade.log.Events;

/**
 * The one thread of the daemon: waits for channels and timers, then lets the gateway take its turn.
 */
final class EventLoop implements Reactor, Timers {

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int READ_BYTES = 64 << 10;

    /**
     * Waits that fail one after another: the process ends, as its selector is of no use any more.
     */
    private static final int MOST_FAILED_WAITS = 100;

    /** A turn that took longer was late: what came meanwhile has waited for a time that counts. */
    private static final long LATE_TURN_MICROS = 10_000;

    /** A wait that took longer has waited: nothing was ready when it began. */
    private static final long WAITED_MICROS = 1_000;

    /** What takes its turn when all that was ready has been gathered. */
    interface IterationHandler {
        /** The clock has been read, and nothing has been looked at by it. */
        default void iterationStarted() {}

        void runBatch();

        /** More waits, so that the next turn is due at once. */
        boolean hasPendingWork();
    }

    private final Selector selector;
    private final SocketBudget sockets;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final ReadBufferPool looks = new ReadBufferPool();
    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final Clock clock;
    private final SystemCalls systemCalls;
    private long nowMicros;
    private long lastWaitMicros;
    private long readySinceMicros;
    private int failedWaits;
    private long timerCount;
    private volatile boolean stopped;
    private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();

    EventLoop(SocketBudget sockets, Clock clock, SystemCalls systemCalls) throws IOException {
        this.sockets = sockets;
        this.clock = clock;
        this.systemCalls = systemCalls;
        nowMicros = clock.micros();
        lastWaitMicros = nowMicros;
        readySinceMicros = nowMicros;
        selector = Selector.open();
    }

    /** What its time is read from, once a turn. */
    Clock clock() {
        return clock;
    }

    void run(IterationHandler turn) throws IOException {
        Runnable begin = turn::iterationStarted;
        nowMicros = clock.micros(); // What came before is as good as just come.
        while (!stopped) {
            long waitBeganMicros = clock.micros();
            await(turn.hasPendingWork());
            readClock(waitBeganMicros);
            guarded(begin);
            for (Runnable task = asked.poll(); task != null; task = asked.poll()) {
                guarded(task);
            }
            serve(new ArrayList<>(selector.selectedKeys()));
            selector.selectedKeys().clear();
            while (!timers.isEmpty() && timers.peek().whenMicros <= nowMicros) {
                Due due = timers.poll();
                if (due.task != null) {
                    guarded(due.task);
                }
            }
            turn.runBatch();
        }
        selector.close();
    }

    /**
     * What is ready after a turn that was late may have been so since that turn began; else it is
     * what has ended the wait.
     */
    private void readClock(long waitBeganMicros) {
        boolean wasLate = waitBeganMicros - nowMicros > LATE_TURN_MICROS;
        lastWaitMicros = nowMicros;
        nowMicros = clock.micros();
        boolean waited = nowMicros - waitBeganMicros > WAITED_MICROS;
        readySinceMicros = wasLate && !waited ? lastWaitMicros : nowMicros;
    }

    /**
     * Waits for channels and timers. A wait that fails ends early, and what is due is done all the
     * same.
     */
    private void await(boolean atOnce) throws IOException {
        try {
            systemCalls.select(selector, waitMillis(atOnce));
            failedWaits = 0;
        } catch (IOException e) {
            if (++failedWaits == MOST_FAILED_WAITS) {
                throw e;
            }
            Events.warn(LOG, "loop.wait-failed")
                    .setCause(e)
                    .log("a wait for channels failed; going on");
        }
    }

    /** How long nothing is due; negative if nothing ever is. */
    private long waitMillis(boolean atOnce) {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        if (atOnce) {
            return 0;
        }
        if (timers.isEmpty()) {
            return -1;
        }
        long waitMicros = timers.peek().whenMicros - clock.micros();
        return waitMicros <= 0 ? 0 : (waitMicros + 999) / 1000;
    }

    /**
     * Discovery goes first: what it has told must be known before anything else is looked at. The
     * listener goes last: a connection whose request has come is not taken for a silent one when
     * room is made for the next.
     */
    private void serve(List<SelectionKey> keys) {
        for (Handler.Order order : Handler.Order.values()) {
            for (SelectionKey key : keys) {
                Handler handler = (Handler) key.attachment();
                if (handler.order() == order && key.isValid()) {
                    serve(key, handler);
                }
            }
        }
    }

    private void serve(SelectionKey key, Handler handler) {
        try {
            handler.ready(key);
        } catch (IOException | CancelledKeyException e) {
            handler.failed(e); // An ordinary break of one connection.
        } catch (RuntimeException e) {
            // Guards the loop: what goes wrong with one connection ends that connection alone.
            Events.error(LOG, "connection.handler-failed")
                    .setCause(e)
                    .log("a connection's handler failed; the connection is closed");
            guarded(() -> handler.failed(e));
        }
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Events.error(LOG, "loop.task-failed").setCause(e).log("a task of the loop failed");
        }
    }

    /** Runs a task on the loop's thread; may be called from any other. */
    void execute(Runnable task) {
        asked.add(task);
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
    public Timer at(long whenMicros, Runnable task) {
        Due due = new Due(whenMicros, timerCount++, task);
        timers.add(due);
        return due;
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
        return looks.acquire();
    }

    @Override
    public void releaseBuffer(ByteBuffer lent) {
        looks.release(lent);
    }

    @Override
    public SystemCalls systemCalls() {
        return systemCalls;
    }

    @Override
    public long previousWaitEndMicros() {
        return lastWaitMicros;
    }

    @Override
    public long readySinceMicros() {
        return readySinceMicros;
    }

    @Override
    public SocketBudget sockets() {
        return sockets;
    }

    /** A timer in the heap; a cancelled one stays there, empty, until its time. */
    private static final class Due implements Timer, Comparable<Due> {
        private final long whenMicros;
        private final long number;
        private Runnable task;

        Due(long whenMicros, long number, Runnable task) {
            this.whenMicros = whenMicros;
            this.number = number;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(whenMicros, other.whenMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
