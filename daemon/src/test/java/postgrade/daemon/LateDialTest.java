package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import org.junit.Test;
import postgrade.daemon.Peer.Arrived;

/** Connections to workers that come up long after an attempt was decided on. */
public class LateDialTest extends AttemptStage {

    public LateDialTest() throws IOException { }

    /** What it told was the time left when it was decided on, up to a connect's time more than was left at the send. */
    @Test
    public void anAttemptTellsWhatIsLeftWhenItIsWritten() throws Exception {
        open("d1");
        turn();
        Socket worker = accept(one); // Up, which the loop has not seen yet.
        pass(1_500 * MILLI);
        Arrived job = request(worker);
        assertEquals(DEADLINE - 1_500 * MILLI + "u", job.header("X-Deadline"));
    }
}
