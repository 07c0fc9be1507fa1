package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.dispatch.ReportedState;

/**
 * What a worker says of an attempt when it is all but over, and what comes of its connection long
 * after.
 */
public class LateWordTest extends AttemptTestBase {

    public LateWordTest() throws IOException {}

    private void isServed(String id) {
        assertFinished("finished " + id + " 0 SERVED true");
        assertEquals(List.of(id + " served"), answers);
        assertTrue("nothing is given up", pools.hasNoCancellations());
    }

    /**
     * The result is the answer, and the worker is not asked to drop what it has done: its next job
     * may have the same id.
     */
    @Test
    public void doneInTheTurnInWhichItIsGivenUpIsTheAnswerAndNoDeleteFollows() throws Exception {
        Socket worker = sendAcceptedJob("a");
        policy.actions.cancelAttempt("a", 0);
        report("a", "w1", ReportedState.DONE);
        runTurn();
        isServed("a");
        advance(100 * MILLI_MICROS);
        assertEquals("nothing is asked of it", 0, availableBytes(worker));
        assertEquals("nor on a connection of its own", 1, loop.openChannels());
    }

    private ReceivedMessage delete(Socket on, String id) throws IOException {
        ReceivedMessage delete = awaitRequest(on);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/" + id + " "));
        return delete;
    }

    /** A DELETE that comes before its job, and is answered. */
    private ReceivedMessage overtaking(String id) throws IOException {
        policy.actions.cancelAttempt(id, 0);
        runTurn();
        ReceivedMessage delete = delete(accept(worker1), id);
        loop.runAndServe(() -> delete.reply("200 OK", ""));
        runTurn();
        assertFinished();
        return delete;
    }

    /** Nothing reads it any more: it would be taken for that of the next attempt. */
    @Test
    public void a202LongBehindTheAnsweredDeleteFindsItsConnectionClosed() throws Exception {
        Socket worker = sendJob("b");
        ReceivedMessage first = overtaking("b");
        advance(99 * MILLI_MICROS);
        assertFinished();
        advance(1 * MILLI_MICROS);
        assertEquals("the one of the DELETE is left", 1, loop.openChannels());
        assertEquals(-1, worker.getInputStream().read());
        assertFinished();
        ReceivedMessage second = delete(first.socket(), "b");
        loop.runAndServe(() -> second.reply("200 OK", ""));
        runTurn();
        assertFinished("finished b 0 CANCELLED false");
        advance(20 * MILLI_MICROS);
        policy.actions.startAttempt("b", "w1", 0);
        runTurn();
        assertEquals("b", awaitRequest(first.socket()).header("X-Request-Id"));
        assertEquals(1, finishedEvents().size());
    }

    /** The first one's answer ended the attempt: the job ran, beside the next attempt. */
    @Test
    public void a202RightBehindTheAnsweredDeleteHasAnotherDeleteFollow() throws Exception {
        Socket worker = sendJob("d");
        overtaking("d");
        respond(worker, ACCEPTED);
        advance(20 * MILLI_MICROS);
        assertFinished();
        ReceivedMessage second = delete(worker, "d");
        loop.runAndServe(() -> second.reply("200 OK", ""));
        runTurn();
        assertFinished("finished d 0 CANCELLED false");
    }

    /**
     * The worker has taken the job: its connection is of no meaning to it, and only a call-back
     * tells of its end.
     */
    @Test
    public void aResetLongAfterThe202EndsNothing() throws Exception {
        Socket worker = sendAcceptedJob("c");
        report("c", "w1", ReportedState.STARTED);
        advance(2_000 * MILLI_MICROS);
        loop.runAndServe(
                () -> {
                    worker.setSoLinger(true, 0);
                    worker.close();
                });
        runTurn();
        advance(100 * MILLI_MICROS);
        assertFinished();
        assertEquals("and nothing is asked of the worker", 0, loop.openChannels());
        report("c", "w1", ReportedState.DONE);
        runTurn();
        isServed("c");
    }
}
