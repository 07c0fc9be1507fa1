package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import org.junit.Test;
import postgrade.dispatch.ReportedState;

/**
 * How long an idle connection is trusted with a request, learnt of one that broke, and other
 * settings after that.
 */
public class LearntIdleTest extends AttemptTestBase {

    public LearntIdleTest() throws IOException {}

    /**
     * Idle connections are kept for 1 s from now on: one that was idle for 2 s broke under its
     * request.
     */
    private void breaksAfterTwoSeconds() throws IOException {
        Socket former = served("a");
        advance(2_000 * MILLI_MICROS);
        submit("b");
        runTurn();
        assertEquals("b", awaitRequest(former).header("X-Request-Id"));
        loop.runAndServe(former::close);
        runTurn();
        confirmCancellation("b");
        assertEquals("finished b 0 RESET false", finishedEvents().get(1));
    }

    /** Its connection is left idle. */
    private Socket served(String id) throws IOException {
        Socket worker = sendAcceptedJob(id);
        report(id, "w1", ReportedState.DONE);
        runTurn();
        return worker;
    }

    @Test
    public void itHoldsUnderTheSameDeploymentsSettings() throws Exception {
        breaksAfterTwoSeconds();
        pools.updateSettings(2_000 * MILLI_MICROS, 20_000 * MILLI_MICROS, true);
        Socket next = served("c");
        advance(1_500 * MILLI_MICROS);
        assertEquals("retired", -1, next.getInputStream().read());
    }

    /**
     * It was kept, and each of the new deployment's connections was closed after half of a time
     * that its network never knew.
     */
    @Test
    public void itIsForgottenUnderAnothers() throws Exception {
        breaksAfterTwoSeconds();
        pools.updateSettings(2_000 * MILLI_MICROS, 20_000 * MILLI_MICROS, false);
        Socket next = served("c");
        advance(11_000 * MILLI_MICROS);
        submit("d");
        runTurn();
        assertEquals("used again", "d", awaitRequest(next).header("X-Request-Id"));
    }
}
