package postgrade.rig.load;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedDeque;

/** One dispatcher as consumers see it: connections that are kept, one request at a time on each. */
final class Target {

    private static final int CONNECT_MS = 1000;
    private static final long IDLE_NANOS = 4_000_000_000L;
    private static final int LOOK_MS = 1;
    private static final int MOST_LINE = 1 << 14;

    record Answer(int status, String body, boolean keep) {}

    final String name;
    private final InetSocketAddress address;
    private final ConcurrentLinkedDeque<Line> idle = new ConcurrentLinkedDeque<>();
    volatile long passedOverUntil;

    /** Whether the front sends it new connections; those that are open are used all the same. */
    volatile boolean admitted = true;

    Target(String name, InetSocketAddress address) {
        this.name = name;
        this.address = address;
    }

    /** A connection, or null where none can be had. */
    Line line() {
        for (Line l = idle.pollLast(); l != null; l = idle.pollLast()) {
            if (System.nanoTime() - l.sinceNanos < IDLE_NANOS && !l.endedByPeer()) {
                return l;
            }
            l.close();
        }
        if (!admitted) {
            return null;
        }
        try {
            return new Line(address);
        } catch (IOException e) {
            return null;
        }
    }

    void back(Line line, boolean keep) {
        if (keep) {
            line.used = true;
            line.sinceNanos = System.nanoTime();
            idle.addLast(line);
        } else {
            line.close();
        }
    }

    void close() {
        idle.forEach(Line::close);
    }

    static final class Line {
        private final Socket socket = new Socket();
        private final InputStream in;
        private boolean used;
        private long sinceNanos;

        Line(InetSocketAddress to) throws IOException {
            try {
                socket.connect(to, CONNECT_MS);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        /** Whether the other side has ended it meanwhile; what it says instead is its end too. */
        boolean endedByPeer() {
            try {
                socket.setSoTimeout(LOOK_MS);
                in.read();
                return true;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        boolean used() {
            return used;
        }

        Answer exchange(String request, long withinMillis) throws IOException {
            socket.setSoTimeout((int) withinMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String[] status = text().split(" ");
            int length = 0;
            boolean keep = true;
            for (String line = text(); !line.isEmpty(); line = text()) {
                String[] field = line.toLowerCase(Locale.ROOT).split(":", 2);
                if (field[0].equals("content-length")) {
                    length = Integer.parseInt(field[1].strip());
                } else if (field[0].equals("connection") && field[1].strip().equals("close")) {
                    keep = false;
                }
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("cut off within the body");
            }
            return new Answer(
                    Integer.parseInt(status[1]), new String(body, StandardCharsets.UTF_8), keep);
        }

        private String text() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0 || line.length() > MOST_LINE) {
                    throw new IOException("ended within the head");
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is of no use either way.
            }
        }
    }
}
