package postgrade.rig.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** One connection through a proxy: a thread for each way, and a gate before whatever is written. */
final class Passage {

    private static final int BUFFER = 1 << 16;

    private final Map<Direction, Socket> from;
    private final Map<Direction, Gate> gates =
            Map.of(Direction.OUT, new Gate(), Direction.BACK, new Gate());
    private final Map<Direction, AtomicLong> left =
            Map.of(
                    Direction.OUT,
                    new AtomicLong(Long.MAX_VALUE),
                    Direction.BACK,
                    new AtomicLong(Long.MAX_VALUE));
    private final Map<Direction, AtomicLong> bytes;
    private final Consumer<Passage> over;
    private final AtomicInteger waysOpen = new AtomicInteger(2);
    private volatile boolean stalled;

    Passage(
            Socket connecting,
            Socket listening,
            Map<Direction, AtomicLong> bytes,
            Consumer<Passage> over) {
        from = Map.of(Direction.OUT, connecting, Direction.BACK, listening);
        this.bytes = bytes;
        this.over = over;
    }

    Gate gate(Direction way) {
        return gates.get(way);
    }

    void begin(String name) {
        for (Direction w : Direction.values()) {
            Thread t = new Thread(() -> pump(w), "proxy " + name + " " + w);
            t.setDaemon(true);
            t.start();
        }
    }

    void stall() {
        stalled = true;
        gates.values().forEach(g -> g.shut(true));
    }

    boolean stalled() {
        return stalled;
    }

    void closeAfter(Direction way, long more) {
        left.get(way).set(more);
    }

    private void pump(Direction way) {
        byte[] buffer = new byte[BUFFER];
        Socket to = from.get(way == Direction.OUT ? Direction.BACK : Direction.OUT);
        try {
            InputStream in = from.get(way).getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!gates.get(way).pass(System.nanoTime())) {
                    return;
                }
                int passing = (int) Math.min(n, left.get(way).getAndAdd(-n));
                if (passing > 0) {
                    // Before they are written: whoever has read them must find them counted.
                    bytes.get(way).addAndGet(passing);
                    out.write(buffer, 0, passing);
                }
                if (passing < n) {
                    close();
                    return;
                }
            }
            // An end is news too, and is held up like bytes.
            if (gates.get(way).pass(System.nanoTime())) {
                to.shutdownOutput();
            }
            if (waysOpen.decrementAndGet() == 0) {
                close();
            }
        } catch (IOException e) {
            broken(way);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * A side was reset. Nobody hears of it while that way is shut: whoever dies behind a cut says
     * nothing.
     */
    private void broken(Direction way) {
        try {
            if (gates.get(way).pass(System.nanoTime())) {
                reset();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void close() throws IOException {
        over.accept(this);
        gates.values().forEach(Gate::end);
        for (Socket s : from.values()) {
            s.close();
        }
    }

    void reset() {
        over.accept(this);
        gates.values().forEach(Gate::end);
        from.values().forEach(SocketReset::reset);
    }
}
