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
import postgrade.http.Reactor;
import postgrade.http.SocketBudget;
import postgrade.http.SystemCalls;

/** A loop turned by hand: sockets are real, time passes only when the test says so. */
public final class ManualEventLoop implements Reactor, Timers {

    private final Selector selector;
    private final SocketBudget sockets = new SocketBudget(100);
    private final ByteBuffer buffer = ByteBuffer.allocate(64 << 10);
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long nowMicros;
    private SystemCalls systemCalls = SystemCalls.REAL;
    private long count;
    private final List<SelectableChannel> channels = new ArrayList<>();
    private int served;

    private record Due(long whenMicros, long number, Runnable[] task)
            implements Timer, Comparable<Due> {
        @Override
        public void cancel() {
            task[0] = null;
        }

        @Override
        public int compareTo(Due o) {
            return whenMicros != o.whenMicros
                    ? Long.compare(whenMicros, o.whenMicros)
                    : Long.compare(number, o.number);
        }
    }

    public ManualEventLoop() throws IOException {
        selector = Selector.open();
    }

    /** Connections are made, read and written by these from now on. */
    public void systemCalls(SystemCalls calls) {
        systemCalls = calls;
    }

    @Override
    public SystemCalls systemCalls() {
        return systemCalls;
    }

    /** Serves sockets until it is so; time stands still. */
    public void serveUntil(BooleanSupplier isSo) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isSo.getAsBoolean()) {
            assertTrue("in time", System.nanoTime() < end);
            turn(20);
        }
    }

    private void turn(long waitMillis) throws IOException {
        selector.select(waitMillis);
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                served++;
                Handler h = (Handler) key.attachment();
                try {
                    h.ready(key);
                } catch (IOException e) {
                    h.failed(e);
                }
            }
        }
        selector.selectedKeys().clear();
    }

    /** Connections that are open or coming up. */
    public long openChannels() {
        return channels.stream().filter(SelectableChannel::isOpen).count();
    }

    /** Does something that a socket hears of, and serves that. */
    public void runAndServe(IoAction something) throws IOException {
        int before = served;
        something.run();
        serveUntil(() -> served > before);
    }

    /** What a peer does. */
    public interface IoAction {
        void run() throws IOException;
    }

    /** Time passes; returns early, at its time, once a task has made it so. */
    public boolean advanceTime(long micros, BooleanSupplier isSo) {
        long end = nowMicros + micros;
        while (!due.isEmpty() && due.peek().whenMicros <= end) {
            Due next = due.poll();
            nowMicros = Math.max(nowMicros, next.whenMicros);
            if (next.task[0] != null) {
                next.task[0].run();
                if (isSo.getAsBoolean()) {
                    return true;
                }
            }
        }
        nowMicros = end;
        return false;
    }

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public Timer at(long whenMicros, Runnable task) {
        Due d = new Due(whenMicros, count++, new Runnable[] {task});
        due.add(d);
        return d;
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
    public SocketBudget sockets() {
        return sockets;
    }
}
