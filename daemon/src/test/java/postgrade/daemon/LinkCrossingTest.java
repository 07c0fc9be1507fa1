package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.Timeout;

/**
 * A process that serves, by script, beside which a new one starts: it holds the address whatever
 * becomes of the link.
 */
public class LinkCrossingTest extends DaemonTestBase {

    private static final String HOST = "127.0.0.79";
    @Rule public final Timeout timeout = Timeout.seconds(60);
    private final ExecutorService starts = Executors.newSingleThreadExecutor();
    private Map<String, String> environment;
    private ServerSocketChannel serves;
    private ServerSocketChannel links;

    @Before
    public void oneServes() throws Exception {
        withOperatorPort = true;
        listen = reserveAddress(HOST);
        shared = Files.createDirectory(folder.getRoot().toPath().resolve("t"));
        environment = configuration(workerEntry("w1", workerOne.address(), "ready"));
        Config c = Config.read(environment);
        Path link =
                shared.resolve(
                        "pg-"
                                + Integer.toHexString((c.name + " " + c.listen).hashCode())
                                + "-000000000000001-0000000001.link");
        links =
                ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                        .bind(UnixDomainSocketAddress.of(link));
        serves = ServerSocketChannel.open();
        serves.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        serves.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        serves.bind(new InetSocketAddress(HOST, Integer.parseInt(listen.split(":")[1])));
    }

    @After
    public void close() throws IOException {
        starts.shutdownNow();
        links.close();
        serves.close();
    }

    /** One that fails says so at once: whoever waits for its link would wait in vain. */
    private Future<Daemon> starting() {
        return starts.submit(
                () -> {
                    try {
                        Daemon d = new Daemon(Config.read(environment));
                        d.start();
                        return d;
                    } catch (Exception e) {
                        links.close();
                        throw e;
                    }
                });
    }

    /** A new process has connected and said who it is. */
    private SocketChannel greeted(Future<Daemon> by) throws Exception {
        SocketChannel c;
        try {
            c = links.accept();
        } catch (ClosedChannelException e) {
            by.get(); // Its start has failed, and this says why.
            throw e;
        }
        String hello = line(c);
        assertTrue(hello, hello.contains("\"hello\":1"));
        return c;
    }

    private static String line(SocketChannel c) throws IOException {
        StringBuilder line = new StringBuilder();
        ByteBuffer b = ByteBuffer.allocate(1);
        while (line.indexOf("\n") < 0) {
            b.clear();
            assertTrue("ended after " + line, c.read(b) > 0);
            line.append((char) b.get(0));
        }
        return line.toString();
    }

    private static void tells(SocketChannel c) throws IOException {
        c.write(
                ByteBuffer.wrap(
                        ("{\"state\":{\"list\":{\"version\":41,\"full\":true,\"servers\":[]},\"discovery\":\"\","
                                        + "\"roster\":[{\"id\":\"w1\",\"out\":5,\"back\":-1}],\"standby\":-1,\"learnt\":[]},\"id\":\"old\","
                                        + "\"serving\":true,\"stopping\":false}\n")
                                .getBytes(StandardCharsets.UTF_8)));
    }

    private Daemon started(Future<Daemon> start) throws Exception {
        daemon = start.get(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS);
        return daemon;
    }

    @Test
    public void aLinkThatBreaksBeforeItHasToldIsMadeAgain() throws Exception {
        Future<Daemon> start = starting();
        greeted(start).close();
        greeted(start).close();
        try (SocketChannel third = greeted(start)) {
            tells(third);
            started(start);
            assertTrue(line(third).contains("\"serving\":true"));
            String status = operatorCall(daemon, "GET /status", "").body();
            assertTrue("and what it told is known: " + status, status.contains("\"out\":[\"w1\"]"));
        }
        awaitStopped(stopInBackground(daemon));
    }

    /** Guards against a new process that ends as the address is in use by the one it follows. */
    @Test
    public void aLinkThatBreaksUntilTheWaitIsOverKeepsNoNewProcessFromItsStart() throws Exception {
        Future<Daemon> start = starting();
        links.configureBlocking(false);
        while (!start.isDone()) {
            SocketChannel link = links.accept();
            if (link != null) {
                link.close();
            }
            Thread.onSpinWait();
        }
        links.configureBlocking(true);
        started(start);
        awaitStopped(stopInBackground(daemon));
    }

    /**
     * One that is stopped for longer than a new process waits is there all the same: they share
     * address and sockets.
     */
    @Test
    public void oneThatIsSilentForTheWholeTimeIsStillCounted() throws Exception {
        Future<Daemon> start = starting();
        try (SocketChannel silent = greeted(start)) {
            started(start);
            assertTrue(line(silent).contains("\"serving\":true"));
            assertEquals(
                    200,
                    operatorCall(daemon, "PUT /maintenance/enter", "{\"id\":\"w1\"}").status());
            assertTrue("it hears of calls", line(silent).contains("\"worker\":\"w1\""));
        }
        awaitStopped(stopInBackground(daemon));
    }

    /** What is left by one that died is in nobody's way. */
    @Test
    public void oneThatDiesOverItsAnswerIsGone() throws Exception {
        Future<Daemon> start = starting();
        SocketChannel dies = greeted(start);
        serves.close();
        links.close();
        dies.close();
        started(start);
        assertEquals(200, readinessStatus());
        awaitStopped(stopInBackground(daemon));
    }
}
