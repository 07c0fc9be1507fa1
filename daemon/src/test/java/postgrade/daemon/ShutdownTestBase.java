package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Before;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * Base of tests of requests that race with SIGTERM: the loop with everything that serves clients
 * and shuts down, with a hook into its iterations.
 */
public abstract class ShutdownTestBase extends LoopHarnessTestBase {

    /**
     * With this deadline SIGKILL comes 1.5 s after SIGTERM at the earliest, and idle connections
     * are closed from 0.5 s on.
     */
    static final long DEADLINE_NS = 800_000_000L;

    static final long CLOSE_IDLE_MILLIS = 600;
    static final long KILL_MILLIS = 1_500;

    /** Longer than two sweeps and checks. */
    static final long TWO_SWEEPS_MILLIS = 120;

    @Before
    public void startHarness() throws Exception {
        Path file = Path.of(configuration().get("ROUTER_CONFIG"));
        Files.writeString(file, Files.readString(file).replace("20000000000", "" + DEADLINE_NS));
        harness = new LoopHarness(Config.read(Map.of("ROUTER_CONFIG", file.toString())), 64);
        harness.script.onJob = job -> harness.script.actions.reject(job.id(), 0);
    }

    Socket idleConnection(String id) throws Exception {
        Socket s = harness.post(id);
        harness.script.expectEvent("job " + id);
        assertEquals(429, ScriptedPeer.read(s).status());
        return s;
    }

    /** Simulates SIGTERM and holds the loop until idle connections are due to be closed. */
    void stopAndHold(LoopHarness.IoAction whileHeld, LoopHarness.IoAction afterSelect)
            throws Exception {
        harness.runOnLoop(harness.shutdown::begin);
        harness.interleave(CLOSE_IDLE_MILLIS, whileHeld, afterSelect);
    }

    static void assertRejectedAndClosed(Socket s) throws IOException {
        ReceivedMessage answer = ScriptedPeer.read(s);
        assertEquals(429, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertEquals(-1, s.getInputStream().read());
    }
}
