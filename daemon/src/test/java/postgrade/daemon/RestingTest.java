package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.Test;
import postgrade.daemon.Peer.Arrived;
import postgrade.dispatch.PendingRequest;

/**
 * A connection that has just been answered, and a second answer on it that comes some milliseconds
 * late.
 */
public class RestingTest extends AttemptStage {

    private static final String NOT_RUN =
            "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    public RestingTest() throws IOException {}

    private void waits(Socket resting, int connections, long micros) {
        pass(micros);
        assertEquals("nothing is written yet", 0, available(resting));
        assertEquals("nor another one opened", connections, hand.openChannels());
    }

    /**
     * It was taken for the next job's, which ran on while the module was told that it never ran.
     */
    @Test
    public void aSecondAnswerIsNotTakenForTheNextJobs() throws Exception {
        Socket resting = taken("a1");
        open("a2");
        turn();
        pass(20 * MILLI - 1);
        says(resting, NOT_RUN);
        turn();
        hasHeard();
        assertEquals("a2", request(one).header("X-Request-Id"));
        assertEquals("closed", -1, resting.getInputStream().read());
    }

    @Test
    public void norForADeletes() throws Exception {
        Socket resting = taken("b1");
        script.out.cancelAttempt("b1", 0);
        turn();
        pass(20 * MILLI - 1);
        says(resting, TAKEN);
        turn();
        hasHeard();
        Arrived delete = request(one);
        hand.runAndServe(() -> delete.reply("200 OK", ""));
        turn();
        hasHeard("finished b1 0 CANCELLED false");
    }

    @Test
    public void whatFindsOnlyARestingOneWaitsForItAndOpensNoOther() throws Exception {
        Socket resting = taken("c1");
        pass(5 * MILLI);
        open("c2");
        turn();
        waits(resting, 1, 15 * MILLI - 1);
        pass(1);
        Arrived second = request(resting);
        assertEquals("c2", second.header("X-Request-Id"));
        assertEquals("what is left now", DEADLINE - 15 * MILLI + "u", second.header("X-Deadline"));
    }

    @Test
    public void oneMoreThanThoseThatRestOpensItsOwnAndTheyAreGivenInOrder() throws Exception {
        Socket resting = taken("d1");
        open("d2");
        open("d3");
        turn();
        Socket other = accept(one);
        hand.runAndServe(() -> {});
        turn();
        assertEquals("d2", request(other).header("X-Request-Id"));
        waits(resting, 2, 20 * MILLI - 1);
        pass(1);
        assertEquals("d3", request(resting).header("X-Request-Id"));
    }

    @Test
    public void oneThatHasRestedGoesBeforeOneThatRests() throws Exception {
        open("e1");
        open("e2");
        turn();
        Arrived first = request(one);
        Arrived second = request(one);
        says(first.socket(), TAKEN);
        pass(15 * MILLI);
        says(second.socket(), TAKEN);
        pass(5 * MILLI);
        open("e3");
        turn();
        assertEquals("e3", request(first.socket()).header("X-Request-Id"));
    }

    @Test
    public void whatIsNoLongerWantedMeanwhileIsNotWritten() throws Exception {
        Socket resting = taken("f1");
        PendingRequest left = open("f2");
        turn();
        gateway.clientDisconnected(left);
        turn();
        script.onJob = job -> script.out.startAttempt(job.id(), "w1", 0, 10 * MILLI * 1000);
        open("f3"); // May be written for 10 ms.
        turn();
        pass(20 * MILLI);
        hasHeard("finished f2 0 NOT_SENT true", "finished f3 0 NOT_SENT false");
        waits(resting, 1, 0);
    }

    @Test
    public void norIsAnythingToAWorkerThatDrainsMeanwhile() throws Exception {
        Socket resting = taken("g1");
        open("g2");
        turn();
        list(target("w1", one, false));
        turn();
        hasHeard("finished g2 0 NOT_SENT false");
        assertEquals("closed", -1, resting.getInputStream().read());
        assertEquals("none is opened for it", 0, hand.openChannels());
    }

    @Test
    public void whatWaitsGoesToTheAddressThatItsWorkerHasMovedTo() throws Exception {
        Socket resting = taken("h1");
        open("h2");
        turn();
        list(target("w1", two, true));
        turn();
        assertEquals("h2", request(two).header("X-Request-Id"));
        assertEquals("closed", -1, resting.getInputStream().read());
        assertTrue(ends().isEmpty());
    }
}
