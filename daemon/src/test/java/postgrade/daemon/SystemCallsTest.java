package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.http.FaultInjectingCalls;
import postgrade.http.FaultInjectingCalls.Call;
import postgrade.http.FaultInjectingCalls.Failure;
import postgrade.policy.api.AttemptOutcome;

/** System calls that fail for a moment, are short or return early, at each point of a job's way. */
public class SystemCallsTest extends DaemonTestBase {

    private static final List<Failure> OUR_OWN_WANTS =
            List.of(
                    () -> new BindException("Cannot assign requested address"),
                    () -> new SocketException("No buffer space available"),
                    () -> new SocketException("Network is unreachable"));

    private final FaultInjectingCalls calls = new FaultInjectingCalls();
    private LoopHarness turns;

    @Before
    public void startTurns() throws Exception {
        turns = new LoopHarness(Config.read(configuration()), 512, calls);
        turns.addWorker("w1", workerOne);
        turns.addWorker("w2", workerTwo);
        turns.script.onJob = job -> turns.script.actions.startAttempt(job.id(), "w1", 0);
    }

    @After
    public void close() throws IOException {
        turns.close();
    }

    /**
     * Answers the attempt, reports the job done on a connection of its own, and reads the client's
     * answer.
     */
    private void isServed(String id, Socket client, ScriptedPeer worker, String from)
            throws Exception {
        ReceivedMessage attempt = worker.awaitMessage("POST");
        assertEquals(id, attempt.header("X-Request-Id"));
        ScriptedPeer.write(attempt.socket(), "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        String body =
                "{\"id\":\""
                        + id
                        + "\",\"from\":\""
                        + from
                        + "\",\"state\":\"done\",\"result\":\"made\"}";
        Socket report = turns.connect();
        ScriptedPeer.write(
                report,
                "POST /v1/job-events HTTP/1.1\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
        assertEquals(204, ScriptedPeer.read(report).status());
        ReceivedMessage answer = ScriptedPeer.read(client);
        assertEquals(200, answer.status());
        assertEquals("made", answer.body());
    }

    /** The module may try another worker, and holds nothing against this one. */
    @Test
    public void aConnectThatFailsForWantOfOursIsToldAsSuchAndTheJobGoesElsewhere()
            throws Exception {
        turns.script.onFinished =
                (id, outcome) -> {
                    if (outcome == AttemptOutcome.NO_SOCKET) {
                        turns.script.actions.startAttempt(id, "w2", 0);
                    }
                };
        int number = 0;
        for (Call call : List.of(Call.OPEN, Call.CONNECT)) {
            for (Failure failure : OUR_OWN_WANTS) {
                String id = "c" + number++;
                calls.fail(call, 1, failure);
                Socket client = turns.post(id);
                turns.script.expectEvent("job " + id);
                turns.script.expectEvent("finished " + id + " 0 NO_SOCKET false");
                isServed(id, client, workerTwo, "w2");
                turns.script.expectEvent("finished " + id + " 1 SERVED true");
            }
        }
    }

    @Test
    public void aConnectThatThePeerRefusesIsStillTheWorkersFailure() throws Exception {
        calls.fail(Call.CONNECT, 1, () -> new ConnectException("Connection refused"));
        turns.post("p1");
        turns.script.expectEvent("job p1");
        turns.script.expectEvent("finished p1 0 UNREACHABLE false");
        calls.fail(Call.FINISH_CONNECT, 1, () -> new ConnectException("Connection timed out"));
        turns.post("p2");
        turns.script.expectEvent("job p2");
        turns.script.expectEvent("finished p2 0 UNREACHABLE false");
    }

    @Test
    public void aWaitThatFailsEndsNeitherTheLoopNorWhatIsUnderWay() throws Exception {
        Socket client = turns.post("s1");
        turns.script.expectEvent("job s1");
        calls.fail(Call.SELECT, 3, () -> new IOException("Interrupted system call"));
        isServed("s1", client, workerOne, "w1");
        assertEquals(0, calls.failuresLeft(Call.SELECT));
    }

    @Test
    public void aFailedAcceptLosesNobodyWhoWaitsAndCallBacksAreStillHeard() throws Exception {
        Socket before = turns.post("a1");
        turns.script.expectEvent("job a1");
        calls.fail(Call.ACCEPT, 3, () -> new IOException("Too many open files in system"));
        Socket waits = turns.post("a2");
        isServed(
                "a1", before, workerOne,
                "w1"); // Its call-back comes on a connection that waits behind the other.
        isServed("a2", waits, workerOne, "w1");
        assertEquals(0, calls.failuresLeft(Call.ACCEPT));
    }

    @Test
    public void aShutdownWhoseAcceptFailsStillServesWhoWaits() throws Exception {
        Socket first = turns.post("d1");
        turns.script.expectEvent("job d1");
        calls.fail(Call.ACCEPT, 3, () -> new IOException("Too many open files"));
        Socket second = turns.post("d2");
        turns.runOnLoop(turns.shutdown::begin);
        isServed("d1", first, workerOne, "w1");
        isServed("d2", second, workerOne, "w1");
    }

    @Test
    public void readsAndWritesOfOneByteEachCarryAJobWhole() throws Exception {
        calls.moveOneByteAtATime();
        Socket client = turns.post("b1");
        isServed("b1", client, workerOne, "w1");
    }

    /** Its time runs from when it was sent. */
    @Test
    public void aRequestThatLayUnreadInASocketTellsItsWorkerOfTheTimeThatIsLeft() throws Exception {
        Socket client = turns.connect();
        turns.awaitIteration(); // It is accepted and watched.
        turns.interleave(300, () -> LoopHarness.post(client, "u1"), () -> {});
        assertTellsAtMost(14_700_000, workerOne.awaitMessage("POST"));
    }

    @Test
    public void neitherDoesOneThatWaitedInTheBacklogTellMore() throws Exception {
        turns.interleave(300, () -> turns.post("u2"), () -> {});
        assertTellsAtMost(14_700_000, workerOne.awaitMessage("POST"));
    }

    private static void assertTellsAtMost(long micros, ReceivedMessage attempt) {
        String told = attempt.header("X-Deadline");
        assertTrue(told, told.endsWith("u"));
        assertTrue(told, Long.parseLong(told.substring(0, told.length() - 1)) <= micros);
    }
}
