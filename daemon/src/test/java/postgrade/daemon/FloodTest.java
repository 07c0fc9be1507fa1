package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * Clients that send as much as is kept, and go: others' jobs and call-backs are served meanwhile,
 * and nothing of it stays.
 */
public class FloodTest extends DaemonTestBase {

    private static final int BODY = 65_536;
    private static final int FILLS = (24 << 20) / BODY;
    private static final String LARGE =
            "POST /api HTTP/1.1\r\nX-Class: price\r\nContent-Length: "
                    + BODY
                    + "\r\nX-Request-Id: ";

    private LoopHarness turns;

    @Before
    public void turn() throws Exception {
        turns = new LoopHarness(Config.read(configuration()), 1024);
        turns.addWorker("w1", workerOne);
        turns.script.onJob =
                job -> {
                    if (job.id().startsWith("usual")) {
                        turns.script.actions.startAttempt(job.id(), "w1", 0);
                    }
                };
    }

    @After
    public void close() throws IOException {
        turns.close();
    }

    @Override
    Socket connect() throws IOException {
        return turns.connect();
    }

    private void usualIsServed(String id) throws Exception {
        Socket client = turns.post(id);
        workerOne.awaitMessage("POST").accept();
        assertEquals(204, callBack(id, "w1", "done"));
        assertEquals(200, ScriptedPeer.read(client).status());
    }

    @Test
    public void whatIsKeptForThemHasABoundAndIsFreeOnceTheyHaveGone() throws Exception {
        List<Socket> flood = new ArrayList<>();
        for (int i = 0; i < FILLS; i++) {
            flood.add(turns.connect());
            ScriptedPeer.write(flood.get(i), LARGE + "flood" + i + "\r\n\r\n" + "x".repeat(BODY));
            turns.script.expectEvent("job flood" + i);
        }
        Socket over = turns.connect();
        ScriptedPeer.write(
                over, LARGE + "over\r\n\r\n" + "x".repeat(BODY - 1)); // Not whole, and never to be.
        ReceivedMessage answer = ScriptedPeer.read(over);
        assertEquals(429, answer.status());
        assertEquals("ended, not reset", -1, over.getInputStream().read());
        usualIsServed("usual0");
        turns.interleave(
                0,
                () -> {
                    for (int i = 0; i < flood.size(); i++) {
                        Socket s = flood.get(i);
                        ScriptedPeer.write(
                                s, LARGE + "more" + i + "\r\n\r\n" + "x".repeat(BODY / 2));
                        if (i % 2 == 0) {
                            s.setSoLinger(true, 0); // With a reset.
                        }
                        s.close();
                    }
                },
                () -> {});
        usualIsServed("usual1");
        turns.script.events.clear();
        Socket large = turns.connect();
        ScriptedPeer.write(large, LARGE + "large\r\n\r\n" + "x".repeat(BODY));
        turns.script.expectEventAmongOthers("job large");
        assertTrue("of the flood nothing was sent on", workerOne.hasNoMessage());
    }
}
