package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * Many peers make the process hold memory for them, each less than its own limit. Guards against a
 * sum that grows with the number of peers: it is bounded, those that hold the most lose it first,
 * and a peer that holds little keeps its result.
 */
public class MemoryLimitTest extends LoopHarnessTestBase {

    private static final long LIMIT_BYTES = 32 << 20;
    private static final int PEERS = 330;

    /** So many peers come while a request of another client has arrived in part. */
    private static final int LAST_PEERS = 20;

    private static final String JOB_HEAD = "POST /api HTTP/1.1\r\nX-Class: price\r\n";

    private final List<Socket> flood = new ArrayList<>();

    @Before
    public void startHarness() throws Exception {
        startServingUsualJobs();
    }

    private static String job(String id, int length) {
        return JOB_HEAD + "X-Request-Id: " + id + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private void assertBounded() throws Exception {
        long[] used = new long[1];
        harness.runOnLoop(() -> used[0] = harness.loop.memory().usedBytes());
        assertTrue(used[0] + " bytes are held", used[0] <= LIMIT_BYTES);
    }

    /** What one client of the flood does. */
    private interface Flooder {
        void send(Socket client, int number) throws Exception;
    }

    /** Returns a client whose body comes in two parts, with the end of the flood between them. */
    private Socket floodAroundUsualJob(Flooder flooder) throws Exception {
        Socket usual = null;
        for (int i = 0; i < PEERS; i++) {
            if (i == PEERS - LAST_PEERS) {
                usual = connect();
                ScriptedPeer.write(usual, job("usual", 40_000) + "x".repeat(10_000));
            }
            flood.add(connect());
            flooder.send(flood.get(i), i);
        }
        return usual;
    }

    private void assertUsualJobServed(Socket client) throws Exception {
        ScriptedPeer.write(client, "x".repeat(30_000));
        ReceivedMessage job = workerOne.awaitMessage("POST");
        assertEquals(40_000, job.body().length());
        job.accept();
        assertEquals(204, callBack("usual", "w1", "done"));
        assertEquals(200, ScriptedPeer.read(client).status());
    }

    /** The job under way is answered, although what was sent behind it had to be dropped. */
    @Test
    public void inputBehindRequestsUnderWayIsBoundedOverAllPeers() throws Exception {
        Socket usual =
                floodAroundUsualJob(
                        (client, i) -> {
                            ScriptedPeer.write(
                                    client,
                                    job("flood" + i, 1)
                                            + "x"
                                            + job("b" + i, 60_000)
                                            + "x".repeat(60_000));
                            ScriptedPeer.write(client, job("c" + i, 60_000) + "x".repeat(50_000));
                            harness.script.expectEventAmongOthers("job flood" + i);
                        });
        assertBounded();
        assertUsualJobServed(usual);
        for (int i = 0; i < PEERS; i++) {
            int number = i;
            harness.runOnLoop(() -> harness.script.actions.fail("flood" + number));
        }
        int closed = 0;
        for (Socket client : flood) {
            ReceivedMessage answer = ScriptedPeer.read(client);
            assertEquals("no attempt was made", 429, answer.status());
            closed += "close".equals(answer.header("Connection")) ? 1 : 0;
        }
        assertTrue(closed + " were closed", closed > 0 && closed < PEERS);
    }

    @Test
    public void incompleteRequestsAreBoundedOverAllPeers() throws Exception {
        Socket usual =
                floodAroundUsualJob(
                        (client, i) ->
                                ScriptedPeer.write(
                                        client, job("half" + i, 65_536) + "x".repeat(65_000)));
        harness.awaitIteration();
        assertBounded();
        assertUsualJobServed(usual);
    }

    @Test
    public void answersThatAreNotReadAreBoundedOverAllPeers() throws Exception {
        String requests = "GET /-/ready HTTP/1.1\r\n\r\n".repeat(400);
        for (int i = 0; i < PEERS; i++) {
            Socket client = connect();
            client.setSoTimeout(1);
            flood.add(client);
        }
        for (int round = 0; round < 8; round++) {
            for (Socket client : flood) {
                writeUnlessClosed(client, requests);
            }
            assertBounded();
        }
        Socket usual = connect();
        ScriptedPeer.write(usual, job("usual", 40_000) + "x".repeat(10_000));
        assertUsualJobServed(usual);
    }

    private static void writeUnlessClosed(Socket client, String text) {
        try {
            client.getOutputStream().write(text.getBytes());
        } catch (IOException e) {
            // It held the most and was closed.
        }
    }
}
