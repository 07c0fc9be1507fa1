package postgrade.daemon;

import static org.junit.Assert.assertTrue;

import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/** All file descriptors are in use, and each one that becomes free is requested at once. */
public class DescriptorExhaustionTest extends DaemonTestBase {

    private static final int SOCKET_LIMIT = 64;
    private static final int ACCEPTED = SOCKET_LIMIT * 3 / 4;
    private static final int DISCOVERY_SOCKETS = 2;

    /**
     * Far more iterations than the pause before the watch is reopened takes, and few enough to
     * record each.
     */
    private static final int MAX_CONNECTION_REQUESTS = 200_000;

    private volatile int connectionRequests;

    /** Without discovery updates, jobs would be sent to workers that are draining. */
    @Test
    public void discoveryWatchIsReopenedAndRead() throws Exception {
        descriptorLimit = SOCKET_LIMIT + 32;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        String last = "busy" + (ACCEPTED - 1);
        script.onJob =
                job -> {
                    if (job.id().equals(last)) { // Requests all connections to workers at once.
                        for (int i = 1; i < ACCEPTED; i++) {
                            script.actions.startAttempt("busy" + i, "w1", 0);
                        }
                    }
                };
        script.onFinished =
                (id, outcome) -> {
                    if (id.equals(last) && connectionRequests++ < MAX_CONNECTION_REQUESTS) {
                        // Requests a connection in every iteration.
                        script.actions.startAttempt(id, "w1", 0);
                    }
                };
        ReceivedMessage watch = discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(
                watch, workerListJson(42, false, workerEntry("w2", workerTwo.address(), "ready")));
        script.expectEventAmongOthers("list DELTA [w2 READY]");
        for (int i = 1; i < ACCEPTED; i++) { // The watch uses one of the accepted share.
            post("busy" + i, "price", "600000m");
            script.expectEventAmongOthers("job busy" + i);
        }
        for (int i = 0; i < SOCKET_LIMIT - DISCOVERY_SOCKETS - ACCEPTED; i++) {
            // The worker does not answer, so the connection stays in use.
            workerOne.awaitMessage("POST");
        }
        for (int i = 0; i < 10; i++) {
            connect(); // Further connections wait in the backlog.
        }
        script.expectEventAmongOthers("finished " + last + " 0 NO_SOCKET false");
        assertTrue("connections are still requested", connectionRequests < MAX_CONNECTION_REQUESTS);
        watch.socket().close();
        watch = discovery.awaitMessage("GET /api/targets?watch=1&from=42 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(
                watch,
                workerListJson(43, false, workerEntry("w1", workerOne.address(), "draining")));
        script.expectEventAmongOthers("list DELTA [w1 DRAINING]");
        assertTrue("requested to the end", connectionRequests < MAX_CONNECTION_REQUESTS);
    }
}
