package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import org.junit.Test;

/** Settings that allow two attempts of a job at once. */
public class ConcurrentAttemptsTest extends AttemptTestBase {

    public ConcurrentAttemptsTest() throws IOException {}

    @Override
    boolean allowsConcurrentAttempts() {
        return true;
    }

    @Test
    public void workerGetsAtMostOneAttemptOfAJob() throws Exception {
        submit("c1");
        runTurn();
        awaitRequest(worker1);
        policy.actions.startAttempt("c1", "w1", 0);
        policy.actions.startAttempt("c1", "w2", 0);
        runTurn();
        assertEquals("c1", awaitRequest(worker2).header("X-Request-Id"));
        runTurn();
        assertFinished("finished c1 1 NOT_SENT false");
    }
}
