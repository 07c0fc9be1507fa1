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
 * TCP proxy that injects faults between a connecting and a listening process. All switches work at
 * run time, on open and on later connections. Its port is bound once and kept to the end; its
 * target may change, so that a restarted process may listen on another port.
 */
public final class FaultProxy implements Closeable {

    private static final int CONNECT_MS = 2000;
    private static final int BACKLOG = 256;

    /** Traffic through the proxy, for checks that bound the number of requests and bytes. */
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

    /**
     * Later connections are closed after this many bytes in {@code closeDirection}; negative:
     * never.
     */
    private Direction closeDirection = Direction.OUT;

    private long closeAfterBytes = -1;

    /** Starts to listen. Connections are reset until a target is set. */
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
     * Blocks a direction on all connections. Bytes that are sent meanwhile are delivered after
     * {@link #heal}.
     */
    public synchronized void cut(Direction direction) {
        cut.put(direction, true);
        open.forEach(p -> p.gate(direction).setBlocked(true));
    }

    public void cut() {
        cut(Direction.OUT);
        cut(Direction.BACK);
    }

    /**
     * Ends cuts, delays and refusals, and the byte limit for later connections. Held bytes are
     * forwarded at once. Stalled connections stay stalled.
     */
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

    /**
     * Delays what is read by this time; a stream of small pieces may be delayed up to twice as
     * long.
     */
    public synchronized void delay(Direction direction, long millis) {
        delayNanos.put(direction, millis * 1_000_000);
        open.forEach(p -> p.gate(direction).setDelay(millis * 1_000_000));
    }

    /** Silences the connections that are open now without closing them; later connections work. */
    public synchronized void stall() {
        open.forEach(ForwardedConnection::stall);
    }

    /** Resets both sides of all open connections. */
    public void reset() {
        open.forEach(ForwardedConnection::reset);
    }

    /** Sets whether new connections are reset on arrival; open connections remain. */
    public void setRefusing(boolean refuse) {
        refusing = refuse;
    }

    /** Closes each connection, open or later, after this many further bytes in that direction. */
    public synchronized void closeAfter(Direction direction, long moreBytes) {
        closeDirection = direction;
        closeAfterBytes = moreBytes;
        open.forEach(p -> p.closeAfter(direction, moreBytes));
    }

    // ---- Observations.

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
                    throw new IllegalStateException(
                            "proxy " + name + " cannot accept connections any more", e);
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
            // Connecting to a dead process is refused: the client sees a reset, but only once no
            // direction is cut.
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
     * Waits until no direction is cut. A connection through a cut is not established before the cut
     * is healed, whether or not the target listens.
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
