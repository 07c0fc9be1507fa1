package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Test;
import postgrade.discovery.WatchTimeouts;

/** Settings reloaded at run time are applied as a whole or not at all. */
public class ReloadTest extends DaemonTestBase {

    private Path file;
    private String text;

    private Config readConfig() throws Exception {
        Map<String, String> environment =
                configuration(workerEntry("w1", workerOne.address(), "ready"));
        file = Path.of(environment.get("ROUTER_CONFIG"));
        text = Files.readString(file);
        return Config.read(environment);
    }

    private void assertRejected(Config inForce, String from, String to, String error)
            throws Exception {
        assertTrue(from, text.contains(from));
        Files.writeString(file, text.replace(from, to));
        try {
            inForce.reread();
            fail("accepted: " + to);
        } catch (Config.InvalidConfigException e) {
            assertTrue(e.getMessage(), e.getMessage().startsWith(error));
        }
    }

    @Test
    public void anIncompleteFileIsRejectedWithTheKey() throws Exception {
        Config config = readConfig();
        assertRejected(config, text, "", "ROUTER_CONFIG: not a JSON object");
        assertRejected(
                config, text.substring(text.length() / 2), "", "ROUTER_CONFIG: not a JSON object");
        assertRejected(config, "\"discovery\"", "\"discover\"", "discovery: missing");
        assertRejected(config, "\"limits\":{\"sockets\":1024},", "", "limits: missing");
        assertRejected(config, "\"maxAttempts\":4,", "", "settings.limits.maxAttempts: missing");
        assertRejected(
                config,
                "\"onTimeNs\":20000000000,\"deadlineNs\":20000000000},{",
                "\"onTimeNs\":200000000},{",
                "settings.classes.0.deadlineNs: missing");
        assertRejected(
                config,
                "\"idempotency\":\"non_idempotent\",",
                "",
                "settings: classes.1.idempotency");
        assertRejected(
                config,
                "\"name\":\"confirm\"",
                "\"name\":\"price\"",
                "settings.classes.1.name: two classes");
        for (String invalid :
                new String[] {"0", "-1", "1.5", "\"4\"", "null", "true", "[]", "1e300"}) {
            assertRejected(
                    config,
                    "\"maxAttempts\":4",
                    "\"maxAttempts\":" + invalid,
                    "settings.limits.maxAttempts: ");
            assertRejected(
                    config, "20000000000},{", invalid + "},{", "settings.classes.0.deadlineNs: ");
        }
        assertRejected(
                config,
                "\"maxAttempts\":4",
                "\"maxAttempts\":NaN",
                "ROUTER_CONFIG: not a JSON object");
        assertRejected(
                config,
                text.substring(text.indexOf("\"classes\":["), text.indexOf("],\"limits\"")),
                "\"classes\":[",
                "settings: classes");
        Files.writeString(
                file, text.replace("\"price\"", "\"quote\"").replace(":20000000000}", ":2e9}"));
        assertEquals(
                Map.of("quote", 2_000_000L, "confirm", 2_000_000L), config.reread().deadlineMicros);
    }

    /**
     * An invalid configuration changes nothing, the address of discovery included; a valid one is
     * in force at once.
     */
    @Test
    public void newClassesAreServedRemovedOnesRejectedAndJobsInFlightContinue() throws Exception {
        Map<String, String> environment =
                configuration(workerEntry("w1", workerOne.address(), "ready"));
        file = Path.of(environment.get("ROUTER_CONFIG"));
        text = Files.readString(file);
        daemon =
                new Daemon(
                        Config.read(environment),
                        null,
                        out -> script = new ScriptedPolicy(out),
                        new WatchTimeouts(20_000_000, 20_000_000, 0));
        daemon.start();
        script.events.take();
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
        Socket inFlight = post("r1", "price", "15000m");
        script.expectEvent("job r1");
        workerOne.awaitMessage("POST").accept();
        discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        Files.writeString(
                file,
                text.replace(discovery.address(), workerTwo.address())
                        .replace("\"maxAttempts\":4,", ""));
        daemon.reload();
        assertEquals("the file has been read by this answer", 200, readinessStatus());
        Files.writeString(file, text.replace("\"price\"", "\"quote\""));
        daemon.reload();
        script.expectEvent("settings [quote, confirm]");
        assertTrue("an invalid file has no effect", workerTwo.hasNoMessage());
        assertEquals(400, ScriptedPeer.read(post("r2", "price", "15000m")).status());
        Socket fresh = post("r3", "quote", "15000m");
        script.expectEvent("job r3");
        workerOne.awaitMessage("POST").accept();
        callBack("r1", "w1", "done");
        assertEquals(200, ScriptedPeer.read(inFlight).status());
        callBack("r3", "w1", "done");
        assertEquals(200, ScriptedPeer.read(fresh).status());
    }

    /**
     * Attempts on a draining worker continue and it gets no more; an attempt that waits for a
     * connection keeps its class and its deadline.
     */
    @Test
    public void aReloadAffectsNeitherADrainingWorkerNorAWaitingAttempt() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unresponsive.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
            for (int i = 0; i < 2; i++) {
                // Fills the backlog.
                sockets.add(new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
            }
            Map<String, String> environment =
                    configuration(
                            workerEntry("w1", workerOne.address(), "ready"),
                            workerEntry(
                                    "late", "127.0.0.1:" + unresponsive.getLocalPort(), "ready"));
            file = Path.of(environment.get("ROUTER_CONFIG"));
            daemon =
                    new Daemon(
                            Config.read(environment),
                            null,
                            out -> script = new ScriptedPolicy(out),
                            new WatchTimeouts(20_000_000, 20_000_000, 0));
            daemon.start();
            script.onJob =
                    job ->
                            script.actions.startAttempt(
                                    job.id(), job.id().startsWith("late") ? "late" : "w1", 0);
            Socket inFlight = post("held", "price", "15000m");
            workerOne.awaitMessage("POST").accept();
            Socket waiting = post("late1", "price", "15000m");
            script.expectEventAmongOthers("job late1");
            answerWatch(
                    workerListJson(42, false, workerEntry("w1", workerOne.address(), "draining")));
            script.expectEvent("list DELTA [w1 DRAINING]");
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace("\"price\"", "\"quote\"")
                            .replace(
                                    "\"connIdleNs\":" + idleTimeoutNs,
                                    "\"connIdleNs\":1000000000"));
            daemon.reload();
            script.expectEvent("settings [quote, confirm]");
            script.onFinished = (id, outcome) -> script.actions.reject(id, 0);
            Socket next = post("next", "quote", "15000m");
            script.expectEvent("job next");
            script.expectEvent("finished next 0 NOT_SENT false");
            assertEquals("its worker is draining", 429, ScriptedPeer.read(next).status());
            for (int i = 0; i < 3; i++) {
                // The third is the daemon's: it succeeds when the system retries the connect.
                sockets.add(unresponsive.accept());
            }
            ScriptedPeer.ReceivedMessage job = ScriptedPeer.read(sockets.get(sockets.size() - 1));
            assertEquals("late1", job.header("X-Request-Id"));
            job.accept();
            for (String[] done : new String[][] {{"late1", "late"}, {"held", "w1"}}) {
                assertEquals(204, callBack(done[0], done[1], "done"));
                ScriptedPeer.ReceivedMessage answer =
                        ScriptedPeer.read(done[0].equals("held") ? inFlight : waiting);
                assertEquals(200, answer.status());
                assertEquals("made by " + done[1], answer.body());
            }
            assertTrue("the draining worker gets nothing more", workerOne.hasNoMessage());
        }
    }
}
