package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import org.junit.Test;
import postgrade.dispatch.ReportedState;

/** The idle limit learnt from a connection that broke, and new settings after that. */
public class AdaptiveIdleTimeoutTest extends AttemptTestBase {

    public AdaptiveIdleTimeoutTest() throws IOException {}

    /** Limits the idle time to 1 s: a connection that was idle for 2 s breaks under its request. */
    private void breakAfterTwoSecondsIdle() throws IOException {
        Socket former = serveAndLeaveIdle("a");
        advance(2_000 * MILLI_MICROS);
        submit("b");
        runTurn();
        assertEquals("b", awaitRequest(former).header("X-Request-Id"));
        loop.runAndServe(former::close);
        runTurn();
        confirmCancellation("b");
        assertEquals("finished b 0 RESET false", finishedEvents().get(1));
    }

    /** Serves a job, after which the connection is idle. */
    private Socket serveAndLeaveIdle(String id) throws IOException {
        Socket worker = sendAcceptedJob(id);
        report(id, "w1", ReportedState.DONE);
        runTurn();
        return worker;
    }

    @Test
    public void learntTimeoutIsKeptWithSettingsOfTheSameDeployment() throws Exception {
        breakAfterTwoSecondsIdle();
        pools.updateSettings(2_000 * MILLI_MICROS, 20_000 * MILLI_MICROS, true);
        Socket next = serveAndLeaveIdle("c");
        advance(1_500 * MILLI_MICROS);
        assertEquals("retired", -1, next.getInputStream().read());
    }

    /**
     * Guards against keeping the learnt limit: each connection of the new deployment would be
     * closed after half of an idle time that never broke in its network.
     */
    @Test
    public void learntTimeoutIsDiscardedWithSettingsOfAnotherDeployment() throws Exception {
        breakAfterTwoSecondsIdle();
        pools.updateSettings(2_000 * MILLI_MICROS, 20_000 * MILLI_MICROS, false);
        Socket next = serveAndLeaveIdle("c");
        advance(11_000 * MILLI_MICROS);
        submit("d");
        runTurn();
        assertEquals("used again", "d", awaitRequest(next).header("X-Request-Id"));
    }
}
