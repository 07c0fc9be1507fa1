package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.After;
import org.junit.Test;

/**
 * A dispatcher in a process of its own, with the heap of the run line, and hundreds of clients that
 * make it hold as much as each of them can. Guards against an end for lack of memory.
 */
public class MemoryProcessTest extends DaemonTestBase {

    private static final int CLIENTS = 740;
    private static final String[] WITH_LIMITED_HEAP = {
        "env",
        "--default-signal=HUP",
        "JAVA_TOOL_OPTIONS=-XX:+UseSerialGC -Xmx96m -Xmn24m -XX:+ExitOnOutOfMemoryError"
    };

    private final List<SocketChannel> clients = new ArrayList<>();
    private Process process;

    @After
    public void close() throws IOException {
        for (SocketChannel client : clients) {
            client.close();
        }
        process.destroyForcibly();
    }

    @Override
    Socket connect() throws IOException {
        String[] address = listen.split(":");
        Socket socket = new Socket(address[0], Integer.parseInt(address[1]));
        socket.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(socket);
        return socket;
    }

    private void start() throws Exception {
        maxHeldJobs = 1000;
        listen = reserveAddress(InetAddress.getLoopbackAddress().getHostAddress());
        process =
                startProcess(
                        configuration(workerEntry("w1", workerOne.address(), "ready")),
                        WITH_LIMITED_HEAP);
        ProcessLog.awaitLine(process.errorReader(), "listens on");
        Thread worker = new Thread(this::acceptJobs);
        worker.setDaemon(true);
        worker.start();
    }

    /** Answers 202 to each job, so that no connection to the worker stays in use. */
    private void acceptJobs() {
        try {
            while (process.isAlive()) {
                workerOne.awaitMessage().accept();
            }
        } catch (AssertionError | InterruptedException | UncheckedIOException e) {
            // No more jobs come, or the test is over.
        }
    }

    /** Sends what each client has to say, as far as the dispatcher reads it. */
    private void flood(IntFunction<String> input) throws Exception {
        String[] address = listen.split(":");
        List<ByteBuffer> unsent = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(
                    SocketChannel.open(
                            new InetSocketAddress(address[0], Integer.parseInt(address[1]))));
            clients.get(i).configureBlocking(false);
            unsent.add(ByteBuffer.wrap(input.apply(i).getBytes(StandardCharsets.ISO_8859_1)));
        }
        for (int round = 0; round < 40; round++) {
            for (int i = 0; i < CLIENTS; i++) {
                writeUnlessClosed(clients.get(i), unsent.get(i));
            }
            assertTrue("the process has ended", process.isAlive());
            assertServes();
        }
    }

    private void assertServes() throws IOException {
        try (Socket socket = connect()) {
            ScriptedPeer.write(socket, "GET /-/ready HTTP/1.1\r\n\r\n");
            assertEquals(200, ScriptedPeer.read(socket).status());
        }
    }

    private static void writeUnlessClosed(SocketChannel client, ByteBuffer input) {
        try {
            client.write(input);
        } catch (IOException e) {
            input.position(input.limit());
        }
    }

    private static String job(String id, int length) {
        return "POST /api HTTP/1.1\r\nX-Class: price\r\nX-Request-Id: "
                + id
                + "\r\nContent-Length: "
                + length
                + "\r\n\r\n"
                + "x".repeat(length);
    }

    @Test
    public void manyClientsThatSendAheadOfTheirAnswersEndNoProcess() throws Exception {
        start();
        flood(
                i ->
                        job("a" + i, i < 110 ? 65_300 : 4000)
                                + job("b" + i, 65_300)
                                + job("c" + i, 65_300));
    }
}
