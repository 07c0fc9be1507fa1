package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import java.net.ConnectException;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.extension.DispatcherExtension;
import postgrade.extension.Host;
import postgrade.operator.AdditionalEndpoints;
import postgrade.policy.api.JobConstraints;

/**
 * What stands beside a dispatcher hears what goes on, has its say, and is asked what operators want
 * of it.
 */
public class CompanionTest extends DaemonTestBase
        implements DispatcherExtension, AdditionalEndpoints {

    private final LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private Host host;
    private volatile boolean knows = true;
    private volatile long patienceMicros = 1_000_000;
    private volatile boolean paces;
    private volatile long turnMicros = -1;

    @Before
    public void besideTheDaemon() {
        withOperatorPort = true;
        extensionConfiguration =
                h -> {
                    host = h;
                    return this;
                };
    }

    private Socket postOnceItListens(String id) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ScriptedPeer.TIMEOUT_S);
        while (true) {
            try {
                return post(id, "price", "15000m");
            } catch (ConnectException e) {
                assertTrue("it never listened", System.nanoTime() < end);
                Thread.onSpinWait();
            }
        }
    }

    private void hears(String what) throws InterruptedException {
        assertEquals(what, heard.poll(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Override
    public JobConstraints jobConstraints() {
        return JobConstraints.NONE;
    }

    @Override
    public boolean isInitialized() {
        return knows;
    }

    @Override
    public long initTimeoutMicros() {
        return patienceMicros;
    }

    @Override
    public boolean mayConnect(String worker, boolean must) {
        if (paces) {
            heard.add("connect " + worker + " " + must);
        }
        return !paces;
    }

    @Override
    public void iterationStarted() {
        turnMicros = host.timers().nowMicros();
    }

    @Override
    public AdditionalEndpoints operatorEndpoints() {
        return this;
    }

    @Override
    public void workerListChanged() {
        heard.add("listed " + host.workers().stream().map(Host.WorkerStatus::id).toList());
    }

    @Override
    public void workerMaintenanceChanged(String worker, boolean out) {
        heard.add(worker + " " + out);
    }

    @Override
    public void stopping() {
        heard.add("stopping");
    }

    @Override
    public void close() {
        heard.add("close");
    }

    @Override
    public Set<String> allowedMethods(String path) {
        return path.startsWith("/calendar") ? Set.of("PUT") : Set.of();
    }

    @Override
    public int maxBodyBytes(String path) {
        return path.equals("/calendar") ? maxBodyBytes() : 64 << 10;
    }

    @Override
    public int maxBodyBytes() {
        return 100_000;
    }

    @Override
    public void handle(String method, String path, byte[] body, Reply reply) {
        // Answered in a later turn, as an answer from elsewhere would be.
        host.loopExecutor()
                .execute(() -> reply.answer(503, 1_200_000, "{\"length\":" + body.length + "}"));
    }

    @Test
    public void itHearsOfListsOperatorsAndTheEndAndItsShareAndAbilityReachTheModule()
            throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        assertSame(JobConstraints.NONE, script.constraints);
        answerWatch(
                workerListJson(
                        42,
                        true,
                        workerEntry("w1", workerOne.address(), "ready"),
                        workerEntry("w2", workerTwo.address(), "ready")));
        hears("listed [w1, w2]");
        script.expectEvent("list FULL [w1 READY, w2 READY]");
        assertEquals(
                200, operatorCall(daemon, "PUT /maintenance/enter", "{\"id\":\"w1\"}").status());
        hears("w1 true");
        script.expectEvent("list DELTA [w1 DRAINING]");
        host.loopExecutor().execute(() -> host.setRateFactor(1.5));
        script.expectEvent("share 1.5");
        host.loopExecutor()
                .execute(
                        () ->
                                heard.add(
                                        host.exitMaintenance("w1")
                                                + " "
                                                + host.isReady()
                                                + " "
                                                + host.isOnlyProcess()));
        hears("true true true");
        script.expectEvent("list DELTA [w1 READY]");
        awaitStopped(stopInBackground(daemon));
        hears("stopping");
        hears("close");
    }

    @Test
    public void consumersWaitUntilItKnowsWhichWorkersAreOut() throws Exception {
        knows = false;
        patienceMicros = ScriptedPeer.TIMEOUT_S * 1_000_000L;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.reject(job.id(), 0);
        assertThrows("they turn to others at once", ConnectException.class, this::connect);
        assertEquals(
                "it takes no consumers yet", 503, operatorCall(daemon, "GET /status", "").status());
        host.loopExecutor().execute(() -> host.enterMaintenance("w1"));
        script.expectEvent("list DELTA [w1 DRAINING]");
        assertThrows(ConnectException.class, this::connect);
        knows = true;
        Socket consumer = postOnceItListens("a1");
        script.expectEvent("job a1");
        assertEquals(429, ScriptedPeer.read(consumer).status());
    }

    @Test
    public void itIsAskedWhenATurnBeginsBeforeAnythingIsTakenIn() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob =
                job -> {
                    heard.add("turn " + (turnMicros == host.timers().nowMicros()));
                    script.actions.reject(job.id(), 0);
                };
        Socket consumer = post("t1", "price", "15000m");
        hears("turn true");
        assertEquals(429, ScriptedPeer.read(consumer).status());
    }

    @Test
    public void itPacesConnectionsAndARequestThatWaitsForOneHasItAllTheSame() throws Exception {
        paces = true;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
        post("p1", "price", "15000m");
        hears("connect w1 true");
        ReceivedMessage first = workerOne.awaitMessage("POST");
        post("p2", "price", "15000m"); // The first is not answered, so its connection stays in use.
        hears("connect w1 false");
        hears("connect w1 true");
        ReceivedMessage second = workerOne.awaitMessage("POST");
        assertNotSame(first.socket(), second.socket());
    }

    @Test
    public void butOnlySoLong() throws Exception {
        knows = false;
        patienceMicros = 50_000;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.reject(job.id(), 0);
        Socket consumer = postOnceItListens("b1");
        script.expectEvent("job b1");
        assertEquals(429, ScriptedPeer.read(consumer).status());
    }

    @Test
    public void operatorsCallsBeyondTheDailyOnesAreItsOwnEachWithItsBound() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        ReceivedMessage answer = operatorCall(daemon, "PUT /calendar", "x".repeat(100_000));
        assertEquals("{\"length\":100000}\n", answer.body());
        assertEquals(503, answer.status());
        assertEquals("in whole seconds, never too early", "2", answer.header("Retry-After"));
        assertEquals(413, operatorCall(daemon, "PUT /calendar/x", "x".repeat(70_000)).status());
        assertEquals(
                413, operatorCall(daemon, "PUT /maintenance/enter", "x".repeat(70_000)).status());
        assertEquals(405, operatorCall(daemon, "GET /calendar", "").status());
        assertEquals(404, operatorCall(daemon, "GET /nowhere", "").status());
        assertEquals(200, operatorCall(daemon, "GET /status", "").status());
    }

    @Test
    public void withoutAFileNothingIsLookedForAndAFileWithoutSharingInTheProgramIsAFault()
            throws Exception {
        Map<String, String> environment =
                new HashMap<>(configuration(workerEntry("w1", workerOne.address(), "ready")));
        assertEquals(null, ExtensionLoader.loadConfiguration(Config.read(environment)));
        environment.put("ROUTER_SHARING", "sharing.star");
        try {
            ExtensionLoader.loadConfiguration(Config.read(environment));
            fail("started without what was asked for");
        } catch (Config.InvalidConfigException e) {
            assertTrue(e.getMessage(), e.getMessage().startsWith("sharing: "));
        }
    }

    @Test
    public void aTestsClockRunsFastAndIsOffAndAFaultyOneIsNamed() throws Exception {
        Clock fast = Clock.of("-60000000,20000");
        Clock plain = Clock.of("");
        long fastBefore = fast.micros();
        long plainBefore = plain.micros();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        long plainPassed = plain.micros() - plainBefore;
        assertTrue("2% in 200 ms are 4 ms", fast.micros() - fastBefore > plainPassed + 1_000);
        assertEquals(System.currentTimeMillis() - 60_000, fast.unixMillis(), 1_000);
        for (String faulty : List.of("7", "a,b", "0,200000", "1,2,3")) {
            try {
                Clock.of(faulty);
                fail(faulty);
            } catch (Config.InvalidConfigException e) {
                assertTrue(e.getMessage(), e.getMessage().startsWith("POSTGRADE_TEST_CLOCK: "));
            }
        }
    }
}
