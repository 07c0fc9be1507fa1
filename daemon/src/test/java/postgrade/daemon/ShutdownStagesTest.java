package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * SIGTERM meets a job at a stage of its life, and it goes on once resting connections are ended: it
 * gets its one answer.
 */
public class ShutdownStagesTest extends ShutdownStage {

    private Socket sentOn(String id) throws Exception {
        turns.addWorker("w1", workerOne);
        turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
        Socket client = turns.post(id);
        turns.script.expectEvent("job " + id);
        return client;
    }

    /** The worker reports it done, also once more, and the client hears of it once. */
    private void answeredOnce(Socket client, String id) throws Exception {
        assertEquals(204, callBack(id, "w1", "done"));
        assertEquals("late", 204, callBack(id, "w1", "done"));
        ReceivedMessage answer = ScriptedPeer.read(client);
        assertEquals(200, answer.status());
        assertEquals("made by w1", answer.body());
        assertEquals("close", answer.header("Connection"));
        assertEquals("one answer", -1, client.getInputStream().read());
        client.close();
        turns.awaitEnd();
    }

    @Test
    public void aJobThatIsQueuedWithoutAnAttemptIsSentAndAnswered() throws Exception {
        turns.addWorker("w1", workerOne);
        turns.script.onJob = job -> {};
        Socket client = turns.post("q1");
        turns.script.expectEvent("job q1");
        stop(() -> {}, () -> {});
        turns.runOnLoop(() -> turns.script.actions.startAttempt("q1", "w1", 0));
        workerOne.awaitMessage("POST").accept();
        answeredOnce(client, "q1");
    }

