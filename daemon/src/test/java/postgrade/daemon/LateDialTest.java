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
public class LateDialTest extends AttemptTestBase {

    public LateDialTest() throws IOException {}

    /** The next attempt is the first that the worker sees. */
    private void nothingWasWrittenTo(Socket worker) throws IOException {
        submit("next");
        runTurn();
        assertEquals("next", awaitRequest(worker).header("X-Request-Id"));
    }

    /**
     * What it told was the time left when it was decided on, up to a connect's time more than was
     * left at the send.
     */
    @Test
    public void anAttemptTellsWhatIsLeftWhenItIsWritten() throws Exception {
        submit("d1");
        runTurn();
        Socket worker = accept(worker1); // Up, which the loop has not seen yet.
        advance(1_500 * MILLI_MICROS);
        assertEquals(
                DEADLINE_MICROS - 1_500 * MILLI_MICROS + "u",
                awaitRequest(worker).header("X-Deadline"));
    }

    /**
     * The channels of a turn are served in any order, and a late turn's may have waited for long.
     */
    @Test
    public void aConsumerWhoseLeavingIsReadAfterTheConnectionCameUpHasNothingWritten()
            throws Exception {
        PendingRequest in = submit("l1");
        runTurn();
        Socket worker = accept(worker1);
        loop.runAndServe(() -> {}); // It has come up.
        tracker.clientDisconnected(in);
        runTurn();
        nothingWasWrittenTo(worker);
    }

    /** The script calls nothing off, as the module does not where the settings forbid it. */
    @Test
    public void aConsumerThatLeftWhileItCameUpHasNothingWrittenAlsoWhereNothingMayBeCalledOff()
            throws Exception {
        PendingRequest in = submit("l2");
        runTurn();
        Socket worker = accept(worker1);
        tracker.clientDisconnected(in);
        runTurn();
        assertFinished("finished l2 0 NOT_SENT true");
        loop.runAndServe(() -> {});
        runTurn();
        nothingWasWrittenTo(worker);
    }

    @Test
    public void neitherHasOneThatIsRefusedMeanwhile() throws Exception {
        submit("l3");
        runTurn();
        Socket worker = accept(worker1);
        policy.actions.reject("l3", 0);
        runTurn();
        loop.runAndServe(() -> {});
        runTurn();
        nothingWasWrittenTo(worker);
    }

    @Test
    public void noneIsWrittenToAWorkerThatDrainsInTheTurnInWhichItsConnectionComesUp()
            throws Exception {
        submit("l4");
        runTurn();
        Socket worker = accept(worker1);
        loop.runAndServe(() -> {});
        updateWorkers(endpoint("w1", worker1, false));
        runTurn();
        runTurn();
        assertFinished("finished l4 0 NOT_SENT false");
        updateWorkers(endpoint("w1", worker1, true));
        submit("next");
        runTurn();
        assertEquals(
                "next",
                awaitRequest(worker1)
                        .header("X-Request-Id")); // On one more: the former pool is forgotten.
        assertEquals("nothing came on the first", 0, availableBytes(worker));
    }

    /** A connection in use or on its way was kept, and the next jobs went to the former process. */
    @Test
    public void oneToAnAddressThatItsWorkerHasLeftCarriesNothingMore() throws Exception {
        submit("m1");
        runTurn();
        Socket former = awaitRequest(worker1).socket();
        submit("m2");
        runTurn();
        Socket late = accept(worker1);
        updateWorkers(endpoint("w1", worker2, true));
        loop.runAndServe(() -> {});
        runTurn();
        assertEquals("m2", awaitRequest(worker2).header("X-Request-Id"));
        loop.runAndServe(
                () ->
                        ScriptedPeer.write(
                                former, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"));
        runTurn();
        submit("m3");
        runTurn();
        assertEquals("m3", awaitRequest(worker2).header("X-Request-Id"));
        assertEquals(-1, former.getInputStream().read());
        assertEquals(-1, late.getInputStream().read());
    }

    /**
     * It was decided on in time, and written once its connection was up: the job could run a second
     * time.
     */
    @Test
    public void aRepeatIsNotWrittenOnceRepeatsAreNoLongerDropped() throws Exception {
        submit("k1");
        runTurn();
        Socket first = awaitRequest(worker1).socket();
        first.setSoLinger(true, 0);
        loop.runAndServe(first::close);
        runTurn();
        confirmCancellation("k1");
        policy.actions.startAttempt("k1", "w2", 0, 100 * MILLI_MICROS * 1000);
        runTurn();
        Socket second = accept(worker2);
        advance(101 * MILLI_MICROS);
        loop.runAndServe(() -> {});
        runTurn();
        runTurn();
        assertFinished("finished k1 0 RESET false", "finished k1 1 NOT_SENT false");
        policy.onJob = job -> policy.actions.startAttempt(job.id(), "w2", 0);
        nothingWasWrittenTo(second);
    }

    /**
     * The one that had opened it was left without a connection and a timer, and waited for its
     * deadline.
     */
    @Test
    public void whenAConnectFailsNoneThatWaitsIsForgotten() throws Exception {
        boolean[] mayOpen = {true};
        pools.setConnectLimiter((id, must) -> mayOpen[0]);
        submit("p0");
        runTurn();
        awaitRequest(worker1); // The connection is in use from now on.
        worker1.close();
        mayOpen[0] = false;
        submit("p1");
        runTurn();
        mayOpen[0] = true;
        submit("p2");
        runTurn();
        loop.runAndServe(() -> {}); // Refused.
        runTurn();
        advance(40 * MILLI_MICROS);
        loop.runAndServe(() -> {});
        runTurn();
        assertFinished("finished p1 0 UNREACHABLE false", "finished p2 0 UNREACHABLE false");
    }
}
