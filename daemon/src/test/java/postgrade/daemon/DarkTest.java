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
public class DarkTest extends DaemonTestBase {

    private ScriptedPeer other;

    /** The worker that was chosen has the job. */
    private ReceivedMessage first() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ScriptedPeer.TIMEOUT_S);
        while (workerOne.hasNoMessage() && workerTwo.hasNoMessage()) {
            assertTrue("no worker was chosen", System.nanoTime() < end);
            Thread.sleep(1);
        }
        other = workerOne.hasNoMessage() ? workerOne : workerTwo;
        return (other == workerOne ? workerTwo : workerOne).awaitMessage("POST");
    }

    private void isServedByTheOther(Socket consumer, String id) throws Exception {
        other.awaitMessage("POST").accept();
        callBack(id, other == workerOne ? "w1" : "w2", "done");
        assertEquals(200, ScriptedPeer.read(consumer).status());
    }

    @Test
    public void whatIsHandedBackUnstartedIsServedElsewhereAlsoWhereItMustNotRunTwice()
            throws Exception {
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        Socket consumer = post("h1", "confirm", "15000m");
        ScriptedPeer.write(
                first().socket(),
                "HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        isServedByTheOther(consumer, "h1");
    }

    @Test
    public void soIsWhatIsTakenAndReturned() throws Exception {
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        Socket consumer = post("h2", "confirm", "15000m");
        first().accept();
        callBack("h2", other == workerOne ? "w2" : "w1", "returned");
        isServedByTheOther(consumer, "h2");
    }

    /** The process has ended with its release, of which nobody has told us. */
    @Test
    public void aWorkerThatRefusesConnectionsIsPassedOver() throws Exception {
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
