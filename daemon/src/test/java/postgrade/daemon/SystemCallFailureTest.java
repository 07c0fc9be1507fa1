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

/**
 * System calls that fail temporarily, transfer less than asked or return early, at each step of a
 * job.
 */
public class SystemCallFailureTest extends DaemonTestBase {

    private static final List<Failure> LOCAL_RESOURCE_FAILURES =
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
     * Accepts the attempt, reports the job done on a separate connection, and reads the client's
     * response.
     */
    private void assertServed(String id, Socket client, ScriptedPeer worker, String workerId)
            throws Exception {
        ReceivedMessage attempt = worker.awaitMessage("POST");
        assertEquals(id, attempt.header("X-Request-Id"));
        ScriptedPeer.write(attempt.socket(), "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        String body =
                "{\"id\":\""
                        + id
                        + "\",\"from\":\""
                        + workerId
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

    /** The policy may try another worker, and does not count the failure against this one. */
    @Test
    public void connectFailureForLackOfLocalResourcesIsReportedAndTheJobGoesElsewhere()
            throws Exception {
        turns.script.onFinished =
                (id, outcome) -> {
                    if (outcome == AttemptOutcome.NO_SOCKET) {
                        turns.script.actions.startAttempt(id, "w2", 0);
                    }
                };
        int number = 0;
        for (Call call : List.of(Call.OPEN, Call.CONNECT)) {
            for (Failure failure : LOCAL_RESOURCE_FAILURES) {
                String id = "c" + number++;
                calls.fail(call, 1, failure);
                Socket client = turns.post(id);
                turns.script.expectEvent("job " + id);
                turns.script.expectEvent("finished " + id + " 0 NO_SOCKET false");
                assertServed(id, client, workerTwo, "w2");
                turns.script.expectEvent("finished " + id + " 1 SERVED true");
            }
        }
    }

    @Test
    public void connectRefusedByThePeerCountsAsTheWorkersFailure() throws Exception {
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
    public void failedSelectEndsNeitherTheLoopNorRequestsInFlight() throws Exception {
        Socket client = turns.post("s1");
        turns.script.expectEvent("job s1");
        calls.fail(Call.SELECT, 3, () -> new IOException("Interrupted system call"));
        assertServed("s1", client, workerOne, "w1");
        assertEquals(0, calls.failuresLeft(Call.SELECT));
    }

    @Test
    public void failedAcceptLosesNoWaitingClientAndNoCallBack() throws Exception {
        Socket before = turns.post("a1");
        turns.script.expectEvent("job a1");
        calls.fail(Call.ACCEPT, 3, () -> new IOException("Too many open files in system"));
        Socket waits = turns.post("a2");
        // The call-back comes on a connection queued behind the other.
        assertServed("a1", before, workerOne, "w1");
        assertServed("a2", waits, workerOne, "w1");
        assertEquals(0, calls.failuresLeft(Call.ACCEPT));
    }

    @Test
    public void failedAcceptDuringShutdownStillServesWaitingClients() throws Exception {
        Socket first = turns.post("d1");
        turns.script.expectEvent("job d1");
        calls.fail(Call.ACCEPT, 3, () -> new IOException("Too many open files"));
        Socket second = turns.post("d2");
        turns.runOnLoop(turns.shutdown::begin);
        assertServed("d1", first, workerOne, "w1");
        assertServed("d2", second, workerOne, "w1");
    }

    @Test
    public void oneByteReadsAndWritesCarryACompleteJob() throws Exception {
        calls.moveOneByteAtATime();
        Socket client = turns.post("b1");
        assertServed("b1", client, workerOne, "w1");
    }

    /** The deadline counts from when the request was sent. */
    @Test
    public void timeUnreadInASocketCountsAgainstTheDeadline() throws Exception {
        Socket client = turns.connect();
        turns.awaitIteration(); // The connection is accepted and registered.
        turns.interleave(300, () -> LoopHarness.post(client, "u1"), () -> {});
        assertRemainingAtMost(14_700_000, workerOne.awaitMessage("POST"));
    }

    @Test
    public void timeInTheAcceptBacklogCountsAgainstTheDeadline() throws Exception {
        turns.interleave(300, () -> turns.post("u2"), () -> {});
        assertRemainingAtMost(14_700_000, workerOne.awaitMessage("POST"));
    }

    private static void assertRemainingAtMost(long micros, ReceivedMessage attempt) {
        String deadline = attempt.header("X-Deadline");
        assertTrue(deadline, deadline.endsWith("u"));
        assertTrue(
                deadline, Long.parseLong(deadline.substring(0, deadline.length() - 1)) <= micros);
    }
}
