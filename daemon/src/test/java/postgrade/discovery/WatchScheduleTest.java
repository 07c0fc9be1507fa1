package postgrade.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.After;
import org.junit.Test;

/**
 * The worst sum of the watch's patience and pauses, on time that the test turns: whatever failed
 * before, once discovery can be reached what it has is in force by then.
 */
public class WatchScheduleTest {

    /** Patience with a line, which is the longest wait of all, and one read more. */
    private static final long WORST_MICROS = 2_300_000 + 50_000;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int SCHEDULES = 60;
    private static final int MOST_FAILURES = 7;

    /** What becomes of an opening. */
    private enum Failure {
        REFUSED,
        ENDED,
        RESET,
        ENDED_BEHIND_ITS_HEAD,
        ANSWERED_503,
        RUBBISH,
        ENDED_BEHIND_ITS_LIST,
        SILENT,
        SILENT_BEHIND_ITS_HEAD,
        HALF_AN_OBJECT,
        SILENT_BEHIND_ITS_LIST;

        boolean lasts() {
            return ordinal() >= SILENT.ordinal();
        }
    }

    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private final List<Socket> sockets = new ArrayList<>();
    private ManualEventLoop hand;
    private ServerSocket discovery;
    private int port;
    private DiscoveryWatch watch;
    private int taken;
    private long version;

