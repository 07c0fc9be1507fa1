package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * Clients fill the memory limit for bodies and disconnect: other clients' jobs and call-backs must
 * be served meanwhile, and all of the memory must be released.
 */
public class MemoryFloodTest extends LoopHarnessTestBase {

    private static final int BODY_BYTES = 65_536;
    private static final int REQUESTS_TO_FILL = (24 << 20) / BODY_BYTES;
    private static final String LARGE_REQUEST_HEAD =
            "POST /api HTTP/1.1\r\nX-Class: price\r\nContent-Length: "
                    + BODY_BYTES
                    + "\r\nX-Request-Id: ";

    @Before
    public void startHarness() throws Exception {
        startServingUsualJobs();
    }

    private void assertUsualJobServed(String id) throws Exception {
        Socket client = harness.post(id);
        workerOne.awaitMessage("POST").accept();
        assertEquals(204, callBack(id, "w1", "done"));
        assertEquals(200, ScriptedPeer.read(client).status());
    }

    @Test
    public void heldBytesAreBoundedAndReleasedOnDisconnect() throws Exception {
        List<Socket> flood = new ArrayList<>();
        for (int i = 0; i < REQUESTS_TO_FILL; i++) {
            flood.add(harness.connect());
            ScriptedPeer.write(
                    flood.get(i),
                    LARGE_REQUEST_HEAD + "flood" + i + "\r\n\r\n" + "x".repeat(BODY_BYTES));
            harness.script.expectEvent("job flood" + i);
        }
        Socket over = harness.connect();
        // Incomplete, and never completed.
        ScriptedPeer.write(over, LARGE_REQUEST_HEAD + "over\r\n\r\n" + "x".repeat(BODY_BYTES - 1));
        ReceivedMessage answer = ScriptedPeer.read(over);
        assertEquals(429, answer.status());
        assertEquals("ended, not reset", -1, over.getInputStream().read());
        assertUsualJobServed("usual0");
        harness.interleave(
                0,
                () -> {
                    for (int i = 0; i < flood.size(); i++) {
                        Socket s = flood.get(i);
                        ScriptedPeer.write(
                                s,
                                LARGE_REQUEST_HEAD
                                        + "more"
                                        + i
                                        + "\r\n\r\n"
                                        + "x".repeat(BODY_BYTES / 2));
                        if (i % 2 == 0) {
                            s.setSoLinger(true, 0); // Closes with a reset.
                        }
                        s.close();
                    }
                },
                () -> {});
        assertUsualJobServed("usual1");
        harness.script.events.clear();
        Socket large = harness.connect();
        ScriptedPeer.write(large, LARGE_REQUEST_HEAD + "large\r\n\r\n" + "x".repeat(BODY_BYTES));
        harness.script.expectEventAmongOthers("job large");
        assertTrue("nothing of the flood was sent on to the worker", workerOne.hasNoMessage());
    }
}
