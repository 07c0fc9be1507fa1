package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.Timeout;

/**
 * Messages that a running process sends to a new one with its state, which the new one reads while
 * it is still being created.
 */
public class JoinMessagesTest extends DaemonTestBase {

    /** Without it, reading from a link on which nothing comes would block for ever. */
    @Rule public final Timeout timeout = Timeout.seconds(60);

    private static final String RELAYED_CALL_BACK =
            "{\"ask\":0,\"event\":\"{\\\"id\\\":\\\"j1\\\",\\\"from\\\":\\\"w1\\\",\\\"state\\\":\\\"done\\\"}\"}\n";
    private static final String RELAYED_OPERATOR_CALL =
            "{\"ask\":0,\"call\":\"ENTER\",\"worker\":\"w1\"}\n";

    private static final String SERVING = "{\"serving\":true}";

    private Map<String, String> environment;

    /** The running process, of which the test plays the link and holds the address. */
    private ServerSocketChannel runningProcess;

    private ServerSocketChannel runningListener;
    private SocketChannel link;
    private BufferedReader messages;

    @Before
    public void startRunningProcess() throws Exception {
        withOperatorPort = true;
        listen = reserveAddress("127.0.0.93");
        sharedDirectory = Files.createDirectory(folder.getRoot().toPath().resolve("t"));
        environment = configuration(workerEntry("w1", workerOne.address(), "ready"));
        Daemon former = new Daemon(Config.read(environment));
        former.start();
        Path file = LinkFiles.in(sharedDirectory).get(0);
        awaitStopped(stopInBackground(former));
        runningProcess = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        runningProcess.bind(UnixDomainSocketAddress.of(file));
        runningListener = ServerSocketChannel.open();
        runningListener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        runningListener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        String[] hostAndPort = listen.split(":");
        runningListener.bind(
                new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
    }

    @After
    public void stopBothProcesses() throws Exception {
        if (daemon != null) {
            awaitStopped(stopInBackground(daemon));
        }
        runningProcess.close();
        runningListener.close();
        if (link != null) {
            link.close();
        }
    }

    /** Starts the new process and sends it the state and these messages at once. */
    private void startNew(String messagesAfterState) throws Exception {
        CompletableFuture<Daemon> started = new CompletableFuture<>();
        var starter = Executors.newSingleThreadExecutor();
        starter.execute(
                () -> {
                    try {
                        started.complete(new Daemon(Config.read(environment)));
                    } catch (Throwable e) {
                        started.completeExceptionally(e);
                    }
                });
        link = runningProcess.accept();
        messages = new BufferedReader(Channels.newReader(link, StandardCharsets.UTF_8));
        assertTrue(messages.readLine().contains("\"hello\":1"));
        String list =
                workerListJson(41, true, workerEntry("w1", workerOne.address(), "ready"))
                        .replace('\'', '"');
        write(
                "{\"state\":{\"list\":"
                        + list
                        + ",\"discovery\":\""
                        + discovery.address()
                        + "\",\"roster\":[],\"standby\":-1,\"learnt\":[],\"beside\":\"\"},"
                        + "\"id\":\"000000000000001-0000000001\",\"serving\":true,\"stopping\":false}\n"
                        + messagesAfterState);
        daemon = started.get(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS);
        starter.shutdown();
        daemon.start();
    }

    private void write(String lines) throws IOException {
        link.write(ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)));
    }

    private void assertNextMessages(String... expected) throws IOException {
        for (String message : expected) {
            assertEquals(message, messages.readLine());
        }
    }

    /** Guards against a new version that ends at its start with "Address already in use". */
    @Test
    public void relayedCallBackDuringTheStartDoesNotBreakTheLink() throws Exception {
        startNew(RELAYED_CALL_BACK);
        assertNextMessages("{\"told\":0}", SERVING);
    }

    /** Guards against the same by an operator's call, which must count before it serves. */
    @Test
    public void relayedOperatorCallDuringTheStartCountsBeforeItServes() throws Exception {
        startNew(RELAYED_OPERATOR_CALL + RELAYED_CALL_BACK);
        assertNextMessages("{\"told\":0}", "{\"told\":0}", SERVING);
        String status = operatorCall(daemon, "GET /status", "").body();
        assertTrue(status, status.contains("\"out\":[\"w1\"]"));
    }

    /** Guards against the same by the news that the running process stops. */
    @Test
    public void stopOfTheRunningProcessDuringTheStartDoesNotBreakTheLink() throws Exception {
        startNew("{\"stopping\":true}\n");
        assertNextMessages(SERVING);
        write("{\"ask\":7,\"call\":\"STANDBY\"}\n");
        assertNextMessages("{\"told\":7}");
    }

    /** Guards against the loss of the link, and of other messages, by one that fails. */
    @Test
    public void relayedMessageThatFailsCostsNoOther() throws Exception {
        startNew("{\"ask\":0,\"event\":\"no event\"}\n" + RELAYED_OPERATOR_CALL);
        assertNextMessages("{\"told\":0}", SERVING);
        write("{\"ask\":8,\"call\":\"NO_SUCH_CALL\"}\n{\"ask\":9,\"call\":\"STANDBY\"}\n");
        assertNextMessages("{\"told\":9}");
    }
}