    @After
    public void close() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        if (discovery != null) {
            discovery.close();
        }
    }

    private void listen(int at) throws IOException {
        discovery = new ServerSocket();
        discovery.setReuseAddress(true);
        discovery.bind(new InetSocketAddress(loopback, at), 50);
        port = discovery.getLocalPort();
    }

    private void begin(int schedule) throws IOException {
        hand = new ManualEventLoop();
        taken = 0;
        version = 41;
        listen(0);
        watch =
                new DiscoveryWatch(
                        new InetSocketAddress(loopback, port),
                        "n" + schedule,
                        version,
                        WatchTimeouts.DEFAULT,
                        hand,
                        hand,
                        list -> taken++);
        watch.open();
    }

    private Socket accept() throws IOException {
        Socket s = discovery.accept();
        sockets.add(s);
        hand.serveUntil(
                () -> {
                    try {
                        return s.getInputStream().available() > 0;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        return s;
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String list(long version, boolean whole) {
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[]}";
    }

    /**
     * Answers the opening that is under way as asked for: the whole list, or a watch's first
     * object.
     */
    private void answer(Socket s) throws IOException {
        byte[] asked = s.getInputStream().readNBytes(s.getInputStream().available());
        boolean whole =
                new String(asked, StandardCharsets.US_ASCII).startsWith("GET /api/targets HTTP");
        String body = list(++version, whole);
        send(
                s,
                whole
                        ? "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body
                        : HEAD + chunk(body + "\n"));
        int before = taken;
        hand.serveUntil(() -> taken > before);
        assertEquals(version, watch.version());
    }

    /** The opening that is due fails; one that lasts fails once its time has come. */
    private void fails(Failure how) throws IOException {
        if (how == Failure.REFUSED) {
            return; // Nobody has listened.
        }
        Socket s = accept();
        switch (how) {
            case ENDED -> s.close();
            case RESET -> {
                s.setSoLinger(true, 0);
                s.close();
            }
            case ENDED_BEHIND_ITS_HEAD -> {
                send(s, HEAD);
                s.close();
            }
            case ANSWERED_503 -> send(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            case RUBBISH -> send(s, HEAD + chunk("[]"));
            case ENDED_BEHIND_ITS_LIST -> {
                answer(s);
                s.close();
            }
            case SILENT_BEHIND_ITS_HEAD -> hand.runAndServe(() -> send(s, HEAD));
            case HALF_AN_OBJECT ->
                    hand.runAndServe(
                            () -> send(s, HEAD + chunk(list(version + 1, false).substring(0, 9))));
            case SILENT_BEHIND_ITS_LIST -> answer(s);
            default -> {}
        }
        if (!how.lasts()) {
            hand.serveUntil(() -> hand.openChannels() == 0);
        }
    }

    /** The opening that lasts ends, or a pause. True once the next opening is under way. */
    private void opensAgain(Failure next) throws IOException {
        if (next == Failure.REFUSED) {
            discovery.close();
        }
        if (hand.openChannels() == 1) {
            assertTrue("found out", hand.advanceTime(WORST_MICROS, () -> hand.openChannels() == 0));
        }
        if (hand.openChannels() == 0) {
            assertTrue(
                    "opened again", hand.advanceTime(WORST_MICROS, () -> hand.openChannels() == 1));
        }
        if (next == Failure.REFUSED) {
            hand.serveUntil(() -> hand.openChannels() == 0);
            listen(port);
        }
    }

    /**
     * From this moment on, somewhere within the wait that a failure has led to, an opening is
     * answered.
     */
    private long isInForceAfter(SplittableRandom random) throws IOException {
        boolean waits = hand.openChannels() == 1;
        hand.advanceTime(
                random.nextLong(waits ? 2_000_000 : 300_000),
                () -> (hand.openChannels() == 1) != waits);
        long from = hand.nowMicros();
        boolean opening = !waits && hand.openChannels() == 1;
        if (!opening) {
            opensAgain(null);
        }
        answer(accept());
        return hand.nowMicros() - from;
    }

    @Test
    public void whateverFailedBeforeWhatDiscoveryHasIsInForceBeforeItCountsAsTold()
            throws IOException {
        long worst = 0;
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            SplittableRandom random = new SplittableRandom(schedule);
            begin(schedule);
            answer(accept());
            List<Failure> failures = new ArrayList<>(List.of(Failure.SILENT));
            for (int i = 1 + random.nextInt(MOST_FAILURES); i > 0; i--) {
                failures.add(Failure.values()[random.nextInt(Failure.values().length)]);
            }
            for (Failure f : failures.subList(1, failures.size())) {
                opensAgain(f);
                fails(f);
            }
            long after = isInForceAfter(random);
            assertTrue(failures + ": " + after, after <= WORST_MICROS);
            worst = Math.max(worst, after);
            watch.moveTo(new InetSocketAddress(loopback, 1)); // Nothing more comes of it.
            discovery.close();
        }
        assertTrue("the longest waits are met: " + worst, worst > 1_500_000);
    }

    /**
     * Jitter at both ends: no opening is given more, and no pause is longer, than this, whatever
     * came before.
     */
    @Test
    public void paceIsBoundedAtBothEndsOfItsSpread() {
        long[] least = new long[8];
        long[] most = new long[8];
        Arrays.fill(least, Long.MAX_VALUE);
        for (int seed = 0; seed < 2_000; seed++) {
            WatchBackoff pace = new WatchBackoff(WatchTimeouts.DEFAULT.firstFrameMicros(), seed);
            for (int i = 0; i < 4; i++) {
                long first = pace.nextTimeoutMicros();
                least[i] = Math.min(least[i], first);
                most[i] = Math.max(most[i], first);
                assertEquals("a silent one is followed at once", 0, pace.nextPauseMicros(true));
            }
            for (int i = 4; i < 8; i++) {
                long pause = pace.nextPauseMicros(false);
                least[i] = Math.min(least[i], pause);
                most[i] = Math.max(most[i], pause);
            }
        }
        long[] ends = {400_000, 800_000, 1_600_000, 2_000_000, 100_000, 200_000, 300_000, 300_000};
        for (int i = 0; i < ends.length; i++) {
            assertTrue(i + ": " + most[i], most[i] <= ends[i] && most[i] > 0.999 * ends[i]);
            assertTrue(
                    i + ": " + least[i],
                    least[i] >= 0.9 * ends[i] - 1 && least[i] < 0.901 * ends[i]);
        }
        long silent = WatchTimeouts.DEFAULT.betweenFramesMicros() + most[0] + most[1] + most[2];
        assertTrue(
                "three silent openings, and the fourth is heard by 6 s",
                silent + 500_000 < 6_000_000);
    }
}
