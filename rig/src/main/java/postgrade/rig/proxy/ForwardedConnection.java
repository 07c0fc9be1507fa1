package postgrade.rig.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** One connection through a proxy: a thread for each direction, and a gate before each write. */
final class ForwardedConnection {

    private static final int BUFFER = 1 << 16;

    private final Map<Direction, Socket> sources;
    private final Map<Direction, Gate> gates =
            Map.of(Direction.OUT, new Gate(), Direction.BACK, new Gate());
    private final Map<Direction, AtomicLong> bytesLeft =
            Map.of(
                    Direction.OUT,
                    new AtomicLong(Long.MAX_VALUE),
                    Direction.BACK,
                    new AtomicLong(Long.MAX_VALUE));
    private final Map<Direction, AtomicLong> bytes;
    private final Consumer<ForwardedConnection> onClose;
    private final AtomicInteger openDirections = new AtomicInteger(2);
    private volatile boolean stalled;

    ForwardedConnection(
            Socket connecting,
            Socket listening,
            Map<Direction, AtomicLong> bytes,
            Consumer<ForwardedConnection> onClose) {
        sources = Map.of(Direction.OUT, connecting, Direction.BACK, listening);
        this.bytes = bytes;
        this.onClose = onClose;
    }

    Gate gate(Direction direction) {
        return gates.get(direction);
    }

    void start(String name) {
        for (Direction w : Direction.values()) {
            Thread t = new Thread(() -> pump(w), "proxy " + name + " " + w);
            t.setDaemon(true);
            t.start();
        }
    }

    void stall() {
        stalled = true;
        gates.values().forEach(g -> g.setBlocked(true));
    }

    boolean stalled() {
        return stalled;
    }

    void closeAfter(Direction direction, long moreBytes) {
        bytesLeft.get(direction).set(moreBytes);
    }

    private void pump(Direction direction) {
        byte[] buffer = new byte[BUFFER];
        Socket to = sources.get(direction == Direction.OUT ? Direction.BACK : Direction.OUT);
        try {
            InputStream in = sources.get(direction).getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!gates.get(direction).awaitOpen(System.nanoTime())) {
                    return;
                }
                int passing = (int) Math.min(n, bytesLeft.get(direction).getAndAdd(-n));
                if (passing > 0) {
                    // Counted before the write: a peer that has read the bytes must find them
                    // counted.
                    bytes.get(direction).addAndGet(passing);
                    out.write(buffer, 0, passing);
                }
                if (passing < n) {
                    close();
                    return;
                }
            }
            // The end of the stream is held back like bytes.
            if (gates.get(direction).awaitOpen(System.nanoTime())) {
                to.shutdownOutput();
            }
            if (openDirections.decrementAndGet() == 0) {
                close();
            }
        } catch (IOException e) {
            connectionBroken(direction);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Handles a reset of one side. The other side does not notice it while the direction is
     * blocked: behind a cut the death of a process is invisible.
     */
    private void connectionBroken(Direction direction) {
        try {
            if (gates.get(direction).awaitOpen(System.nanoTime())) {
                reset();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void close() throws IOException {
        onClose.accept(this);
        gates.values().forEach(Gate::end);
        for (Socket s : sources.values()) {
            s.close();
        }
    }

    void reset() {
        onClose.accept(this);
        gates.values().forEach(Gate::end);
        sources.values().forEach(SocketReset::reset);
    }
}
