package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import org.junit.Before;
import org.junit.Test;
import postgrade.client.ClientListener;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.lifecycle.Lifecycle;

/**
 * Clients that send invalid or incomplete requests, with time under the test's control: each must
 * be answered and its connection closed, while other clients are served.
 */
public class BadInputTest extends AttemptTestBase {

    private static final long STEP_MICROS = 500 * MILLI_MICROS;
    private static final String JOB = "POST /api HTTP/1.1\r\nX-Class: price\r\nX-Request-Id: ";

    /**
     * Per client: the text it sends, the expected status (null if it sends nothing), and whether
     * the answer is due at once.
     */
    private static final Object[][] CLIENTS = {
        {"NONSENSE\r\n\r\n", 400, true},
        {"POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + "x".repeat(70_000), 413, true},
        // Pipelined before the first one is answered.
        {
            JOB
                    + "many\r\nContent-Length: 0\r\n\r\n"
                    + (JOB + "next\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000))
                            .repeat(3),
            400,
            true
        },
        {JOB + "half\r\nContent-Length: 9\r\n\r\nhalf", 408, false},
        {"POST /api HT", 408, false},
        {"", null, false}
    };

    private ClientListener listener;

    public BadInputTest() throws IOException {}

    @Before
    public void listen() throws IOException {
        Lifecycle lifecycle = new Lifecycle();
        lifecycle.markStarted();
        listener =
                new ClientListener(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        false,
                        Map.of("price", DEADLINE_MICROS),
                        Set.of(),
                        () -> true,
                        lifecycle,
                        new LoopHarness.NoPeers(),
                        tracker,
                        loop,
                        loop);
        policy.onJob =
                job -> {
                    if (job.id().startsWith("usual")) {
                        policy.actions.startAttempt(job.id(), "w1", 0);
                    }
                };
    }

    private Socket connect() throws IOException {
        Socket s = new Socket();
        sockets.add(s);
        s.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        loop.runAndServe(
                () ->
                        s.connect(
                                new InetSocketAddress(
                                        InetAddress.getLoopbackAddress(), listener.port())));
        return s;
    }

    private static int status(Socket s) throws IOException {
        return ScriptedPeer.read(s).status();
    }

    /**
     * Submits another client's job, reports it as done for the worker, and checks the answers to
     * both.
     */
    private void assertServed(String id, Socket client, Socket callBacks, Socket worker)
            throws IOException {
        loop.runAndServe(
                () -> ScriptedPeer.write(client, JOB + id + "\r\nContent-Length: 0\r\n\r\n"));
        runTurn();
        ReceivedMessage attempt = worker == null ? awaitRequest(worker1) : awaitRequest(worker);
        respond(attempt.socket(), "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        String done = "{\"id\":\"" + id + "\",\"from\":\"w1\",\"state\":\"done\"}";
        loop.runAndServe(
                () ->
                        ScriptedPeer.write(
                                callBacks,
                                "POST /v1/job-events HTTP/1.1\r\nContent-Length: "
                                        + done.length()
                                        + "\r\n\r\n"
                                        + done));
        assertEquals(204, status(callBacks));
        assertEquals(200, status(client));
        runTurn();
        callBacks.setSoTimeout(attempt.socket().getSoTimeout());
    }

    @Test
    public void invalidClientsAreAnsweredAndClosedWithin3sWhileOthersAreServed() throws Exception {
        Socket validClient = connect();
        Socket callBacks = connect();
        assertServed("usual", validClient, callBacks, null);
        Socket worker = sockets.get(2);
        long openBefore = loop.openChannels();
        Socket[] invalidClients = new Socket[CLIENTS.length];
        for (int i = 0; i < invalidClients.length; i++) {
            Socket s = connect();
            invalidClients[i] = s;
            String text = (String) CLIENTS[i][0];
            if (!text.isEmpty()) {
                loop.runAndServe(() -> ScriptedPeer.write(s, text));
            }
            if ((boolean) CLIENTS[i][2]) {
                loop.serveUntil(() -> availableBytes(s) > 0);
            }
        }
        for (int i = 0; i < 6; i++) {
            advance(STEP_MICROS);
            assertServed("usual" + i, validClient, callBacks, worker);
        }
        for (int i = 0; i < invalidClients.length; i++) { // 3 s have passed by now.
            if (CLIENTS[i][1] != null) {
                assertEquals("client " + i, CLIENTS[i][1], status(invalidClients[i]));
            }
            assertEquals(
                    "client " + i + " has been ended, not reset",
                    -1,
                    invalidClients[i].getInputStream().read());
        }
        advance(STEP_MICROS);
        loop.serveUntil(() -> true);
        assertEquals(
                "none of them takes a place in the socket budget though it has not ended its own side",
                openBefore,
                loop.openChannels());
    }
}
