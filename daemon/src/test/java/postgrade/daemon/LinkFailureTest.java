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
public class LinkFailureTest extends DaemonTestBase {

    private static final String HOST = "127.0.0.79";
    @Rule public final Timeout timeout = Timeout.seconds(60);
    private final ExecutorService startExecutor = Executors.newSingleThreadExecutor();
    private Map<String, String> environment;
    private ServerSocketChannel clientListener;
    private ServerSocketChannel linkListener;

    @Before
    public void startScriptedProcess() throws Exception {
        withOperatorPort = true;
        listen = reserveAddress(HOST);
        sharedDirectory = Files.createDirectory(folder.getRoot().toPath().resolve("t"));
        environment = configuration(workerEntry("w1", workerOne.address(), "ready"));
        Config c = Config.read(environment);
        Path link =
                sharedDirectory.resolve(
                        "pg-"
                                + Integer.toHexString((c.name + " " + c.listenAddress).hashCode())
                                + "-000000000000001-0000000001.link");
        linkListener =
                ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                        .bind(UnixDomainSocketAddress.of(link));
        clientListener = ServerSocketChannel.open();
        clientListener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        clientListener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        clientListener.bind(new InetSocketAddress(HOST, Integer.parseInt(listen.split(":")[1])));
    }

    @After
    public void close() throws IOException {
        startExecutor.shutdownNow();
        linkListener.close();
        clientListener.close();
    }

    /** One that fails says so at once: whoever waits for its link would wait in vain. */
    private Future<Daemon> startInBackground() {
        return startExecutor.submit(
                () -> {
                    try {
                        Daemon d = new Daemon(Config.read(environment));
                        d.start();
                        return d;
                    } catch (Exception e) {
                        linkListener.close();
                        throw e;
                    }
                });
    }

    /** A new process has connected and said who it is. */
    private SocketChannel acceptHello(Future<Daemon> by) throws Exception {
        SocketChannel c;
        try {
            c = linkListener.accept();
        } catch (ClosedChannelException e) {
            by.get(); // Its start has failed, and this says why.
            throw e;
        }
        String hello = readLine(c);
        assertTrue(hello, hello.contains("\"hello\":1"));
        return c;
    }

    private static String readLine(SocketChannel c) throws IOException {
        StringBuilder line = new StringBuilder();
        ByteBuffer b = ByteBuffer.allocate(1);
        while (line.indexOf("\n") < 0) {
            b.clear();
            assertTrue("ended after " + line, c.read(b) > 0);
            line.append((char) b.get(0));
        }
        return line.toString();
    }

    private static void sendState(SocketChannel c) throws IOException {
        c.write(
                ByteBuffer.wrap(
                        ("{\"state\":{\"list\":{\"version\":41,\"full\":true,\"servers\":[]},\"discovery\":\"\","
                                        + "\"roster\":[{\"id\":\"w1\",\"out\":5,\"back\":-1}],\"standby\":-1,\"learnt\":[]},\"id\":\"old\","
                                        + "\"serving\":true,\"stopping\":false}\n")
                                .getBytes(StandardCharsets.UTF_8)));
    }

    private Daemon awaitStarted(Future<Daemon> start) throws Exception {
        daemon = start.get(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS);
        return daemon;
    }

    @Test
    public void aLinkBrokenBeforeItsStateArrivedIsReconnected() throws Exception {
        Future<Daemon> start = startInBackground();
        acceptHello(start).close();
        acceptHello(start).close();
        try (SocketChannel third = acceptHello(start)) {
            sendState(third);
            awaitStarted(start);
            assertTrue(readLine(third).contains("\"serving\":true"));
            String status = operatorCall(daemon, "GET /status", "").body();
            assertTrue("and what it told is known: " + status, status.contains("\"out\":[\"w1\"]"));
        }
        awaitStopped(stopInBackground(daemon));
    }

    /** Guards against a new process that ends as the address is in use by the one it follows. */
    @Test
    public void aLinkThatKeepsBreakingDoesNotPreventTheStart() throws Exception {
        Future<Daemon> start = startInBackground();
        linkListener.configureBlocking(false);
        while (!start.isDone()) {
            SocketChannel link = linkListener.accept();
            if (link != null) {
                link.close();
            }
            Thread.onSpinWait();
        }
        linkListener.configureBlocking(true);
        awaitStarted(start);
        awaitStopped(stopInBackground(daemon));
    }

    /**
     * One that is stopped for longer than a new process waits is there all the same: they share
     * address and sockets.
     */
    @Test
    public void aSilentProcessIsStillCountedAsAPeer() throws Exception {
        Future<Daemon> start = startInBackground();
        try (SocketChannel silent = acceptHello(start)) {
            awaitStarted(start);
            assertTrue(readLine(silent).contains("\"serving\":true"));
            assertEquals(
                    200,
                    operatorCall(daemon, "PUT /maintenance/enter", "{\"id\":\"w1\"}").status());
            assertTrue("it hears of calls", readLine(silent).contains("\"worker\":\"w1\""));
        }
        awaitStopped(stopInBackground(daemon));
    }

    /** What is left by one that died is in nobody's way. */
    @Test
    public void aProcessThatDiesDuringTheHandshakeIsNotCounted() throws Exception {
        Future<Daemon> start = startInBackground();
        SocketChannel dies = acceptHello(start);
        clientListener.close();
        linkListener.close();
        dies.close();
        awaitStarted(start);
        assertEquals(200, readinessStatus());
        awaitStopped(stopInBackground(daemon));
    }
}
