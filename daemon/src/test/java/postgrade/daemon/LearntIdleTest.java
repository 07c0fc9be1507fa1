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
public class LearntIdleTest extends AttemptStage {

    public LearntIdleTest() throws IOException {}

    /**
     * Idle connections are kept for 1 s from now on: one that was idle for 2 s broke under its
     * request.
     */
    private void breaksAfterTwoSeconds() throws IOException {
        Socket former = served("a");
        pass(2_000 * MILLI);
        open("b");
        turn();
        assertEquals("b", request(former).header("X-Request-Id"));
        hand.runAndServe(former::close);
        turn();
        confirmsCancellation("b");
        assertEquals("finished b 0 RESET false", ends().get(1));
    }

    /** Its connection is left idle. */
    private Socket served(String id) throws IOException {
        Socket worker = taken(id);
        reports(id, "w1", ReportedState.DONE);
        turn();
        return worker;
    }

    @Test
    public void itHoldsUnderTheSameDeploymentsSettings() throws Exception {
        breaksAfterTwoSeconds();
        pools.settings(2_000 * MILLI, 20_000 * MILLI, true);
        Socket next = served("c");
        pass(1_500 * MILLI);
        assertEquals("retired", -1, next.getInputStream().read());
    }

    /**
     * It was kept, and each of the new deployment's connections was closed after half of a time
     * that its network never knew.
     */
    @Test
    public void itIsForgottenUnderAnothers() throws Exception {
        breaksAfterTwoSeconds();
        pools.settings(2_000 * MILLI, 20_000 * MILLI, false);
        Socket next = served("c");
        pass(11_000 * MILLI);
        open("d");
        turn();
        assertEquals("used again", "d", request(next).header("X-Request-Id"));
    }
}
