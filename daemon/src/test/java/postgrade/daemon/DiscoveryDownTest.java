package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * While discovery is down, only the answers of the workers show that one of them is draining.
 * Discovery never answers in these tests.
 */
public class DiscoveryDownTest extends DaemonTestBase {

    private ScriptedPeer otherWorker;

    /** Returns the job as received by the worker that was chosen. */
    private ReceivedMessage firstAttempt() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ScriptedPeer.TIMEOUT_S);
        while (workerOne.hasNoMessage() && workerTwo.hasNoMessage()) {
            assertTrue("no worker was chosen", System.nanoTime() < end);
            Thread.sleep(1);
        }
        otherWorker = workerOne.hasNoMessage() ? workerOne : workerTwo;
        return (otherWorker == workerOne ? workerTwo : workerOne).awaitMessage("POST");
    }

    private void assertServedByOther(Socket client, String id) throws Exception {
        otherWorker.awaitMessage("POST").accept();
        callBack(id, otherWorker == workerOne ? "w1" : "w2", "done");
        assertEquals(200, ScriptedPeer.read(client).status());
    }

    @Test
    public void jobRefusedBeforeItRanIsServedElsewhereEvenIfNotIdempotent() throws Exception {
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        Socket client = post("h1", "confirm", "15000m");
        ScriptedPeer.write(
                firstAttempt().socket(),
                "HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        assertServedByOther(client, "h1");
    }

    @Test
    public void acceptedJobThatIsReturnedIsServedElsewhere() throws Exception {
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        Socket client = post("h2", "confirm", "15000m");
        firstAttempt().accept();
        callBack("h2", otherWorker == workerOne ? "w2" : "w1", "returned");
        assertServedByOther(client, "h2");
    }

    /** The process ended when it was replaced, and no list has reported that. */
    @Test
    public void workerThatRefusesConnectionsIsSkipped() throws Exception {
        workerOne.close();
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        for (int i = 0; i < 10; i++) {
            Socket client = post("u" + i, "confirm", "15000m");
            workerTwo.awaitMessage("POST").accept();
            callBack("u" + i, "w2", "done");
            assertEquals(200, ScriptedPeer.read(client).status());
        }
    }
}
