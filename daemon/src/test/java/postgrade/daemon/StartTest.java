package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.discovery.WatchTimeouts;

/**
 * A drain known to the discovery agent binds a new process from its first moment, and the cached
 * worker list may be out of date: clients wait for the first update from discovery.
 */
public class StartTest extends DaemonTestBase {

    private void serve(long discoveryWaitMicros) throws Exception {
        daemon =
                new Daemon(
                        Config.read(configuration(workerEntry("w1", workerOne.address(), "ready"))),
                        null,
                        out -> script = new ScriptedPolicy(out),
                        new WatchTimeouts(20_000_000, 20_000_000, discoveryWaitMicros));
        daemon.start();
        script.expectEvent("list CACHED [w1 READY]");
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
    }

    @Test
    public void clientsWaitUntilDiscoveryAnswers() throws Exception {
        serve(20_000_000);
        script.onFinished = (id, outcome) -> script.actions.reject(id, 0);
        Socket client = post("b1", "price", "15000m");
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
                "nothing is sent to a worker that was drained before the start",
                workerOne.hasNoMessage());
        assertEquals("no worker is left by now", 503, readinessStatus());
        assertEquals(429, ScriptedPeer.read(client).status());
    }

    @Test
    public void clientsWaitNoLongerThanTheLimitWhileDiscoveryIsSilent() throws Exception {
        serve(100_000);
        Socket client = post("c1", "price", "15000m");
        script.expectEvent("job c1");
        workerOne.awaitMessage("POST").accept();
        callBack("c1", "w1", "done");
        assertEquals(200, ScriptedPeer.read(client).status());
    }
}
