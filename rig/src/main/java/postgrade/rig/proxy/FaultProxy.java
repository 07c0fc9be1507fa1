package postgrade.rig.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands between one process that connects and one that listens, and spoils what passes. All
 * switches work while it runs, on connections that are open and on later ones. Its port is bound
 * once and kept to the end; where it leads may change, so that a process started again may listen
 * on another port.
 */
public final class FaultProxy implements Closeable {

    private static final int CONNECT_MS = 2000;
    private static final int BACKLOG = 256;

    /** What went through, for bounds on how much is asked. */
    public record Counts(long connections, long bytesOut, long bytesBack) {}

    private final String name;
    private final ServerSocket listener;
    private final Set<ForwardedConnection> open = ConcurrentHashMap.newKeySet();
    private final Map<Direction, Boolean> cut =
            new EnumMap<>(Map.of(Direction.OUT, false, Direction.BACK, false));
    private final Map<Direction, Long> delayNanos =
            new EnumMap<>(Map.of(Direction.OUT, 0L, Direction.BACK, 0L));
    private final Map<Direction, AtomicLong> bytes =
            Map.of(Direction.OUT, new AtomicLong(), Direction.BACK, new AtomicLong());
    private final AtomicLong connections = new AtomicLong();
    private volatile InetSocketAddress target;
    private volatile boolean refusing;
    private volatile boolean closed;

    /** For connections to come: so many bytes of a way, then the end. Below 0: no end. */
    private Direction closeDirection = Direction.OUT;

    private long closeAfterBytes = -1;

    /** Listens at once. Connections are reset until it leads somewhere. */
    public FaultProxy(String name) throws IOException {
        this.name = name;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread t = new Thread(this::accept, "proxy " + name);
        t.setDaemon(true);
        t.start();
    }

    public String name() {
        return name;
    }

    public int port() {
        return listener.getLocalPort();
    }

    public void setTarget(InetSocketAddress address) {
        target = address;
    }

    // ---- Switches.

    /**
     * Nothing passes that way from now on, on any connection. What is sent meanwhile comes when it
     * is healed.
     */
    public synchronized void cut(Direction direction) {
        cut.put(direction, true);
        open.forEach(p -> p.gate(direction).setBlocked(true));
    }

    public void cut() {
        cut(Direction.OUT);
        cut(Direction.BACK);
    }

    /** Bytes pass again both ways, at once and to their end. */
    public synchronized void heal() {
        refusing = false;
        closeAfterBytes = -1;
        notifyAll();
        for (Direction w : Direction.values()) {
            cut.put(w, false);
            delayNanos.put(w, 0L);
            open.stream()
                    .filter(p -> !p.stalled())
                    .forEach(
                            p -> {
                                p.gate(w).setBlocked(false);
                                p.gate(w).setDelay(0);
                            });
        }
    }

    /** What is read passes so much later; a stream of small pieces up to twice as late. */
    public synchronized void delay(Direction direction, long millis) {
        delayNanos.put(direction, millis * 1_000_000);
        open.forEach(p -> p.gate(direction).setDelay(millis * 1_000_000));
    }

    /**
     * The connections that are open now say nothing any more and never end by themselves; later
     * ones are well.
     */
    public synchronized void stall() {
        open.forEach(ForwardedConnection::stall);
    }

    /** Resets both sides of all connections that are open. */
    public void reset() {
        open.forEach(ForwardedConnection::reset);
    }

    /** Resets connections as soon as they come; those that are open go on. */
    public void setRefusing(boolean refuse) {
        refusing = refuse;
    }

    /**
     * All connections, open and later ones, end once so many more bytes of that way have passed.
     */
    public synchronized void closeAfter(Direction direction, long more) {
        closeDirection = direction;
        closeAfterBytes = more;
        open.forEach(p -> p.closeAfter(direction, more));
    }

    // ---- What it sees.

    public Counts counts() {
        return new Counts(
                connections.get(), bytes.get(Direction.OUT).get(), bytes.get(Direction.BACK).get());
    }

    public int openConnections() {
        return open.size();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket downstream = listener.accept();
                connections.incrementAndGet();
                InetSocketAddress address = target;
                if (address == null || refusing) {
                    SocketReset.reset(downstream);
                    continue;
                }
                Thread t = new Thread(() -> connect(downstream, address), "proxy " + name);
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                if (!closed) {
                    throw new IllegalStateException("proxy " + name + " lost its port", e);
                }
            }
        }
    }

    private void connect(Socket downstream, InetSocketAddress address) {
        Socket upstream = new Socket();
        if (!awaitHealed()) {
            SocketReset.reset(downstream);
            return;
        }
        try {
            downstream.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            upstream.connect(address, CONNECT_MS);
        } catch (IOException e) {
            // A dead process refuses: whoever connects sees a reset, but not through a cut.
            awaitHealed();
            SocketReset.reset(downstream);
            SocketReset.reset(upstream);
            return;
        }
        ForwardedConnection connection =
                new ForwardedConnection(downstream, upstream, bytes, open::remove);
        synchronized (this) {
            for (Direction w : Direction.values()) {
                connection.gate(w).setBlocked(cut.get(w));
                connection.gate(w).setDelay(delayNanos.get(w));
            }
            if (closeAfterBytes >= 0) {
                connection.closeAfter(closeDirection, closeAfterBytes);
            }
            open.add(connection);
        }
        if (closed) {
            connection.reset();
        }
        connection.start(name);
    }

    /**
     * A connection through a cut does not come up until it is healed, whether or not somebody
     * listens beyond.
     */
    private synchronized boolean awaitHealed() {
        try {
            while (cut.containsValue(true) && !closed) {
                wait();
            }
            return !closed;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        listener.close();
        List.copyOf(open).forEach(ForwardedConnection::reset);
    }
}
