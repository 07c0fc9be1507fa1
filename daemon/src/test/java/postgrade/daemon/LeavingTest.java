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

/** A client that has left gets no attempt, in whatever moment and manner it goes. */
public class LeavingTest extends DaemonTestBase {

    private static final String ATTEMPT = "POST";

    /** Longer than two sweeps. */
    private static final long SWEEPS_MILLIS = 120;

    private interface Way {
        void leave(Socket s) throws IOException;
    }

    private static final List<Way> WAYS =
            List.of(
                    Socket::close,
                    Socket::shutdownOutput,
                    s -> {
                        s.setSoLinger(true, 0); // With a reset.
                        s.close();
                    });

    private LoopHarness turns;

    @Before
    public void turn() throws Exception {
        turns = new LoopHarness(Config.read(configuration()), 512);
        turns.addWorker("w1", workerOne);
        turns.addWorker("w2", workerTwo);
    }

    @After
    public void close() throws IOException {
        turns.close();
    }

    private static void leave(Way way, Socket s) {
        try {
            way.leave(s);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** All that was written has arrived when a later attempt has. */
    private void nothingWasSent() throws Exception {
        turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
        turns.post("last");
        assertEquals("last", workerOne.awaitMessage(ATTEMPT).header("X-Request-Id"));
        assertTrue(workerTwo.hasNoMessage());
    }

    @Test
    public void whoLeavesInTheTurnOfTheDispatchGetsNoFirstAttempt() throws Exception {
        for (Way way : WAYS) {
            Socket[] client = new Socket[1];
            client[0] = turns.connect();
            turns.script.onJob =
                    job -> {
                        leave(way, client[0]);
                        turns.script.actions.startAttempt(job.id(), "w1", 0);
                    };
            LoopHarness.post(client[0], "a1");
            turns.script.expectEvent("job a1");
            turns.script.expectEvent("abandoned a1");
            turns.script.expectEvent("finished a1 0 NOT_SENT true");
        }
        nothingWasSent();
    }

    @Test
    public void whoLeavesInTheTurnOfARepeatGetsNoFurtherAttempt() throws Exception {
        for (Way way : WAYS) {
            Socket client = turns.connect();
            turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
            turns.script.onFinished =
                    (id, outcome) -> {
                        if (outcome == AttemptOutcome.FULL) {
                            leave(way, client);
                            turns.script.actions.startAttempt(id, "w2", 0);
                        }
                    };
            LoopHarness.post(client, "r1");
            ScriptedPeer.ReceivedMessage attempt = workerOne.awaitMessage(ATTEMPT);
            attempt.reply("503 Full\r\nX-Not-Run: 1", "");
            if (way != WAYS.get(0)) {
                // The connection has carried others, whose late answer this may be.
                workerOne.awaitMessage("DELETE /jobs/r1 ").reply("200 OK", "");
            }
            turns.script.expectEvent("job r1");
            turns.script.expectEvent("finished r1 0 FULL false");
            turns.script.expectEvent("abandoned r1");
            turns.script.expectEvent("finished r1 1 NOT_SENT true");
        }
        nothingWasSent();
    }

    @Test
    public void anEndBehindMoreThanOneReadIsSeenBeforeTheAttempt() throws Exception {
        turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
        StringBuilder many = new StringBuilder();
        for (int i = 0; many.length() < 100_000; i++) { // A turn reads 64 KiB of it.
            many.append("POST /api HTTP/1.1\r\nX-Request-Id: m")
                    .append(i)
                    .append("\r\nX-Class: price\r\nContent-Length: 1000\r\n\r\n")
                    .append("x".repeat(1000));
        }
        turns.interleave(
                0,
                () -> {
                    Socket client = turns.connect();
                    ScriptedPeer.write(client, many.toString());
                    client.close();
                },
                () -> {});
        turns.script.expectEvent("job m0");
        turns.script.expectEvent("abandoned m0");
        turns.script.expectEvent("finished m0 0 NOT_SENT true");
        nothingWasSent();
    }

    /**
     * What was turned away is read from again at the next sweep only, but a job that waits behind
     * it is another matter.
     */
    @Test
    public void theEndOfOneThatWasTurnedAwayBeforeIsSeenInTheSameTurn() throws Exception {
        Socket client = turns.connect();
        turns.script.onJob =
                job -> {
                    leave(Socket::close, client);
                    turns.script.actions.startTimer("next turn", 0);
                };
        turns.interleave(
                SWEEPS_MILLIS,
                () -> {}, // The next sweep is far.
                () ->
                        ScriptedPeer.write(
                                client,
                                "GET /nowhere HTTP/1.1\r\n\r\nPOST /api HTTP/1.1\r\nX-Request-Id: p1\r\n"
                                        + "X-Class: price\r\nContent-Length: 0\r\n\r\n"));
        turns.script.expectEvent("job p1");
        turns.script.expectEvent("abandoned p1");
        turns.script.expectEvent("timer next turn");
    }

    @Test
    public void whoHasLeftWhenAConnectionComesUpLateGetsNoAttemptOnIt() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            deaf.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
            for (int i = 0; i < 2; i++) {
                sockets.add(new Socket(deaf.getInetAddress(), deaf.getLocalPort()));
            }
            turns.addWorker("w3", deaf.getInetAddress().getHostAddress(), deaf.getLocalPort());
            turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w3", 0);
            Socket client = turns.post("d1");
            turns.script.expectEvent("job d1");
            turns.awaitIteration();
            Socket[] up = new Socket[1];
            turns.interleave(
                    0,
                    () -> {
                        for (int i = 0; i < 3; i++) {
                            up[0] = deaf.accept(); // The third is ours: it comes up with the
                            // system's next try.
                            sockets.add(up[0]);
                        }
                    },
                    client::close);
            turns.script.expectEvent("abandoned d1");
            turns.script.expectEvent("finished d1 0 NOT_SENT true");
            assertEquals("nothing was written", 0, up[0].getInputStream().available());
        }
    }

    @Test
    public void aBurstThatLeavesInOneTurnGetsNoAttempt() throws Exception {
        turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
        turns.post("warm");
        turns.script.expectEvent("job warm");
        workerOne.awaitMessage(ATTEMPT).accept();
        turns.awaitIteration(); // The first attempt of all has a connection at once.
        turns.script.onJob = job -> {};
        int many = 100;
        Socket[] clients = new Socket[many];
        for (int i = 0; i < many; i++) {
            clients[i] = turns.post("b" + i);
            turns.script.expectEvent("job b" + i);
        }
        Socket go = turns.connect();
        turns.awaitIteration();
        turns.script.onJob =
                job -> {
                    for (int i = 0; i < many; i++) {
                        turns.script.actions.startAttempt("b" + i, "w1", 0);
                    }
                };
        turns.interleave(
                0,
                () -> {
                    for (Socket c : clients) {
                        c.close();
                    }
                    LoopHarness.post(go, "go");
                },
                () -> {});
        nothingWasSent();
    }
}
