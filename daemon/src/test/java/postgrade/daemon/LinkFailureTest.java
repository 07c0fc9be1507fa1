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
 * A new process starts next to a scripted process that serves and holds the address whatever
 * happens to the link.
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
        Config config = Config.read(environment);
        Path link =
                sharedDirectory.resolve(
                        "pg-"
                                + Integer.toHexString(
                                        (config.name + " " + config.listenAddress).hashCode())
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

    /** A failing start closes the listener, so that a test does not wait for its link in vain. */
    private Future<Daemon> startInBackground() {
        return startExecutor.submit(
                () -> {
                    try {
                        Daemon dispatcher = new Daemon(Config.read(environment));
                        dispatcher.start();
                        return dispatcher;
                    } catch (Exception e) {
                        linkListener.close();
                        throw e;
                    }
                });
    }

    /** Accepts the link of the new process and reads its hello. */
    private SocketChannel acceptHello(Future<Daemon> start) throws Exception {
        SocketChannel link;
        try {
            link = linkListener.accept();
        } catch (ClosedChannelException e) {
            start.get(); // Throws the cause if the start has failed.
            throw e;
        }
        String hello = readLine(link);
        assertTrue(hello, hello.contains("\"hello\":1"));
        return link;
    }

    private static String readLine(SocketChannel link) throws IOException {
        StringBuilder line = new StringBuilder();
        ByteBuffer b = ByteBuffer.allocate(1);
        while (line.indexOf("\n") < 0) {
            b.clear();
            assertTrue("ended after " + line, link.read(b) > 0);
            line.append((char) b.get(0));
        }
        return line.toString();
    }

    private static void sendState(SocketChannel link) throws IOException {
        link.write(
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
            assertTrue("its state is taken over: " + status, status.contains("\"out\":[\"w1\"]"));
        }
        awaitStopped(stopInBackground(daemon));
    }

    /** Guards against a new process that exits because its predecessor still holds the address. */
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
     * A process that is suspended for longer than a new one waits is still there: the two share the
     * address and the sockets.
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
            assertTrue(
                    "it is notified of operator calls",
                    readLine(silent).contains("\"worker\":\"w1\""));
        }
        awaitStopped(stopInBackground(daemon));
    }

    /** What a dead process leaves behind does not impede a start. */
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
