package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * While discovery is down, only the workers' own answers tell that one of them drains. Discovery
 * never speaks here.
 */
public class DiscoveryDownTest extends DaemonTestBase {

    private ScriptedPeer otherWorker;

    /** The worker that was chosen has the job. */
    private ReceivedMessage firstAttempt() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ScriptedPeer.TIMEOUT_S);
        while (workerOne.hasNoMessage() && workerTwo.hasNoMessage()) {
            assertTrue("no worker was chosen", System.nanoTime() < end);
            Thread.sleep(1);
        }
        otherWorker = workerOne.hasNoMessage() ? workerOne : workerTwo;
        return (otherWorker == workerOne ? workerTwo : workerOne).awaitMessage("POST");
    }

    private void assertServedByOther(Socket consumer, String id) throws Exception {
        otherWorker.awaitMessage("POST").accept();
        callBack(id, otherWorker == workerOne ? "w1" : "w2", "done");
        assertEquals(200, ScriptedPeer.read(consumer).status());
    }

    @Test
    public void jobRefusedBeforeItRanIsServedElsewhereEvenIfNotIdempotent() throws Exception {
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        Socket consumer = post("h1", "confirm", "15000m");
        ScriptedPeer.write(
                firstAttempt().socket(),
                "HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        assertServedByOther(consumer, "h1");
    }

    @Test
    public void acceptedJobThatIsReturnedIsServedElsewhere() throws Exception {
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        Socket consumer = post("h2", "confirm", "15000m");
        firstAttempt().accept();
        callBack("h2", otherWorker == workerOne ? "w2" : "w1", "returned");
        assertServedByOther(consumer, "h2");
    }

    /** The process has ended with its release, of which nobody has told us. */
    @Test
    public void workerThatRefusesConnectionsIsSkipped() throws Exception {
        workerOne.close();
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        for (int i = 0; i < 10; i++) {
            Socket consumer = post("u" + i, "confirm", "15000m");
            workerTwo.awaitMessage("POST").accept();
            callBack("u" + i, "w2", "done");
            assertEquals(200, ScriptedPeer.read(consumer).status());
        }
    }
}
