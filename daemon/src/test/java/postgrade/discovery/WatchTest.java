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

/** The one clock for silence, on time that the test turns. Discovery is on loopback. */
public class WatchTest {

    /** What a dead watch misses counts as told so long after its last line. */
    private static final long TOLD_MICROS = 6_000_000;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ManualEventLoop hand;
    private ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new ArrayList<>();
    private final List<WorkerList> taken = new ArrayList<>();
    private DiscoveryWatch watch;
    private String asked;

    public WatchTest() throws IOException {
        hand = new ManualEventLoop();
    }

    @Before
    public void open() {
        watch =
                new DiscoveryWatch(
                        new InetSocketAddress(discovery.getInetAddress(), discovery.getLocalPort()),
                        "n1",
                        41,
                        WatchTimeouts.DEFAULT,
                        hand,
                        hand,
                        taken::add);
        watch.open();
    }

    @After
    public void close() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        discovery.close();
    }

    /** The next connection of the watch, with its question read. */
    private Socket next() throws IOException {
        Socket s = discovery.accept();
        sockets.add(s);
        hand.serveUntil(() -> available(s) > 0);
        asked =
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

    private void tells(Socket s, String text) throws IOException {
        hand.runAndServe(() -> send(s, text));
    }

    /** A watch that is up and has its first object. */
    private Socket first() throws IOException {
        Socket s = next();
        s.getOutputStream().write(HEAD.getBytes());
        send(s, object(42, "ready") + "\n");
        hand.serveUntil(() -> watch.version() == 42);
        return s;
    }

    /** Lets time pass until the watch has ended its connection, and says how long that took. */
    private long ends(Socket s) throws IOException {
        long from = hand.nowMicros();
        assertTrue("found out", hand.advanceTime(TOLD_MICROS, () -> hand.openChannels() == 0));
        s.setSoTimeout(20_000);
        assertEquals("closed", -1, s.getInputStream().read());
        return hand.nowMicros() - from;
    }

    private Socket opensAgain() throws IOException {
        assertTrue("opened again", hand.advanceTime(TOLD_MICROS, () -> hand.openChannels() == 1));
        return next();
    }

    /** Three more say nothing, or nothing whole; the fourth has it. */
    private void isInForceInTime(long fellMicros) throws IOException {
        for (int i = 0; i < 3; i++) {
            Socket again = opensAgain();
            assertEquals("GET /api/targets?watch=1&from=" + watch.version(), asked);
            if (i > 0) {
                hand.runAndServe(() -> again.getOutputStream().write(HEAD.getBytes()));
                tells(again, object(43, "draining").substring(0, 20 * i));
            }
            ends(again);
        }
        Socket at = opensAgain();
        at.getOutputStream().write(HEAD.getBytes());
        int before = taken.size();
        send(at, object(43, "draining") + "\n");
        hand.serveUntil(() -> taken.size() > before);
        assertEquals(WorkerList.State.DRAINING, taken.get(before).workers().get(0).state());
        long passed = hand.nowMicros() - fellMicros;
        assertTrue("after " + passed, passed < TOLD_MICROS - 500_000);
    }

    @Test
    public void oneThatIsSilentSinceItsOpeningIsFoundOutWithinTheGraceForDrains()
            throws IOException {
        long opened = hand.nowMicros();
        assertTrue(ends(next()) < 450_000);
        isInForceInTime(opened);
    }

    @Test
    public void oneThatFallsSilentLaterIsOpenedAgainAndWhatItMissedIsInForceBefore6s()
            throws IOException {
        Socket s = first();
        hand.advanceTime(2_000_000, () -> false);
        tells(s, "\n");
        long fell = hand.nowMicros();
        assertTrue("an empty line that is a little late is no alarm", ends(s) > 2_100_000);
        isInForceInTime(fell);
    }

    @Test
    public void halfALineThatDripsOnIsSilence() throws IOException {
        Socket s = first();
        long fell = hand.nowMicros();
        String half = object(43, "draining");
        for (int i = 0; i < 22; i++) {
            assertFalse(hand.advanceTime(100_000, () -> hand.openChannels() == 0));
            tells(s, half.substring(i, i + 1) + (i == 0 ? "\n\n" : ""));
        }
        ends(s);
        isInForceInTime(fell);
    }

    @Test
    public void objectsMaySpanLinesAndShareThemAndEmptyLinesBetweenAreSignsOfLife()
            throws IOException {
        Socket s = first();
        String indented = object(43, "ready").replace(",", ",\n    ").replace("{\"", "{\r\n\n\"");
        tells(s, indented.substring(0, 70));
        tells(
                s,
                indented.substring(70)
                        + "\n"
                        + object(44, "draining")
                        + " "
                        + object(45, "gone")
                        + "\n\n");
        hand.serveUntil(() -> taken.size() == 4);
        assertEquals(List.of(42L, 43L, 44L, 45L), taken.stream().map(WorkerList::version).toList());
        assertEquals("w{1}\"", taken.get(1).workers().get(0).id());
        for (int i = 0; i < 3; i++) {
            assertFalse(hand.advanceTime(2_000_000, () -> hand.openChannels() == 0));
            tells(s, i == 1 ? " \r\n" : "\n");
        }
        tells(s, "}\n");
        assertEquals("what is no object ends it", 0, hand.openChannels());
    }

    /** After a move all counts as told within 4 s. */
    @Test
    public void aWholeListIsAskedForUntilItComesAndTheWatchBehindItHasTheSameClock()
            throws IOException {
        Socket former = first();
        try (ServerSocket to = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            discovery = to;
            long moved = hand.nowMicros();
            watch.moveTo(new InetSocketAddress(to.getInetAddress(), to.getLocalPort()));
            for (int i = 0; i < 3; i++) {
                next();
                assertEquals("GET /api/targets", asked);
                assertTrue(
                        hand.advanceTime(
                                TOLD_MICROS,
                                () -> hand.openChannels() == 1)); // The former one is heard still.
                assertTrue(hand.advanceTime(TOLD_MICROS, () -> hand.openChannels() == 2));
                tells(former, "\n");
            }
            Socket s = next();
            assertTrue("after " + (hand.nowMicros() - moved), hand.nowMicros() - moved < 3_500_000);
            String list = object(7, "draining").replace("false", "true");
            s.getOutputStream()
                    .write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: "
                                            + list.length()
                                            + "\r\n\r\n"
                                            + list)
                                    .getBytes());
            hand.serveUntil(() -> taken.size() == 2);
            assertEquals("the former one is ended", 1, hand.openChannels());
            hand.serveUntil(() -> available(s) > 0);
            s.getInputStream().skipNBytes(available(s));
            assertTrue("silent behind its list", ends(s) < 450_000);
            opensAgain();
            assertEquals("GET /api/targets?watch=1&from=7", asked);
        }
    }

    /** While discovery is down, and on its return, the calls of all dispatchers add up. */
    @Test
    public void openingsThatBringNothingAreSpreadAndBounded() throws IOException {
        ends(first());
        long from = hand.nowMicros();
        int openings = 0;
        for (; hand.nowMicros() - from < 30_000_000; openings++) {
            ends(opensAgain());
        }
        assertTrue(openings + " in 30 s", openings >= 15 && openings <= 18);
        long ended = hand.nowMicros();
        for (int i = 0; i < 10; i++) {
            Socket s = opensAgain();
            s.getOutputStream().write(HEAD.getBytes());
            int before = taken.size();
            send(s, object(43, "ready") + "\n");
            hand.serveUntil(() -> taken.size() > before);
            s.close();
            hand.serveUntil(() -> hand.openChannels() == 0);
        }
        long each = (hand.nowMicros() - ended) / 10;
        assertTrue(
                "each after " + each + " where it ends after its first object",
                each > 200_000 && each < 300_000);
    }
}
