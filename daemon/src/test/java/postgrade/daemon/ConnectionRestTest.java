package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.dispatch.PendingRequest;

/**
 * Connections that have just been answered, and a second response on them some milliseconds late.
 */
public class ConnectionRestTest extends AttemptTestBase {

    private static final String NOT_RUN =
            "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    public ConnectionRestTest() throws IOException {}

    private void assertNothingSentOrOpened(Socket resting, int connections, long micros) {
        advance(micros);
        assertEquals("nothing is written yet", 0, availableBytes(resting));
        assertEquals("no other connection is opened", connections, loop.openChannels());
    }

    /**
     * Guards against taking the second response for the next job's, which would run on while the
     * policy is notified that it never ran.
     */
    @Test
    public void secondResponseIsNotAttributedToTheNextJob() throws Exception {
        Socket resting = sendAcceptedJob("a1");
        submit("a2");
        runTurn();
        advance(20 * MILLI_MICROS - 1);
        respond(resting, NOT_RUN);
        runTurn();
        assertFinished();
        assertEquals("a2", awaitRequest(worker1).header("X-Request-Id"));
        assertEquals("closed", -1, resting.getInputStream().read());
    }

    @Test
    public void secondResponseIsNotAttributedToADelete() throws Exception {
        Socket resting = sendAcceptedJob("b1");
        policy.actions.cancelAttempt("b1", 0);
        runTurn();
        advance(20 * MILLI_MICROS - 1);
        respond(resting, ACCEPTED);
        runTurn();
        assertFinished();
        ReceivedMessage delete = awaitRequest(worker1);
        loop.runAndServe(() -> delete.reply("200 OK", ""));
        runTurn();
        assertFinished("finished b1 0 CANCELLED false");
    }

    @Test
    public void requestWaitsForARestingConnectionInsteadOfOpeningAnother() throws Exception {
        Socket resting = sendAcceptedJob("c1");
        advance(5 * MILLI_MICROS);
        submit("c2");
        runTurn();
        assertNothingSentOrOpened(resting, 1, 15 * MILLI_MICROS - 1);
        advance(1);
        ReceivedMessage second = awaitRequest(resting);
        assertEquals("c2", second.header("X-Request-Id"));
        assertEquals(
                "the time left now",
                DEADLINE_MICROS - 15 * MILLI_MICROS + "u",
                second.header("X-Deadline"));
    }

    @Test
    public void requestsBeyondTheRestingConnectionsOpenTheirOwnAndAreServedInOrder()
            throws Exception {
        Socket resting = sendAcceptedJob("d1");
        submit("d2");
        submit("d3");
        runTurn();
        Socket other = accept(worker1);
        loop.runAndServe(() -> {});
        runTurn();
        assertEquals("d2", awaitRequest(other).header("X-Request-Id"));
        assertNothingSentOrOpened(resting, 2, 20 * MILLI_MICROS - 1);
        advance(1);
        assertEquals("d3", awaitRequest(resting).header("X-Request-Id"));
    }

    @Test
    public void restedConnectionIsUsedBeforeARestingOne() throws Exception {
        submit("e1");
        submit("e2");
        runTurn();
        ReceivedMessage first = awaitRequest(worker1);
        ReceivedMessage second = awaitRequest(worker1);
        respond(first.socket(), ACCEPTED);
        advance(15 * MILLI_MICROS);
        respond(second.socket(), ACCEPTED);
        advance(5 * MILLI_MICROS);
        submit("e3");
        runTurn();
        assertEquals("e3", awaitRequest(first.socket()).header("X-Request-Id"));
    }

    @Test
    public void unwantedOrExpiredRequestIsNotWrittenAfterTheRest() throws Exception {
        Socket resting = sendAcceptedJob("f1");
        PendingRequest abandoned = submit("f2");
        runTurn();
        tracker.clientDisconnected(abandoned);
        runTurn();
        policy.onJob =
                job -> policy.actions.startAttempt(job.id(), "w1", 0, 10 * MILLI_MICROS * 1000);
        submit("f3"); // May be written for 10 ms.
        runTurn();
        advance(20 * MILLI_MICROS);
        assertFinished("finished f2 0 NOT_SENT true", "finished f3 0 NOT_SENT false");
        assertNothingSentOrOpened(resting, 1, 0);
    }

    @Test
    public void waitingRequestIsNotWrittenToAWorkerThatStartsDraining() throws Exception {
        Socket resting = sendAcceptedJob("g1");
        submit("g2");
        runTurn();
        updateWorkers(endpoint("w1", worker1, false));
        runTurn();
        assertFinished("finished g2 0 NOT_SENT false");
        assertEquals("closed", -1, resting.getInputStream().read());
        assertEquals("no connection is opened for it", 0, loop.openChannels());
    }

    @Test
    public void waitingRequestGoesToTheNewAddressOfItsWorker() throws Exception {
        Socket resting = sendAcceptedJob("h1");
        submit("h2");
        runTurn();
        updateWorkers(endpoint("w1", worker2, true));
        runTurn();
        assertEquals("h2", awaitRequest(worker2).header("X-Request-Id"));
        assertEquals("closed", -1, resting.getInputStream().read());
        assertTrue(finishedEvents().isEmpty());
    }
}
