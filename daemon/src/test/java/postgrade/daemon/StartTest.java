package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
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
                        out -> script = new ScriptedPolicy(out),
                        new WatchTimeouts(20_000_000, 20_000_000, startMicros));
        daemon.start();
        script.expectEvent("list CACHED [w1 READY]");
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
    }

    @Test
    public void clientsWaitUntilDiscoveryAnswers() throws Exception {
        serve(20_000_000);
        script.onFinished = (id, outcome) -> script.actions.reject(id, 0);
        Socket consumer = post("b1", "price", "15000m");
        ReceivedMessage watch = discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        assertTrue("it waits in the backlog", script.events.isEmpty());
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(
                watch,
                workerListJson(43, false, workerEntry("w1", workerOne.address(), "draining")));
        script.expectEvent("list DELTA [w1 DRAINING]");
        script.expectEvent("job b1");
        script.expectEvent("finished b1 0 NOT_SENT false");
        assertTrue(
                "nothing has gone to a worker that was drained before the start",
                workerOne.hasNoMessage());
        assertEquals("and by now it has no worker", 503, readinessStatus());
        assertEquals(429, ScriptedPeer.read(consumer).status());
    }

    @Test
    public void clientsWaitNoLongerThanTheLimitWhileDiscoveryIsSilent() throws Exception {
        serve(100_000);
        Socket consumer = post("c1", "price", "15000m");
        script.expectEvent("job c1");
        workerOne.awaitMessage("POST").accept();
        callBack("c1", "w1", "done");
        assertEquals(200, ScriptedPeer.read(consumer).status());
    }
}
