package postgrade.daemon;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A scripted peer on loopback: hands over what arrives and answers only what the test tells it to.
 */
final class ScriptedPeer implements AutoCloseable {

    static final int TIMEOUT_S = 20;

    /** One message, and the connection it came on. */
    record ReceivedMessage(Socket socket, String head, String body) {
        void reply(String status, String body) {
            write(
                    socket,
                    "HTTP/1.1 "
                            + status
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }

        void accept() {
            reply("202 Accepted", "");
        }

        /** Ends the connection with a reset. */
        void resetConnection() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(head.split(" ")[1]);
        }
    }

    private static final AtomicInteger PEERS = new AtomicInteger();
    private final ServerSocket server;
    private final BlockingQueue<ReceivedMessage> arrived = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();

    ScriptedPeer() throws IOException {
        // Guards against the dispatchers of earlier tests, which look for their peers for ever: no
        // address comes again.
        int count = PEERS.incrementAndGet();
        server =
                new ServerSocket(
                        0,
                        50,
                        InetAddress.getByName(
                                "127.0." + (1 + count / 200) + "." + (1 + count % 200)));
        daemon(
                () -> {
                    while (true) {
                        Socket s = server.accept();
                        daemon(() -> receive(s));
                    }
                });
    }

    private void receive(Socket s) throws IOException {
        try {
            while (true) {
                arrived.add(read(s));
            }
        } catch (EOFException e) {
            ended.add(s);
        }
    }

    private interface Io {
        void run() throws IOException;
    }

    private static void daemon(Io task) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The test is over, or has broken the connection itself.
                            }
                        });
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    ReceivedMessage awaitMessage() throws InterruptedException {
        ReceivedMessage a = arrived.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("nothing arrived", a);
        return a;
    }

    ReceivedMessage awaitMessage(String start) throws InterruptedException {
        ReceivedMessage a = awaitMessage();
        assertTrue(a.head(), a.head().startsWith(start));
        return a;
    }

    boolean hasNoMessage() {
        return arrived.isEmpty();
    }

    /** Waits until the other side has closed one of its connections. */
    Socket awaitClosedConnection() throws InterruptedException {
        Socket s = ended.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("no connection ended", s);
        return s;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    static void write(Socket s, String text) {
        try {
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads one message with a length. */
    static ReceivedMessage read(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException();
            }
            head.append((char) b);
        }
        String length = new ReceivedMessage(s, head.toString(), "").header("Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new ReceivedMessage(s, head.toString(), new String(body, StandardCharsets.UTF_8));
    }
}
