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
 * The worst sum of timeouts and pauses of a watch, on a clock that the test advances. Whatever
 * failed before, once discovery is reachable its list must be applied within {@link
 * #MAX_DELAY_MICROS}.
 */
public class WatchReconnectScheduleTest {

    /** The timeout between frames, which is the longest wait, and one further read. */
    private static final long MAX_DELAY_MICROS = 2_300_000 + 50_000;

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int SCHEDULES = 60;
    private static final int MAX_FAILURES = 7;

    /** How a connection fails. */
    private enum Failure {
        REFUSED,
        CLOSED,
        RESET,
        CLOSED_AFTER_HEAD,
        ANSWERED_503,
        MALFORMED_BODY,
        CLOSED_AFTER_LIST,
        SILENT,
        SILENT_AFTER_HEAD,
        SILENT_IN_OBJECT,
        SILENT_AFTER_LIST;

        boolean leavesConnectionOpen() {
            return ordinal() >= SILENT.ordinal();
        }
    }

    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private final List<Socket> sockets = new ArrayList<>();
    private ManualEventLoop loop;
    private ServerSocket discovery;
    private int port;
    private DiscoveryWatch watch;
    private int listsReceived;
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

    private void listen(int listenPort) throws IOException {
        discovery = new ServerSocket();
        discovery.setReuseAddress(true);
        discovery.bind(new InetSocketAddress(loopback, listenPort), 50);
        port = discovery.getLocalPort();
    }

    private void startWatch(int schedule) throws IOException {
        loop = new ManualEventLoop();
        listsReceived = 0;
        version = 41;
        listen(0);
        watch =
                new DiscoveryWatch(
                        new InetSocketAddress(loopback, port),
                        "n" + schedule,
                        version,
                        WatchTimeouts.DEFAULT,
                        loop,
                        loop,
                        list -> listsReceived++);
        watch.open();
    }

    private Socket accept() throws IOException {
        Socket s = discovery.accept();
        sockets.add(s);
        loop.serveUntil(
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

    private static String list(long version, boolean complete) {
        return "{\"version\":" + version + ",\"full\":" + complete + ",\"servers\":[]}";
    }

    /**
     * Answers the current connection as requested: with the complete list, or with a watch's first
     * object.
     */
    private void answer(Socket s) throws IOException {
        byte[] request = s.getInputStream().readNBytes(s.getInputStream().available());
        boolean complete =
                new String(request, StandardCharsets.US_ASCII).startsWith("GET /api/targets HTTP");
        String body = list(++version, complete);
        send(
                s,
                complete
                        ? "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body
                        : RESPONSE_HEAD + chunk(body + "\n"));
        int listsBefore = listsReceived;
        loop.serveUntil(() -> listsReceived > listsBefore);
        assertEquals(version, watch.version());
    }

    /** Makes the next connection fail; one that stays open fails when its timeout ends. */
    private void injectFailure(Failure failure) throws IOException {
        if (failure == Failure.REFUSED) {
            return; // Nothing was listening.
        }
        Socket s = accept();
        switch (failure) {
            case CLOSED -> s.close();
            case RESET -> {
                s.setSoLinger(true, 0);
                s.close();
            }
            case CLOSED_AFTER_HEAD -> {
                send(s, RESPONSE_HEAD);
                s.close();
            }
            case ANSWERED_503 -> send(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            case MALFORMED_BODY -> send(s, RESPONSE_HEAD + chunk("[]"));
            case CLOSED_AFTER_LIST -> {
                answer(s);
                s.close();
            }
            case SILENT_AFTER_HEAD -> loop.runAndServe(() -> send(s, RESPONSE_HEAD));
            case SILENT_IN_OBJECT ->
                    loop.runAndServe(
                            () ->
                                    send(
                                            s,
                                            RESPONSE_HEAD
                                                    + chunk(
                                                            list(version + 1, false)
                                                                    .substring(0, 9))));
            case SILENT_AFTER_LIST -> answer(s);
            default -> {}
        }
        if (!failure.leavesConnectionOpen()) {
            loop.serveUntil(() -> loop.openChannels() == 0);
        }
    }

    /**
     * Awaits the end of a connection that stays open, or of a pause, until the next connection has
     * been started.
     */
    private void awaitReconnect(Failure nextFailure) throws IOException {
        if (nextFailure == Failure.REFUSED) {
            discovery.close();
        }
        if (loop.openChannels() == 1) {
            assertTrue(
                    "timeout detected",
                    loop.advanceTime(MAX_DELAY_MICROS, () -> loop.openChannels() == 0));
        }
        if (loop.openChannels() == 0) {
            assertTrue(
                    "reconnected",
                    loop.advanceTime(MAX_DELAY_MICROS, () -> loop.openChannels() == 1));
        }
        if (nextFailure == Failure.REFUSED) {
            loop.serveUntil(() -> loop.openChannels() == 0);
            listen(port);
        }
    }

    /**
     * Advances to a random moment within the wait that a failure has led to, answers the next
     * connection, and returns how long that took.
     */
    private long microsUntilApplied(SplittableRandom random) throws IOException {
        boolean waitsForFrame = loop.openChannels() == 1;
        loop.advanceTime(
                random.nextLong(waitsForFrame ? 2_000_000 : 300_000),
                () -> (loop.openChannels() == 1) != waitsForFrame);
        long fromMicros = loop.nowMicros();
        boolean isReconnecting = !waitsForFrame && loop.openChannels() == 1;
        if (!isReconnecting) {
            awaitReconnect(null);
        }
        answer(accept());
        return loop.nowMicros() - fromMicros;
    }

    @Test
    public void listIsAppliedInTimeAfterAnySequenceOfFailures() throws IOException {
        long worstMicros = 0;
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            SplittableRandom random = new SplittableRandom(schedule);
            startWatch(schedule);
            answer(accept());
            List<Failure> failures = new ArrayList<>(List.of(Failure.SILENT));
            for (int i = 1 + random.nextInt(MAX_FAILURES); i > 0; i--) {
                failures.add(Failure.values()[random.nextInt(Failure.values().length)]);
            }
            for (Failure f : failures.subList(1, failures.size())) {
                awaitReconnect(f);
                injectFailure(f);
            }
            long delayMicros = microsUntilApplied(random);
            assertTrue(failures + ": " + delayMicros, delayMicros <= MAX_DELAY_MICROS);
            worstMicros = Math.max(worstMicros, delayMicros);
            // Ends the watch's connection; nothing listens on this port.
            watch.moveTo(new InetSocketAddress(loopback, 1));
            discovery.close();
        }
        assertTrue("the longest waits occur: " + worstMicros, worstMicros > 1_500_000);
    }

    /**
     * No connection is given more time, and no pause is longer, than the limits below, and jitter
     * covers the whole range down to nine tenths of them.
     */
    @Test
    public void backoffStaysWithinItsJitterRange() {
        long[] minimums = new long[8];
        long[] maximums = new long[8];
        Arrays.fill(minimums, Long.MAX_VALUE);
        for (int seed = 0; seed < 2_000; seed++) {
            WatchBackoff backoff = new WatchBackoff(WatchTimeouts.DEFAULT.firstFrameMicros(), seed);
            for (int i = 0; i < 4; i++) {
                long timeout = backoff.nextTimeoutMicros();
                minimums[i] = Math.min(minimums[i], timeout);
                maximums[i] = Math.max(maximums[i], timeout);
                assertEquals(
                        "no pause after a silent connection", 0, backoff.nextPauseMicros(true));
            }
            for (int i = 4; i < 8; i++) {
                long pause = backoff.nextPauseMicros(false);
                minimums[i] = Math.min(minimums[i], pause);
                maximums[i] = Math.max(maximums[i], pause);
            }
        }
        long[] limits = {
            400_000, 800_000, 1_600_000, 2_000_000, 100_000, 200_000, 300_000, 300_000
        };
        for (int i = 0; i < limits.length; i++) {
            assertTrue(
                    i + ": " + maximums[i],
                    maximums[i] <= limits[i] && maximums[i] > 0.999 * limits[i]);
            assertTrue(
                    i + ": " + minimums[i],
                    minimums[i] >= 0.9 * limits[i] - 1 && minimums[i] < 0.901 * limits[i]);
        }
        long silentMicros =
                WatchTimeouts.DEFAULT.betweenFramesMicros()
                        + maximums[0]
                        + maximums[1]
                        + maximums[2];
        assertTrue(
                "three silent connections, and the fourth is answered within 6 s",
                silentMicros + 500_000 < 6_000_000);
    }
}
