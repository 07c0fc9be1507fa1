package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import org.junit.Test;
import postgrade.dispatch.PendingRequest;

/**
 * Connections to workers that come up after the policy has decided on an attempt, and events in
 * between that forbid writing the request.
 */
public class LateConnectTest extends AttemptTestBase {

    public LateConnectTest() throws IOException {}

    /** The next attempt is the first request that the worker sees. */
    private void assertNothingWrittenTo(Socket worker) throws IOException {
        submit("next");
        runTurn();
        assertEquals("next", awaitRequest(worker).header("X-Request-Id"));
    }

    /**
     * Guards against a header computed when the attempt was decided on, which states up to a
     * connect time too much.
     */
    @Test
    public void deadlineHeaderIsComputedWhenTheRequestIsWritten() throws Exception {
        submit("d1");
        runTurn();
        Socket worker = accept(worker1); // Established, but not yet seen by the loop.
        advance(1_500 * MILLI_MICROS);
        assertEquals(
                DEADLINE_MICROS - 1_500 * MILLI_MICROS + "u",
                awaitRequest(worker).header("X-Deadline"));
    }

    /**
     * The channels of a turn are served in any order, and a delayed turn may have many to serve.
     */
    @Test
    public void clientDisconnectReadAfterTheConnectIsSeenBeforeTheWrite() throws Exception {
        PendingRequest request = submit("l1");
        runTurn();
        Socket worker = accept(worker1);
        loop.runAndServe(() -> {}); // The connection is established.
        tracker.clientDisconnected(request);
        runTurn();
        assertNothingWrittenTo(worker);
    }

    /**
     * The scripted policy cancels nothing, as the real policy does where the settings forbid
     * cancellation.
     */
    @Test
    public void clientDisconnectDuringTheConnectPreventsTheWriteWithoutCancellation()
            throws Exception {
        PendingRequest request = submit("l2");
        runTurn();
        Socket worker = accept(worker1);
        tracker.clientDisconnected(request);
        runTurn();
        assertFinished("finished l2 0 NOT_SENT true");
        loop.runAndServe(() -> {});
        runTurn();
        assertNothingWrittenTo(worker);
    }

    @Test
    public void jobRejectedDuringTheConnectIsNotWritten() throws Exception {
        submit("l3");
        runTurn();
        Socket worker = accept(worker1);
        policy.actions.reject("l3", 0);
        runTurn();
        loop.runAndServe(() -> {});
        runTurn();
        assertNothingWrittenTo(worker);
    }

    @Test
    public void nothingIsWrittenToAWorkerThatStartsDrainingAsItsConnectionComesUp()
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
        // On a new connection: the former pool is gone.
        assertEquals("next", awaitRequest(worker1).header("X-Request-Id"));
        assertEquals("nothing came on the first connection", 0, availableBytes(worker));
    }

    /**
     * Guards against keeping a connection in use or being opened, on which the next jobs would go
     * to the former process.
     */
    @Test
    public void connectionToAFormerAddressCarriesNothingMore() throws Exception {
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
     * Guards against writing a retry that was decided on in time but whose connection came up too
     * late: the job could run twice.
     */
    @Test
    public void retryIsNotWrittenAfterItsDeduplicationWindow() throws Exception {
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
        assertNothingWrittenTo(second);
    }

    /**
     * Guards against a request that loses its connection and has no timer, and so waits until its
     * deadline.
     */
    @Test
    public void failedConnectFailsEveryWaitingRequest() throws Exception {
        boolean[] mayOpen = {true};
        pools.setConnectLimiter((id, mandatory) -> mayOpen[0]);
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