    @Test
    public void aJobThatWaitsForItsConnectionIsSentOnItAndAnswered() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            deaf.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
            for (int i = 0; i < 2; i++) {
                sockets.add(
                        new Socket(deaf.getInetAddress(), deaf.getLocalPort())); // A full backlog.
            }
            turns.addWorker("w1", deaf.getInetAddress().getHostAddress(), deaf.getLocalPort());
            turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
            Socket client = turns.post("c1");
            turns.script.expectEvent("job c1");
            stop(() -> {}, () -> {});
            for (int i = 0; i < 3; i++) {
                sockets.add(deaf.accept()); // The third is ours: it comes up with the system's next
                // try.
            }
            ReceivedMessage job = ScriptedPeer.read(sockets.get(sockets.size() - 1));
            assertEquals("c1", job.header("X-Request-Id"));
            job.accept();
            answeredOnce(client, "c1");
        }
    }

    @Test
    public void aJobThatHasBeenSentAndNotTakenYetIsAnswered() throws Exception {
        Socket client = sentOn("n1");
        ReceivedMessage job = workerOne.awaitMessage("POST");
        stop(() -> {}, () -> {});
        job.accept();
        answeredOnce(client, "n1");
    }

    @Test
    public void aJobThatHasStartedIsAnswered() throws Exception {
        Socket client = sentOn("s1");
        workerOne.awaitMessage("POST").accept();
        assertEquals(204, callBack("s1", "w1", "started"));
        turns.script.expectEvent("started s1 0");
        stop(() -> {}, () -> {});
        answeredOnce(client, "s1");
    }

    /** Its client has its answer, and its worker does not say that it has dropped it. */
    private void isBeingGivenUp(String id) throws Exception {
        Socket client = sentOn(id);
        workerOne.awaitMessage("POST").accept();
        turns.runOnLoop(
                () -> {
                    turns.script.actions.cancelAttempt(id, 0);
                    turns.script.actions.reject(id, 0);
                });
        workerOne.awaitMessage("DELETE /jobs/" + id + " ");
        assertEquals(429, ScriptedPeer.read(client).status());
        client.close();
    }

    /** What comes next, but for repeated words that this one is to be dropped. */
    private ReceivedMessage arrivesBesides(String id, String start) throws InterruptedException {
        ReceivedMessage next = workerOne.awaitMessage();
        while (next.head().startsWith("DELETE /jobs/" + id + " ")) {
            next = workerOne.awaitMessage();
        }
        assertTrue(next.head(), next.head().startsWith(start));
        return next;
    }

    /** A worker that is silent kept the listener open into SIGKILL. */
    @Test
    public void anAttemptThatIsBeingGivenUpIsNotWaitedForBeyondSigkill() throws Exception {
        isBeingGivenUp("g1");
        stop(() -> {}, () -> {});
        assertFalse("it is waited for until then", turns.hasEnded());
        CountDownLatch later = new CountDownLatch(1);
        turns.interleave(
                KILL_MILLIS - UNTIL_LEAVING_MILLIS,
                () -> {},
                () -> turns.loop.at(turns.loop.nowMicros() + 1, later::countDown));
        turns.awaitEnd();
        assertEquals("ended in that turn", 1, later.getCount());
    }

    /** In one late turn its job is answered as it stands and the process is to end. */
    @Test
    public void aWorkerIsAskedToDropWhatIsConcludedLastOfAll() throws Exception {
        isBeingGivenUp("h1");
        stop(() -> {}, () -> {});
        turns.interleave(150, () -> {}, () -> {}); // Later than what SIGKILL may find unanswered.
        Socket late = turns.post("h2");
        turns.script.expectEvent("job h2");
        arrivesBesides("h1", "POST").accept();
        turns.interleave(KILL_MILLIS - UNTIL_LEAVING_MILLIS, () -> {}, () -> {});
        assertEquals(502, ScriptedPeer.read(late).status());
        arrivesBesides("h1", "DELETE /jobs/h2 ");
        late.close();
        turns.awaitEnd();
    }

    /** Guards against one that SIGKILL finds unanswered where SIGTERM was heard of late. */
    @Test
    public void aJobThatMayHaveComeTooLateForSigkillIsAnsweredBefore() throws Exception {
        isBeingGivenUp("i0");
        stop(() -> {}, () -> {});
        Socket late = turns.post("i1"); // 0.6 s after it was heard, so 0.7 s after it was sent.
        turns.script.expectEvent("job i1");
        arrivesBesides("i0", "POST").accept();
        turns.interleave(KILL_MILLIS - UNTIL_LEAVING_MILLIS - 200, () -> {}, () -> {});
        assertEquals(502, ScriptedPeer.read(late).status());
        late.close();
        turns.interleave(200, () -> {}, () -> {});
        turns.awaitEnd();
    }

    @Test
    public void aRequestInPartIsNotTakenForARestingConnection() throws Exception {
        Socket half = turns.connect();
        ScriptedPeer.write(
                half,
                "POST /api HTTP/1.1\r\nX-Request-Id: f1\r\nX-Class: price\r\nContent-Length: 3\r\n\r\n");
        turns.awaitIteration();
        stop(() -> {}, () -> {});
        ScriptedPeer.write(half, "job");
        rejectedAndEnded(half);
        half.close();
        turns.awaitEnd();
    }

    /**
     * Answers fill what the system holds for a client that does not read: the last ones are still
     * with us.
     */
    @Test
    public void whatAClientReadsLateIsWrittenToTheLastByte() throws Exception {
        turns.addWorker("w1", workerOne);
        turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
        String result = "x".repeat(60_000);
        Socket late = new Socket();
        late.setReceiveBufferSize(4096);
        late.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        late.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), turns.listener.port()));
        sockets.add(late);
        boolean[] allSent = {true};
        int answers = 0;
        for (; allSent[0]; answers++) {
            LoopHarness.post(late, "l" + answers);
            workerOne.awaitMessage("POST").accept();
            assertEquals(
                    204,
                    callBack(
                            "{\"id\":\"l"
                                    + answers
                                    + "\",\"from\":\"w1\",\"state\":\"done\",\"result\":\""
                                    + result
                                    + "\"}"));
            turns.runOnLoop(() -> allSent[0] = turns.listener.isIdle());
        }
        turns.runOnLoop(turns.shutdown::begin);
        turns.interleave(KILL_MILLIS, () -> {}, () -> {});
        turns.interleave(
                SWEEPS_MILLIS,
                () -> {},
                () -> {}); // Its peers are waited for no longer, but for what they are owed.
        for (int i = 0; i < answers; i++) {
            ReceivedMessage answer = ScriptedPeer.read(late);
            assertEquals(200, answer.status());
            assertEquals(result, answer.body());
        }
        assertEquals("ended, not reset", -1, late.getInputStream().read());
        late.close();
        turns.awaitEnd();
    }
}
