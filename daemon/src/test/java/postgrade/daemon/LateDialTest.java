package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import org.junit.Test;
import postgrade.dispatch.PendingRequest;

/**
 * Connections to workers that come up after an attempt was decided on, and what may have happened
 * meanwhile.
 */
public class LateDialTest extends AttemptStage {

    public LateDialTest() throws IOException {}

    /** The next attempt is the first that the worker sees. */
    private void nothingWasWrittenTo(Socket worker) throws IOException {
        open("next");
        turn();
        assertEquals("next", request(worker).header("X-Request-Id"));
    }

    /**
     * What it told was the time left when it was decided on, up to a connect's time more than was
     * left at the send.
     */
    @Test
    public void anAttemptTellsWhatIsLeftWhenItIsWritten() throws Exception {
        open("d1");
        turn();
        Socket worker = accept(one); // Up, which the loop has not seen yet.
        pass(1_500 * MILLI);
        assertEquals(DEADLINE - 1_500 * MILLI + "u", request(worker).header("X-Deadline"));
    }

    /**
     * The channels of a turn are served in any order, and a late turn's may have waited for long.
     */
    @Test
    public void aConsumerWhoseLeavingIsReadAfterTheConnectionCameUpHasNothingWritten()
            throws Exception {
        PendingRequest in = open("l1");
        turn();
        Socket worker = accept(one);
        hand.runAndServe(() -> {}); // It has come up.
        gateway.clientDisconnected(in);
        turn();
        nothingWasWrittenTo(worker);
    }

    /** The script calls nothing off, as the module does not where the settings forbid it. */
    @Test
    public void aConsumerThatLeftWhileItCameUpHasNothingWrittenAlsoWhereNothingMayBeCalledOff()
            throws Exception {
        PendingRequest in = open("l2");
        turn();
        Socket worker = accept(one);
        gateway.clientDisconnected(in);
        turn();
        hasHeard("finished l2 0 NOT_SENT true");
        hand.runAndServe(() -> {});
        turn();
        nothingWasWrittenTo(worker);
    }

    @Test
    public void neitherHasOneThatIsRefusedMeanwhile() throws Exception {
        open("l3");
        turn();
        Socket worker = accept(one);
        script.out.reject("l3", 0);
        turn();
        hand.runAndServe(() -> {});
        turn();
        nothingWasWrittenTo(worker);
    }

    @Test
    public void noneIsWrittenToAWorkerThatDrainsInTheTurnInWhichItsConnectionComesUp()
            throws Exception {
        open("l4");
        turn();
        Socket worker = accept(one);
        hand.runAndServe(() -> {});
        list(target("w1", one, false));
        turn();
        turn();
        hasHeard("finished l4 0 NOT_SENT false");
        list(target("w1", one, true));
        open("next");
        turn();
        assertEquals(
                "next",
                request(one).header("X-Request-Id")); // On one more: the former pool is forgotten.
        assertEquals("nothing came on the first", 0, available(worker));
    }

    /** A connection in use or on its way was kept, and the next jobs went to the former process. */
    @Test
    public void oneToAnAddressThatItsWorkerHasLeftCarriesNothingMore() throws Exception {
        open("m1");
        turn();
        Socket former = request(one).socket();
        open("m2");
        turn();
        Socket late = accept(one);
        list(target("w1", two, true));
        hand.runAndServe(() -> {});
        turn();
        assertEquals("m2", request(two).header("X-Request-Id"));
        hand.runAndServe(
                () -> Peer.write(former, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"));
        turn();
        open("m3");
        turn();
        assertEquals("m3", request(two).header("X-Request-Id"));
        assertEquals(-1, former.getInputStream().read());
        assertEquals(-1, late.getInputStream().read());
    }

    /**
     * It was decided on in time, and written once its connection was up: the job could run a second
     * time.
     */
    @Test
    public void aRepeatIsNotWrittenOnceRepeatsAreNoLongerDropped() throws Exception {
        open("k1");
        turn();
        Socket first = request(one).socket();
        first.setSoLinger(true, 0);
        hand.runAndServe(first::close);
        turn();
        confirmsCancellation("k1");
        script.out.startAttempt("k1", "w2", 0, 100 * MILLI * 1000);
        turn();
        Socket second = accept(two);
        pass(101 * MILLI);
        hand.runAndServe(() -> {});
        turn();
        turn();
        hasHeard("finished k1 0 RESET false", "finished k1 1 NOT_SENT false");
        script.onJob = job -> script.out.startAttempt(job.id(), "w2", 0);
        nothingWasWrittenTo(second);
    }

    /**
     * The one that had opened it was left without a connection and a timer, and waited for its
     * deadline.
     */
    @Test
    public void whenAConnectFailsNoneThatWaitsIsForgotten() throws Exception {
        boolean[] mayOpen = {true};
        pools.pacing((id, must) -> mayOpen[0]);
        open("p0");
        turn();
        request(one); // The connection is in use from now on.
        one.close();
        mayOpen[0] = false;
        open("p1");
        turn();
        mayOpen[0] = true;
        open("p2");
        turn();
        hand.runAndServe(() -> {}); // Refused.
        turn();
        pass(40 * MILLI);
        hand.runAndServe(() -> {});
        turn();
        hasHeard("finished p1 0 UNREACHABLE false", "finished p2 0 UNREACHABLE false");
    }
}
