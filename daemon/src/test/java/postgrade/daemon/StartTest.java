package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import org.junit.Test;
import postgrade.daemon.Peer.Arrived;
import postgrade.discovery.WatchTimeouts;

/**
 * What the agent has counts as told from the first moment of a new process; the list known from
 * before may be old.
 */
public class StartTest extends DaemonTestBase {

    private void serve(long startMicros) throws Exception {
        daemon =
                new Daemon(
                        Config.read(configuration(workerEntry("w1", workerOne.address(), "ready"))),
                        null,
                        out -> script = new Script(out),
                        new WatchTimeouts(20_000_000, 20_000_000, startMicros));
        daemon.start();
        script.hears("list CACHED [w1 READY]");
        script.onJob = job -> script.out.startAttempt(job.id(), "w1", 0);
    }

    @Test
    public void consumersWaitUntilDiscoveryHasSpoken() throws Exception {
        serve(20_000_000);
        script.onFinished = (id, outcome) -> script.out.reject(id, 0);
        Socket consumer = post("b1", "price", "15000m");
        Arrived watch = discovery.next("GET /api/targets?watch=1&from=41 ");
        assertTrue("it waits in the backlog", script.heard.isEmpty());
        Peer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(
                watch,
                workerListJson(43, false, workerEntry("w1", workerOne.address(), "draining")));
        script.hears("list DELTA [w1 DRAINING]");
        script.hears("job b1");
        script.hears("finished b1 0 NOT_SENT false");
        assertTrue(
                "nothing has gone to a worker that was drained before the start",
                workerOne.nothingArrived());
        assertEquals("and by now it has no worker", 503, readinessStatus());
        assertEquals(429, Peer.read(consumer).status());
    }

    @Test
    public void butNotForLongWhileDiscoveryIsSilent() throws Exception {
        serve(100_000);
        Socket consumer = post("c1", "price", "15000m");
        script.hears("job c1");
        workerOne.next("POST").accept();
        callBack("c1", "w1", "done");
        assertEquals(200, Peer.read(consumer).status());
    }
}
