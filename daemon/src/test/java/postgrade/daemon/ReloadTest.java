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

/** New settings under way: taken over whole, or not at all. */
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

    private void assertRejected(Config inForce, String from, String to, String why)
            throws Exception {
        assertTrue(from, text.contains(from));
        Files.writeString(file, text.replace(from, to));
        try {
            inForce.reread();
            fail("taken over: " + to);
        } catch (Config.InvalidConfigException e) {
            assertTrue(e.getMessage(), e.getMessage().startsWith(why));
        }
    }

    @Test
    public void anIncompleteFileIsRejectedWithTheKey() throws Exception {
        Config c = readConfig();
        assertRejected(c, text, "", "ROUTER_CONFIG: not a JSON object");
        assertRejected(
                c, text.substring(text.length() / 2), "", "ROUTER_CONFIG: not a JSON object");
        assertRejected(c, "\"discovery\"", "\"discover\"", "discovery: missing");
        assertRejected(c, "\"limits\":{\"sockets\":1024},", "", "limits: missing");
        assertRejected(c, "\"maxAttempts\":4,", "", "settings.limits.maxAttempts: missing");
        assertRejected(
                c,
                "\"onTimeNs\":20000000000,\"deadlineNs\":20000000000},{",
                "\"onTimeNs\":200000000},{",
                "settings.classes.0.deadlineNs: missing");
        assertRejected(
                c, "\"idempotency\":\"non_idempotent\",", "", "settings: classes.1.idempotency");
        assertRejected(
                c,
                "\"name\":\"confirm\"",
                "\"name\":\"price\"",
                "settings.classes.1.name: two classes");
        for (String bad : new String[] {"0", "-1", "1.5", "\"4\"", "null", "true", "[]", "1e300"}) {
            assertRejected(
                    c,
                    "\"maxAttempts\":4",
                    "\"maxAttempts\":" + bad,
                    "settings.limits.maxAttempts: ");
            assertRejected(c, "20000000000},{", bad + "},{", "settings.classes.0.deadlineNs: ");
        }
        assertRejected(
                c, "\"maxAttempts\":4", "\"maxAttempts\":NaN", "ROUTER_CONFIG: not a JSON object");
        assertRejected(
                c,
                text.substring(text.indexOf("\"classes\":["), text.indexOf("],\"limits\"")),
                "\"classes\":[",
                "settings: classes");
        Files.writeString(
                file, text.replace("\"price\"", "\"quote\"").replace(":20000000000}", ":2e9}"));
        assertEquals(Map.of("quote", 2_000_000L, "confirm", 2_000_000L), c.reread().deadlineMicros);
    }

    /**
     * What is faulty changes nothing, discovery's address included; what is right is in force at
     * once.
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
        Socket underWay = post("r1", "price", "15000m");
        script.expectEvent("job r1");
        workerOne.awaitMessage("POST").accept();
        discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        Files.writeString(
                file,
                text.replace(discovery.address(), workerTwo.address())
                        .replace("\"maxAttempts\":4,", ""));
        daemon.reload();
        assertEquals("and by this answer it has been read", 200, readinessStatus());
        Files.writeString(file, text.replace("\"price\"", "\"quote\""));
        daemon.reload();
        script.expectEvent("settings [quote, confirm]");
        assertTrue("a faulty file moves nothing", workerTwo.hasNoMessage());
        assertEquals(400, ScriptedPeer.read(post("r2", "price", "15000m")).status());
        Socket fresh = post("r3", "quote", "15000m");
        script.expectEvent("job r3");
        workerOne.awaitMessage("POST").accept();
        callBack("r1", "w1", "done");
        assertEquals(200, ScriptedPeer.read(underWay).status());
        callBack("r3", "w1", "done");
        assertEquals(200, ScriptedPeer.read(fresh).status());
    }

    /**
     * What a worker that drains has goes on and it gets no more; what waits for a connection keeps
     * its class and its time.
     */
    @Test
    public void aReloadAffectsNeitherADrainingWorkerNorAWaitingAttempt() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            deaf.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
            for (int i = 0; i < 2; i++) {
                sockets.add(
                        new Socket(deaf.getInetAddress(), deaf.getLocalPort())); // A full backlog.
            }
            Map<String, String> environment =
                    configuration(
                            workerEntry("w1", workerOne.address(), "ready"),
                            workerEntry("late", "127.0.0.1:" + deaf.getLocalPort(), "ready"));
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
            Socket held = post("held", "price", "15000m");
            workerOne.awaitMessage("POST").accept();
            Socket waits = post("late1", "price", "15000m");
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
            assertEquals("its worker drains", 429, ScriptedPeer.read(next).status());
            for (int i = 0; i < 3; i++) {
                sockets.add(deaf.accept()); // The third is ours: it comes up with the system's next
                // try.
            }
            ScriptedPeer.ReceivedMessage job = ScriptedPeer.read(sockets.get(sockets.size() - 1));
            assertEquals("late1", job.header("X-Request-Id"));
            job.accept();
            for (String[] done : new String[][] {{"late1", "late"}, {"held", "w1"}}) {
                assertEquals(204, callBack(done[0], done[1], "done"));
                ScriptedPeer.ReceivedMessage answer =
                        ScriptedPeer.read(done[0].equals("held") ? held : waits);
                assertEquals(200, answer.status());
                assertEquals("made by " + done[1], answer.body());
            }
            assertTrue("nothing more came to the one that drains", workerOne.hasNoMessage());
        }
    }
}
