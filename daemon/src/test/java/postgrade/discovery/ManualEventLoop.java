package postgrade.discovery;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import postgrade.dispatch.Timers;
import postgrade.http.MemoryBudget;
import postgrade.http.Reactor;
import postgrade.http.SocketBudget;
import postgrade.http.SystemCalls;

/**
 * An event loop that the test drives: sockets are real, and time advances only when the test says
 * so.
 */
public final class ManualEventLoop implements Reactor, Timers {

    private final Selector selector;
    private final SocketBudget sockets = new SocketBudget(100);
    private final MemoryBudget memory = new MemoryBudget();
    private final ByteBuffer buffer = ByteBuffer.allocate(64 << 10);
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private long nowMicros;
    private SystemCalls systemCalls = SystemCalls.REAL;
    private long scheduledCount;
    private final List<SelectableChannel> channels = new ArrayList<>();
    private int servedEvents;

    private record ScheduledTask(long whenMicros, long number, Runnable[] task)
            implements Timer, Comparable<ScheduledTask> {
        @Override
        public void cancel() {
            task[0] = null;
        }

        @Override
        public int compareTo(ScheduledTask o) {
            return whenMicros != o.whenMicros
                    ? Long.compare(whenMicros, o.whenMicros)
                    : Long.compare(number, o.number);
        }
    }

    public ManualEventLoop() throws IOException {
        selector = Selector.open();
    }

    /** Sets the system calls that connect, read and write from now on. */
    public void systemCalls(SystemCalls calls) {
        systemCalls = calls;
    }

    @Override
    public SystemCalls systemCalls() {
        return systemCalls;
    }

    /** Serves sockets until the condition holds; time does not advance. */
    public void serveUntil(BooleanSupplier condition) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue("condition not met within 20 s", System.nanoTime() < deadlineNanos);
            pollOnce(20);
        }
    }

    private void pollOnce(long waitMillis) throws IOException {
        selector.select(waitMillis);
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                servedEvents++;
                Handler handler = (Handler) key.attachment();
                try {
                    handler.ready(key);
                } catch (IOException e) {
                    handler.failed(e);
                }
            }
        }
        selector.selectedKeys().clear();
    }

    /** Returns the number of connections that are open or being established. */
    public long openChannels() {
        return channels.stream().filter(SelectableChannel::isOpen).count();
    }

    /** Runs an action that makes a socket ready, and serves that socket. */
    public void runAndServe(IoAction action) throws IOException {
        int servedBefore = servedEvents;
        action.run();
        serveUntil(() -> servedEvents > servedBefore);
    }

    /** An action of a peer. */
    public interface IoAction {
        void run() throws IOException;
    }

    /**
     * Advances time and runs the tasks that fall due. Stops early, and returns true, once a task
     * has made the condition hold.
     */
    public boolean advanceTime(long micros, BooleanSupplier condition) {
        long endMicros = nowMicros + micros;
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().whenMicros <= endMicros) {
            ScheduledTask next = scheduledTasks.poll();
            nowMicros = Math.max(nowMicros, next.whenMicros);
            if (next.task[0] != null) {
                next.task[0].run();
                if (condition.getAsBoolean()) {
                    return true;
                }
            }
        }
        nowMicros = endMicros;
        return false;
    }

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public Timer at(long whenMicros, Runnable task) {
        ScheduledTask scheduled =
                new ScheduledTask(whenMicros, scheduledCount++, new Runnable[] {task});
        scheduledTasks.add(scheduled);
        return scheduled;
    }

    @Override
    public SelectionKey register(SelectableChannel channel, int interest, Handler handler)
            throws IOException {
        channels.add(channel);
        return channel.register(selector, interest, handler);
    }

    @Override
    public ByteBuffer readBuffer() {
        return buffer;
    }

    @Override
    public MemoryBudget memory() {
        return memory;
    }

    @Override
    public SocketBudget sockets() {
        return sockets;
    }
}
