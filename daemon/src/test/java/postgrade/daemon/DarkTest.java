package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import postgrade.daemon.Peer.Arrived;

/**
 * While discovery is down, only the workers' own answers tell that one of them drains. Discovery
 * never speaks here.
 */
public class DarkTest extends DaemonTestBase {

    private Peer other;

    /** The worker that was chosen has the job. */
    private Arrived first() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S);
        while (workerOne.nothingArrived() && workerTwo.nothingArrived()) {
            assertTrue("no worker was chosen", System.nanoTime() < end);
            Thread.sleep(1);
        }
        other = workerOne.nothingArrived() ? workerOne : workerTwo;
        return (other == workerOne ? workerTwo : workerOne).next("POST");
    }

    private void isServedByTheOther(Socket consumer, String id) throws Exception {
        other.next("POST").accept();
        callBack(id, other == workerOne ? "w1" : "w2", "done");
        assertEquals(200, Peer.read(consumer).status());
    }

    @Test
    public void whatIsHandedBackUnstartedIsServedElsewhereAlsoWhereItMustNotRunTwice()
            throws Exception {
        startDaemon(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        Socket consumer = post("h1", "confirm", "15000m");
        Peer.write(
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
            workerTwo.next("POST").accept();
            callBack("u" + i, "w2", "done");
            assertEquals(200, Peer.read(consumer).status());
        }
    }
}
