package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import org.junit.Test;

/** Where two attempts of a job may be out at once. */
public class CopiesTest extends AttemptStage {

    public CopiesTest() throws IOException {}

    @Override
    boolean mayDuplicate() {
        return true;
    }

    @Test
    public void aWorkerHasOneOfThemAllTheSame() throws Exception {
        open("c1");
        turn();
        request(one);
        script.out.startAttempt("c1", "w1", 0);
        script.out.startAttempt("c1", "w2", 0);
        turn();
        assertEquals("c1", request(two).header("X-Request-Id"));
        turn();
        hasHeard("finished c1 1 NOT_SENT false");
    }
}
