package postgrade.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * The silence timeout of the watch, on a clock that the test advances. Discovery is a server socket
 * on loopback.
 */
public class DiscoveryWatchTest {

    /**
     * A change that a dead watch misses counts as known to the dispatcher this long after the last
     * frame.
     */
    private static final long PROPAGATION_LIMIT_MICROS = 6_000_000;

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ManualEventLoop loop;
    private ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new ArrayList<>();
    private final List<WorkerList> lists = new ArrayList<>();
    private DiscoveryWatch watch;
    private String lastRequest;

    public DiscoveryWatchTest() throws IOException {
        loop = new ManualEventLoop();
    }

    @Before
    public void open() {
        watch =
                new DiscoveryWatch(
                        new InetSocketAddress(discovery.getInetAddress(), discovery.getLocalPort()),
                        "n1",
                        41,
                        WatchTimeouts.DEFAULT,
                        loop,
                        loop,
                        lists::add);
        watch.open();
    }

    @After
    public void close() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        discovery.close();
    }

    /** Accepts the next connection of the watch and reads its request. */
    private Socket acceptNext() throws IOException {
        Socket s = discovery.accept();
        sockets.add(s);
        loop.serveUntil(() -> available(s) > 0);
        lastRequest =
                new String(s.getInputStream().readNBytes(available(s)), StandardCharsets.US_ASCII)
                        .split(" HTTP")[0];
        return s;
    }

    private static int available(Socket s) {
        try {
            return s.getInputStream().available();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream()
                .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
    }

    private static String object(long version, String state) {
        return "{\"version\":"
                + version
                + ",\"full\":false,\"servers\":[{\"id\":\"w{1}\\\"\",\"addr\":\"127.0.0.1:1\","
                + "\"state\":\""
                + state
                + "\"}]}";
    }

    private void sendAndServe(Socket s, String text) throws IOException {
        loop.runAndServe(() -> send(s, text));
    }

    /** Accepts a watch and sends it its first object. */
    private Socket acceptWithFirstObject() throws IOException {
        Socket s = acceptNext();
        s.getOutputStream().write(RESPONSE_HEAD.getBytes());
        send(s, object(42, "ready") + "\n");
        loop.serveUntil(() -> watch.version() == 42);
        return s;
    }

    /** Advances time until the watch has closed its connection, and returns how long that took. */
    private long awaitClose(Socket s) throws IOException {
        long fromMicros = loop.nowMicros();
        assertTrue(
                "timeout detected",
                loop.advanceTime(PROPAGATION_LIMIT_MICROS, () -> loop.openChannels() == 0));
        s.setSoTimeout(20_000);
        assertEquals("closed", -1, s.getInputStream().read());
        return loop.nowMicros() - fromMicros;
    }

    private Socket acceptReconnect() throws IOException {
        assertTrue(
                "reconnected",
                loop.advanceTime(PROPAGATION_LIMIT_MICROS, () -> loop.openChannels() == 1));
        return acceptNext();
    }

    /** Three more connections bring no complete frame; the fourth brings the change. */
    private void assertAppliedInTime(long silentSinceMicros) throws IOException {
        for (int i = 0; i < 3; i++) {
            Socket incomplete = acceptReconnect();
            assertEquals("GET /api/targets?watch=1&from=" + watch.version(), lastRequest);
            if (i > 0) {
                loop.runAndServe(
                        () -> incomplete.getOutputStream().write(RESPONSE_HEAD.getBytes()));
                sendAndServe(incomplete, object(43, "draining").substring(0, 20 * i));
            }
            awaitClose(incomplete);
        }
        Socket answering = acceptReconnect();
        answering.getOutputStream().write(RESPONSE_HEAD.getBytes());
        int listsBefore = lists.size();
        send(answering, object(43, "draining") + "\n");
        loop.serveUntil(() -> lists.size() > listsBefore);
        assertEquals(WorkerList.State.DRAINING, lists.get(listsBefore).workers().get(0).state());
        long passed = loop.nowMicros() - silentSinceMicros;
        assertTrue("after " + passed, passed < PROPAGATION_LIMIT_MICROS - 500_000);
    }

    @Test
    public void connectionSilentFromTheStartIsDroppedWithinTheDrainGrace() throws IOException {
        long openedMicros = loop.nowMicros();
        assertTrue(awaitClose(acceptNext()) < 450_000);
        assertAppliedInTime(openedMicros);
    }

    @Test
    public void connectionThatFallsSilentIsReopenedAndMissedChangesApplyBefore6s()
            throws IOException {
        Socket s = acceptWithFirstObject();
        loop.advanceTime(2_000_000, () -> false);
        sendAndServe(s, "\n");
        long silentSinceMicros = loop.nowMicros();
        assertTrue("a slightly late heartbeat does not end the watch", awaitClose(s) > 2_100_000);
        assertAppliedInTime(silentSinceMicros);
    }

    @Test
    public void partialFrameThatTricklesInCountsAsSilence() throws IOException {
        Socket s = acceptWithFirstObject();
        long silentSinceMicros = loop.nowMicros();
        String object = object(43, "draining");
        for (int i = 0; i < 22; i++) {
            assertFalse(loop.advanceTime(100_000, () -> loop.openChannels() == 0));
            sendAndServe(s, object.substring(i, i + 1) + (i == 0 ? "\n\n" : ""));
        }
        awaitClose(s);
        assertAppliedInTime(silentSinceMicros);
    }

    @Test
    public void objectsMaySpanOrShareLinesAndEmptyLinesAreHeartbeats() throws IOException {
        Socket s = acceptWithFirstObject();
        String indented = object(43, "ready").replace(",", ",\n    ").replace("{\"", "{\r\n\n\"");
        sendAndServe(s, indented.substring(0, 70));
        sendAndServe(
                s,
                indented.substring(70)
                        + "\n"
                        + object(44, "draining")
                        + " "
                        + object(45, "gone")
                        + "\n\n");
        loop.serveUntil(() -> lists.size() == 4);
        assertEquals(List.of(42L, 43L, 44L, 45L), lists.stream().map(WorkerList::version).toList());
        assertEquals("w{1}\"", lists.get(1).workers().get(0).id());
        for (int i = 0; i < 3; i++) {
            assertFalse(loop.advanceTime(2_000_000, () -> loop.openChannels() == 0));
            sendAndServe(s, i == 1 ? " \r\n" : "\n");
        }
        sendAndServe(s, "}\n");
        assertEquals("invalid input closes the connection", 0, loop.openChannels());
    }

    /** After a move all changes count as known within 4 s. */
    @Test
    public void completeListIsRequestedUntilReceivedAndTheWatchAfterItHasTheSameTimeout()
            throws IOException {
        Socket previous = acceptWithFirstObject();
        try (ServerSocket newDiscovery =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            discovery = newDiscovery;
            long movedMicros = loop.nowMicros();
            watch.moveTo(
                    new InetSocketAddress(
                            newDiscovery.getInetAddress(), newDiscovery.getLocalPort()));
            for (int i = 0; i < 3; i++) {
                acceptNext();
                assertEquals("GET /api/targets", lastRequest);
                // The watch at the previous address is still in use.
                assertTrue(
                        loop.advanceTime(PROPAGATION_LIMIT_MICROS, () -> loop.openChannels() == 1));
                assertTrue(
                        loop.advanceTime(PROPAGATION_LIMIT_MICROS, () -> loop.openChannels() == 2));
                sendAndServe(previous, "\n");
            }
            Socket s = acceptNext();
            assertTrue(
                    "after " + (loop.nowMicros() - movedMicros),
                    loop.nowMicros() - movedMicros < 3_500_000);
            String list = object(7, "draining").replace("false", "true");
            s.getOutputStream()
                    .write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: "
                                            + list.length()
                                            + "\r\n\r\n"
                                            + list)
                                    .getBytes());
            loop.serveUntil(() -> lists.size() == 2);
            assertEquals("the previous connection is closed", 1, loop.openChannels());
            loop.serveUntil(() -> available(s) > 0);
            s.getInputStream().skipNBytes(available(s));
            assertTrue("silent after its list", awaitClose(s) < 450_000);
            acceptReconnect();
            assertEquals("GET /api/targets?watch=1&from=7", lastRequest);
        }
    }

    /**
     * Guards against a flood of connections: while discovery is down, and on its return, the
     * reconnects of all dispatchers add up.
     */
    @Test
    public void reconnectsHaveBoundedRateAndJitter() throws IOException {
        awaitClose(acceptWithFirstObject());
        long fromMicros = loop.nowMicros();
        int reconnects = 0;
        for (; loop.nowMicros() - fromMicros < 30_000_000; reconnects++) {
            awaitClose(acceptReconnect());
        }
        assertTrue(reconnects + " in 30 s", reconnects >= 15 && reconnects <= 18);
        long endedMicros = loop.nowMicros();
        for (int i = 0; i < 10; i++) {
            Socket s = acceptReconnect();
            s.getOutputStream().write(RESPONSE_HEAD.getBytes());
            int listsBefore = lists.size();
            send(s, object(43, "ready") + "\n");
            loop.serveUntil(() -> lists.size() > listsBefore);
            s.close();
            loop.serveUntil(() -> loop.openChannels() == 0);
        }
        long averageMicros = (loop.nowMicros() - endedMicros) / 10;
        assertTrue(
                "average interval "
                        + averageMicros
                        + " us when the connection closes after its first object",
                averageMicros > 200_000 && averageMicros < 300_000);
    }
}
