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

/**
 * One dispatcher as its clients see it: persistent connections with one request at a time on each.
 */
final class Target {

    private static final int CONNECT_MS = 1000;
    private static final long MAX_IDLE_NANOS = 4_000_000_000L;
    private static final int PEEK_TIMEOUT_MS = 1;
    private static final int MAX_LINE_LENGTH = 1 << 14;

    record Answer(int status, String body, boolean keepAlive) {}

    final String name;
    private final InetSocketAddress address;
    private final ConcurrentLinkedDeque<Connection> idle = new ConcurrentLinkedDeque<>();
    volatile long skippedUntilMicros;

    /** Whether new connections to it are opened; open connections are used in any case. */
    volatile boolean admitted = true;

    Target(String name, InetSocketAddress address) {
        this.name = name;
        this.address = address;
    }

    /** Returns an idle or new connection, or null if none is available. */
    Connection connection() {
        for (Connection connection = idle.pollLast();
                connection != null;
                connection = idle.pollLast()) {
            if (System.nanoTime() - connection.idleSinceNanos < MAX_IDLE_NANOS
                    && !connection.endedByPeer()) {
                return connection;
            }
            connection.close();
        }
        if (!admitted) {
            return null;
        }
        try {
            return new Connection(address);
        } catch (IOException e) {
            return null;
        }
    }

    void release(Connection connection, boolean keepAlive) {
        if (keepAlive) {
            connection.reused = true;
            connection.idleSinceNanos = System.nanoTime();
            idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    void close() {
        idle.forEach(Connection::close);
    }

    static final class Connection {
        private final Socket socket = new Socket();
        private final InputStream in;
        private boolean reused;
        private long idleSinceNanos;

        Connection(InetSocketAddress to) throws IOException {
            try {
                socket.connect(to, CONNECT_MS);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        /**
         * Whether the peer has closed the connection while it was idle; unsolicited data counts as
         * closed too.
         */
        boolean endedByPeer() {
            try {
                socket.setSoTimeout(PEEK_TIMEOUT_MS);
                in.read();
                return true;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        boolean reused() {
            return reused;
        }

        Answer exchange(String request, long withinMillis) throws IOException {
            socket.setSoTimeout((int) withinMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String[] status = readLine().split(" ");
            int length = 0;
            boolean keepAlive = true;
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                String[] field = line.toLowerCase(Locale.ROOT).split(":", 2);
                if (field[0].equals("content-length")) {
                    length = Integer.parseInt(field[1].strip());
                } else if (field[0].equals("connection") && field[1].strip().equals("close")) {
                    keepAlive = false;
                }
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("connection closed within the response body");
            }
            return new Answer(
                    Integer.parseInt(status[1]),
                    new String(body, StandardCharsets.UTF_8),
                    keepAlive);
        }

        private String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0 || line.length() > MAX_LINE_LENGTH) {
                    throw new IOException(
                            "response head is truncated or has a line that is too long");
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
                // The connection is discarded in any case.
            }
        }
    }
}
