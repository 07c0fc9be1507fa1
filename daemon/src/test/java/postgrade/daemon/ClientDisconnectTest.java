package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import postgrade.policy.api.AttemptOutcome;

/** No attempt is sent for a client that has disconnected, whenever and however it does so. */
public class ClientDisconnectTest extends DaemonTestBase {

    private static final String ATTEMPT_METHOD = "POST";

    /** Longer than two sweeps. */
    private static final long TWO_SWEEPS_MILLIS = 120;

    private interface Disconnect {
        void apply(Socket s) throws IOException;
    }

    private static final List<Disconnect> DISCONNECTS =
            List.of(
                    Socket::close,
                    Socket::shutdownOutput,
                    s -> {
                        s.setSoLinger(true, 0); // Closes with a reset.
                        s.close();
                    });

    private LoopHarness harness;

    @Before
    public void startHarness() throws Exception {
        harness = new LoopHarness(Config.read(configuration()), 512);
        harness.addWorker("w1", workerOne);
        harness.addWorker("w2", workerTwo);
    }

    @After
    public void close() throws IOException {
        harness.close();
    }

    private static void disconnect(Disconnect how, Socket s) {
        try {
            how.apply(s);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a later attempt: once that has arrived, anything sent before it has arrived too. */
    private void assertNothingSent() throws Exception {
        harness.script.onJob = job -> harness.script.actions.startAttempt(job.id(), "w1", 0);
        harness.post("last");
        assertEquals("last", workerOne.awaitMessage(ATTEMPT_METHOD).header("X-Request-Id"));
        assertTrue(workerTwo.hasNoMessage());
    }

    @Test
    public void disconnectInTheIterationOfTheDispatchPreventsTheFirstAttempt() throws Exception {
        for (Disconnect how : DISCONNECTS) {
            Socket[] client = new Socket[1];
            client[0] = harness.connect();
            harness.script.onJob =
                    job -> {
                        disconnect(how, client[0]);
                        harness.script.actions.startAttempt(job.id(), "w1", 0);
                    };
            LoopHarness.post(client[0], "a1");
            harness.script.expectEvent("job a1");
            harness.script.expectEvent("abandoned a1");
            harness.script.expectEvent("finished a1 0 NOT_SENT true");
        }
        assertNothingSent();
    }

    @Test
    public void disconnectInTheIterationOfARetryPreventsTheRetry() throws Exception {
        for (Disconnect how : DISCONNECTS) {
            Socket client = harness.connect();
            harness.script.onJob = job -> harness.script.actions.startAttempt(job.id(), "w1", 0);
            harness.script.onFinished =
                    (id, outcome) -> {
                        if (outcome == AttemptOutcome.FULL) {
                            disconnect(how, client);
                            harness.script.actions.startAttempt(id, "w2", 0);
                        }
                    };
            LoopHarness.post(client, "r1");
            ScriptedPeer.ReceivedMessage attempt = workerOne.awaitMessage(ATTEMPT_METHOD);
            attempt.reply("503 Full\r\nX-Not-Run: 1", "");
            if (how != DISCONNECTS.get(0)) {
                // The connection has carried other jobs, and the answer may be a late one to them.
                workerOne.awaitMessage("DELETE /jobs/r1 ").reply("200 OK", "");
            }
            harness.script.expectEvent("job r1");
            harness.script.expectEvent("finished r1 0 FULL false");
            harness.script.expectEvent("abandoned r1");
            harness.script.expectEvent("finished r1 1 NOT_SENT true");
        }
        assertNothingSent();
    }

    @Test
    public void endOfStreamBehindSeveralReadsIsSeenBeforeTheAttempt() throws Exception {
        harness.script.onJob = job -> harness.script.actions.startAttempt(job.id(), "w1", 0);
        StringBuilder many = new StringBuilder();
        for (int i = 0; many.length() < 100_000; i++) { // An iteration reads 64 KiB of it.
            many.append("POST /api HTTP/1.1\r\nX-Request-Id: m")
                    .append(i)
                    .append("\r\nX-Class: price\r\nContent-Length: 1000\r\n\r\n")
                    .append("x".repeat(1000));
        }
        harness.interleave(
                0,
                () -> {
                    Socket client = harness.connect();
                    ScriptedPeer.write(client, many.toString());
                    client.close();
                },
                () -> {});
        harness.script.expectEvent("job m0");
        harness.script.expectEvent("abandoned m0");
        harness.script.expectEvent("finished m0 0 NOT_SENT true");
        assertNothingSent();
    }

    /**
     * After a rejected request the connection is read again only at the next sweep, but not while a
     * job behind it is pending.
     */
    @Test
    public void disconnectAfterARejectedRequestIsSeenInTheSameIteration() throws Exception {
        Socket client = harness.connect();
        harness.script.onJob =
                job -> {
                    disconnect(Socket::close, client);
                    harness.script.actions.startTimer("next iteration", 0);
                };
        harness.interleave(
                TWO_SWEEPS_MILLIS,
                () -> {}, // The next sweep is not due yet.
                () ->
                        ScriptedPeer.write(
                                client,
                                "GET /nowhere HTTP/1.1\r\n\r\nPOST /api HTTP/1.1\r\nX-Request-Id: p1\r\n"
                                        + "X-Class: price\r\nContent-Length: 0\r\n\r\n"));
        harness.script.expectEvent("job p1");
        harness.script.expectEvent("abandoned p1");
        harness.script.expectEvent("timer next iteration");
    }

    @Test
    public void disconnectBeforeALateConnectSucceedsPreventsTheAttempt() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unresponsive.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
            for (int i = 0; i < 2; i++) {
                sockets.add(new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
            }
            harness.addWorker(
                    "w3",
                    unresponsive.getInetAddress().getHostAddress(),
                    unresponsive.getLocalPort());
            harness.script.onJob = job -> harness.script.actions.startAttempt(job.id(), "w3", 0);
            Socket client = harness.post("d1");
            harness.script.expectEvent("job d1");
            harness.awaitIteration();
            Socket[] accepted = new Socket[1];
            harness.interleave(
                    0,
                    () -> {
                        for (int i = 0; i < 3; i++) {
                            // The third connection is the dispatcher's: it is established when
                            // the system retries the connect.
                            accepted[0] = unresponsive.accept();
                            sockets.add(accepted[0]);
                        }
                    },
                    client::close);
            harness.script.expectEvent("abandoned d1");
            harness.script.expectEvent("finished d1 0 NOT_SENT true");
            assertEquals("nothing was written", 0, accepted[0].getInputStream().available());
        }
    }

    @Test
    public void manyDisconnectsInOneIterationPreventTheirAttempts() throws Exception {
        harness.script.onJob = job -> harness.script.actions.startAttempt(job.id(), "w1", 0);
        harness.post("warm");
        harness.script.expectEvent("job warm");
        workerOne.awaitMessage(ATTEMPT_METHOD).accept();
        harness.awaitIteration(); // The very first attempt gets its connection immediately.
        harness.script.onJob = job -> {};
        int many = 100;
        Socket[] clients = new Socket[many];
        for (int i = 0; i < many; i++) {
            clients[i] = harness.post("b" + i);
            harness.script.expectEvent("job b" + i);
        }
        Socket trigger = harness.connect();
        harness.awaitIteration();
        harness.script.onJob =
                job -> {
                    for (int i = 0; i < many; i++) {
                        harness.script.actions.startAttempt("b" + i, "w1", 0);
                    }
                };
        harness.interleave(
                0,
                () -> {
                    for (Socket c : clients) {
                        c.close();
                    }
                    LoopHarness.post(trigger, "go");
                },
                () -> {});
        assertNothingSent();
    }
}
