package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.Test;
import postgrade.daemon.Peer.Arrived;
import postgrade.dispatch.ReportedState;

/**
 * What a worker says of an attempt when it is all but over, and what comes of its connection long
 * after.
 */
public class LateWordTest extends AttemptStage {

    public LateWordTest() throws IOException {}

    private void isServed(String id) {
        hasHeard("finished " + id + " 0 SERVED true");
        assertEquals(List.of(id + " served"), answers);
        assertTrue("nothing is given up", pools.quiet());
    }

    /**
     * The result is the answer, and the worker is not asked to drop what it has done: its next job
     * may have the same id.
     */
    @Test
    public void doneInTheTurnInWhichItIsGivenUpIsTheAnswerAndNoDeleteFollows() throws Exception {
        Socket worker = taken("a");
        script.out.cancelAttempt("a", 0);
        reports("a", "w1", ReportedState.DONE);
        turn();
        isServed("a");
        pass(100 * MILLI);
        assertEquals("nothing is asked of it", 0, available(worker));
        assertEquals("nor on a connection of its own", 1, hand.openChannels());
    }

    private Arrived delete(Socket on, String id) throws IOException {
        Arrived delete = request(on);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/" + id + " "));
        return delete;
    }

    /** A DELETE that comes before its job, and is answered. */
    private Arrived overtaking(String id) throws IOException {
        script.out.cancelAttempt(id, 0);
        turn();
        Arrived delete = delete(accept(one), id);
        hand.runAndServe(() -> delete.reply("200 OK", ""));
        turn();
        hasHeard();
        return delete;
    }

    /** Nothing reads it any more: it would be taken for that of the next attempt. */
    @Test
    public void a202LongBehindTheAnsweredDeleteFindsItsConnectionClosed() throws Exception {
        Socket worker = untaken("b");
        Arrived first = overtaking("b");
        pass(99 * MILLI);
        hasHeard();
        pass(1 * MILLI);
        assertEquals("the one of the DELETE is left", 1, hand.openChannels());
        assertEquals(-1, worker.getInputStream().read());
        hasHeard();
        Arrived second = delete(first.socket(), "b");
        hand.runAndServe(() -> second.reply("200 OK", ""));
        turn();
        hasHeard("finished b 0 CANCELLED false");
        pass(20 * MILLI);
        script.out.startAttempt("b", "w1", 0);
        turn();
        assertEquals("b", request(first.socket()).header("X-Request-Id"));
        assertEquals(1, ends().size());
    }

    /** The first one's answer ended the attempt: the job ran, beside the next attempt. */
    @Test
    public void a202RightBehindTheAnsweredDeleteHasAnotherDeleteFollow() throws Exception {
        Socket worker = untaken("d");
        overtaking("d");
        says(worker, TAKEN);
        pass(20 * MILLI);
        hasHeard();
        Arrived second = delete(worker, "d");
        hand.runAndServe(() -> second.reply("200 OK", ""));
        turn();
        hasHeard("finished d 0 CANCELLED false");
    }

    /**
     * The worker has taken the job: its connection is of no meaning to it, and only a call-back
     * tells of its end.
     */
    @Test
    public void aResetLongAfterThe202EndsNothing() throws Exception {
        Socket worker = taken("c");
        reports("c", "w1", ReportedState.STARTED);
        pass(2_000 * MILLI);
        hand.runAndServe(
                () -> {
                    worker.setSoLinger(true, 0);
                    worker.close();
                });
        turn();
        pass(100 * MILLI);
        hasHeard();
        assertEquals("and nothing is asked of the worker", 0, hand.openChannels());
        reports("c", "w1", ReportedState.DONE);
        turn();
        isServed("c");
    }
}
