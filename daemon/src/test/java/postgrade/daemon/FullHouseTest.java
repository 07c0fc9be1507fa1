package postgrade.daemon;

import static org.junit.Assert.assertTrue;

import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/** Every descriptor is taken, and each one that comes free is wanted. */
public class FullHouseTest extends DaemonTestBase {

    private static final int PLACES = 64;
    private static final int ACCEPTED = PLACES * 3 / 4;
    private static final int OF_DISCOVERY = 2;

    /** Far more turns than the watch's pause has, and few enough to remember each. */
    private static final int MOST_WANTS = 200_000;

    private volatile int wants;

    /** A list that cannot be followed lets jobs go to workers that drain. */
    @Test
    public void discoveryIsStillOpenedAgainAndHeard() throws Exception {
        descriptorLimit = PLACES + 32;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        String last = "busy" + (ACCEPTED - 1);
        script.onJob =
                job -> {
                    if (job.id().equals(last)) { // Now all connections to workers at once.
                        for (int i = 1; i < ACCEPTED; i++) {
                            script.actions.startAttempt("busy" + i, "w1", 0);
                        }
                    }
                };
        script.onFinished =
                (id, outcome) -> {
                    if (id.equals(last) && wants++ < MOST_WANTS) {
                        script.actions.startAttempt(
                                id, "w1", 0); // In each turn it wants a connection.
                    }
                };
        ReceivedMessage watch = discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(
                watch, workerListJson(42, false, workerEntry("w2", workerTwo.address(), "ready")));
        script.expectEventAmongOthers("list DELTA [w2 READY]");
        for (int i = 1; i < ACCEPTED; i++) { // The watch has one of them.
            post("busy" + i, "price", "600000m");
            script.expectEventAmongOthers("job busy" + i);
        }
        for (int i = 0; i < PLACES - OF_DISCOVERY - ACCEPTED; i++) {
            workerOne.awaitMessage("POST"); // Which says nothing to it, and keeps its connection.
        }
        for (int i = 0; i < 10; i++) {
            connect(); // And more wait to be accepted.
        }
        script.expectEventAmongOthers("finished " + last + " 0 NO_SOCKET false");
        assertTrue("still wanted", wants < MOST_WANTS);
        watch.socket().close();
        watch = discovery.awaitMessage("GET /api/targets?watch=1&from=42 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(
                watch,
                workerListJson(43, false, workerEntry("w1", workerOne.address(), "draining")));
        script.expectEventAmongOthers("list DELTA [w1 DRAINING]");
        assertTrue("wanted to the end", wants < MOST_WANTS);
    }
}
