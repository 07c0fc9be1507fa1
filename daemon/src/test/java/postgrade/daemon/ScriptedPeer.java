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
 * A scripted peer on loopback: queues the messages it receives and sends only what the test tells
 * it to.
 */
final class ScriptedPeer implements AutoCloseable {

    static final int TIMEOUT_S = 20;

    /** One message, and the connection on which it came. */
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

        /** Closes the connection with a reset. */
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

    private static final AtomicInteger PEER_COUNT = new AtomicInteger();
    private final ServerSocket server;
    private final BlockingQueue<ReceivedMessage> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();

    ScriptedPeer() throws IOException {
        // No address is used twice: guards against the dispatchers of earlier tests, which keep
        // trying to reach their peers.
        int count = PEER_COUNT.incrementAndGet();
        server =
                new ServerSocket(
                        0,
                        50,
                        InetAddress.getByName(
                                "127.0." + (1 + count / 200) + "." + (1 + count % 200)));
        runInDaemonThread(
                () -> {
                    while (true) {
                        Socket s = server.accept();
                        runInDaemonThread(() -> readMessages(s));
                    }
                });
    }

    private void readMessages(Socket socket) throws IOException {
        try {
            while (true) {
                messages.add(read(socket));
            }
        } catch (EOFException e) {
            closedConnections.add(socket);
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void runInDaemonThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The test is over, or has closed the connection itself.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    ReceivedMessage awaitMessage() throws InterruptedException {
        ReceivedMessage message = messages.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("no message arrived", message);
        return message;
    }

    ReceivedMessage awaitMessage(String start) throws InterruptedException {
        ReceivedMessage message = awaitMessage();
        assertTrue(message.head(), message.head().startsWith(start));
        return message;
    }

    boolean hasNoMessage() {
        return messages.isEmpty();
    }

    /** Waits until the other side has closed one of its connections. */
    Socket awaitClosedConnection() throws InterruptedException {
        Socket socket = closedConnections.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("no connection was closed", socket);
        return socket;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads one message, whose body has the length given by Content-Length. */
    static ReceivedMessage read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            head.append((char) next);
        }
        String length = new ReceivedMessage(socket, head.toString(), "").header("Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new ReceivedMessage(
                socket, head.toString(), new String(body, StandardCharsets.UTF_8));
    }
}
