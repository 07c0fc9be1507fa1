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
 * Clients that send what they should not, on time that the test turns: each is answered and ended,
 * others are served.
 */
public class BadInputTest extends AttemptTestBase {

    private static final long STEP = 500 * MILLI_MICROS;
    private static final String JOB = "POST /api HTTP/1.1\r\nX-Class: price\r\nX-Request-Id: ";

    /**
     * What each sends, the status it is given, null where it sent nothing, and whether that is due
     * at once.
     */
    private static final Object[][] CLIENTS = {
        {"NONSENSE\r\n\r\n", 400, true},
        {"POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + "x".repeat(70_000), 413, true},
        {
            JOB
                    + "many\r\nContent-Length: 0\r\n\r\n"
                    + (JOB + "next\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000))
                            .repeat(3),
            400,
            true
        }, // Ahead of the first one's answer.
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

    /** Another client's job, the worker's word that it is done, and the answers to both. */
    private void served(String id, Socket client, Socket callBacks, Socket worker)
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
    public void eachIsAnsweredAndEndedWithin3sOfConnectingAndGoneSoonAfterWhileOthersAreServed()
            throws Exception {
        Socket usual = connect();
        Socket callBacks = connect();
        served("usual", usual, callBacks, null);
        Socket worker = sockets.get(2);
        long before = loop.openChannels();
        Socket[] bad = new Socket[CLIENTS.length];
        for (int i = 0; i < bad.length; i++) {
            Socket s = connect();
            bad[i] = s;
            String text = (String) CLIENTS[i][0];
            if (!text.isEmpty()) {
                loop.runAndServe(() -> ScriptedPeer.write(s, text));
            }
            if ((boolean) CLIENTS[i][2]) {
                loop.serveUntil(() -> availableBytes(s) > 0);
            }
        }
        for (int i = 0; i < 6; i++) {
            advance(STEP);
            served("usual" + i, usual, callBacks, worker);
        }
        for (int i = 0; i < bad.length; i++) { // By now, 3 s on.
            if (CLIENTS[i][1] != null) {
                assertEquals("client " + i, CLIENTS[i][1], status(bad[i]));
            }
            assertEquals(
                    "client " + i + " has been ended, not reset",
                    -1,
                    bad[i].getInputStream().read());
        }
        advance(STEP);
        loop.serveUntil(() -> true);
        assertEquals(
                "none of them holds a place though it has not ended its own side",
                before,
                loop.openChannels());
    }
}
