package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.After;
import org.junit.Before;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * The stage of what SIGTERM crosses: the loop with all that serves clients and ends, and a hook
 * into its turns.
 */
public abstract class ShutdownStage extends DaemonTestBase {

    /**
     * SIGKILL comes 1.5 s after SIGTERM at the earliest, resting connections are closed from 0.5 s
     * on.
     */
    static final long DEADLINE_NS = 800_000_000L;

    static final long UNTIL_LEAVING_MILLIS = 600;
    static final long KILL_MILLIS = 1_500;

    /** Longer than two sweeps and checks. */
    static final long SWEEPS_MILLIS = 120;

    LoopHarness turns;

    @Before
    public void turn() throws Exception {
        Path file = Path.of(configuration().get("ROUTER_CONFIG"));
        Files.writeString(file, Files.readString(file).replace("20000000000", "" + DEADLINE_NS));
        turns = new LoopHarness(Config.read(Map.of("ROUTER_CONFIG", file.toString())), 64);
        turns.script.onJob = job -> turns.script.actions.reject(job.id(), 0);
    }

    @After
    public void close() throws IOException {
        turns.close();
    }

    @Override
    Socket connect() throws IOException {
        return turns.connect();
    }

    Socket resting(String id) throws Exception {
        Socket s = turns.post(id);
        turns.script.expectEvent("job " + id);
        assertEquals(429, ScriptedPeer.read(s).status());
        return s;
    }

    /** SIGTERM, with the loop held until connections are to be closed. */
    void stop(LoopHarness.IoAction whileHeld, LoopHarness.IoAction afterSelect) throws Exception {
        turns.runOnLoop(turns.shutdown::begin);
        turns.interleave(UNTIL_LEAVING_MILLIS, whileHeld, afterSelect);
    }

    static void rejectedAndEnded(Socket s) throws IOException {
        ReceivedMessage answer = ScriptedPeer.read(s);
        assertEquals(429, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertEquals(-1, s.getInputStream().read());
    }
}
