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

/** An extension is notified of events, constrains the policy and receives operators' calls. */
public class DispatcherExtensionTest extends DaemonTestBase
        implements DispatcherExtension, AdditionalEndpoints {

    private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
    private Host host;
    private volatile boolean initialized = true;
    private volatile long initTimeoutMicros = 1_000_000;
    private volatile boolean refusesConnections;
    private volatile long iterationMicros = -1;

    @Before
    public void installExtension() {
        withOperatorPort = true;
        extensionConfiguration =
                h -> {
                    host = h;
                    return this;
                };
    }

    private Socket postOnceListening(String id) throws Exception {
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

    private void expectEvent(String expected) throws InterruptedException {
        assertEquals(expected, events.poll(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Override
    public JobConstraints jobConstraints() {
        return JobConstraints.NONE;
    }

    @Override
    public boolean isInitialized() {
        return initialized;
    }

    @Override
    public long initTimeoutMicros() {
        return initTimeoutMicros;
    }

    @Override
    public boolean mayConnect(String worker, boolean forced) {
        if (refusesConnections) {
            events.add("connect " + worker + " " + forced);
        }
        return !refusesConnections;
    }

    @Override
    public void iterationStarted() {
        iterationMicros = host.timers().nowMicros();
    }

    @Override
    public AdditionalEndpoints operatorEndpoints() {
        return this;
    }

    @Override
    public void workerListChanged() {
        events.add("listed " + host.workers().stream().map(Host.WorkerStatus::id).toList());
    }

    @Override
    public void workerMaintenanceChanged(String worker, boolean inMaintenance) {
        events.add(worker + " " + inMaintenance);
    }

    @Override
    public void stopping() {
        events.add("stopping");
    }

    @Override
    public void close() {
        events.add("close");
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
        // Answered in a later iteration, as an answer from another thread would be.
        host.loopExecutor()
                .execute(() -> reply.answer(503, 1_200_000, "{\"length\":" + body.length + "}"));
    }

    @Test
    public void isNotifiedOfListsMaintenanceAndShutdownAndItsConstraintsReachThePolicy()
            throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        assertSame(JobConstraints.NONE, script.constraints);
        answerWatch(
                workerListJson(
                        42,
                        true,
                        workerEntry("w1", workerOne.address(), "ready"),
                        workerEntry("w2", workerTwo.address(), "ready")));
        expectEvent("listed [w1, w2]");
        script.expectEvent("list FULL [w1 READY, w2 READY]");
        assertEquals(
                200, operatorCall(daemon, "PUT /maintenance/enter", "{\"id\":\"w1\"}").status());
        expectEvent("w1 true");
        script.expectEvent("list DELTA [w1 DRAINING]");
        host.loopExecutor().execute(() -> host.setRateFactor(1.5));
        script.expectEvent("share 1.5");
        host.loopExecutor()
                .execute(
                        () ->
                                events.add(
                                        host.exitMaintenance("w1")
                                                + " "
                                                + host.isReady()
                                                + " "
                                                + host.isOnlyProcess()));
        expectEvent("true true true");
        script.expectEvent("list DELTA [w1 READY]");
        awaitStopped(stopInBackground(daemon));
        expectEvent("stopping");
        expectEvent("close");
    }

    @Test
    public void clientsAreNotAcceptedBeforeItIsInitialized() throws Exception {
        initialized = false;
        initTimeoutMicros = ScriptedPeer.TIMEOUT_S * 1_000_000L;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.reject(job.id(), 0);
        assertThrows(
                "clients turn to other dispatchers at once", ConnectException.class, this::connect);
        assertEquals(
                "it serves no clients yet", 503, operatorCall(daemon, "GET /status", "").status());
        host.loopExecutor().execute(() -> host.enterMaintenance("w1"));
        script.expectEvent("list DELTA [w1 DRAINING]");
        assertThrows(ConnectException.class, this::connect);
        initialized = true;
        Socket client = postOnceListening("a1");
        script.expectEvent("job a1");
        assertEquals(429, ScriptedPeer.read(client).status());
    }

    @Test
    public void isCalledAtTheStartOfAnIterationBeforeInputIsProcessed() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob =
                job -> {
                    events.add("iteration " + (iterationMicros == host.timers().nowMicros()));
                    script.actions.reject(job.id(), 0);
                };
        Socket client = post("t1", "price", "15000m");
        expectEvent("iteration true");
        assertEquals(429, ScriptedPeer.read(client).status());
    }

    @Test
    public void limitsConnectionsExceptWhereARequestNeedsOne() throws Exception {
        refusesConnections = true;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
        post("p1", "price", "15000m");
        expectEvent("connect w1 true");
        ReceivedMessage first = workerOne.awaitMessage("POST");
        // The first request is not answered, so its connection stays in use.
        post("p2", "price", "15000m");
        expectEvent("connect w1 false");
        expectEvent("connect w1 true");
        ReceivedMessage second = workerOne.awaitMessage("POST");
        assertNotSame(first.socket(), second.socket());
    }

    @Test
    public void initializationIsWaitedForOnlyUntilItsTimeout() throws Exception {
        initialized = false;
        initTimeoutMicros = 50_000;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.reject(job.id(), 0);
        Socket client = postOnceListening("b1");
        script.expectEvent("job b1");
        assertEquals(429, ScriptedPeer.read(client).status());
    }

    @Test
    public void additionalEndpointsAreHandledWithTheirOwnBodyLimits() throws Exception {
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
    public void noFileLoadsNoExtensionAndAFileWithoutOneOnTheClassPathIsAnError() throws Exception {
        Map<String, String> environment =
                new HashMap<>(configuration(workerEntry("w1", workerOne.address(), "ready")));
        assertEquals(null, ExtensionLoader.loadConfiguration(Config.read(environment)));
        environment.put("ROUTER_SHARING", "sharing.star");
        try {
            ExtensionLoader.loadConfiguration(Config.read(environment));
            fail("started without the extension that was asked for");
        } catch (Config.InvalidConfigException e) {
            assertTrue(e.getMessage(), e.getMessage().startsWith("sharing: "));
        }
    }

    @Test
    public void testClockAppliesDriftAndOffsetAndInvalidOnesAreReported() throws Exception {
        Clock fast = Clock.of("-60000000,20000");
        Clock plain = Clock.of("");
        long fastBefore = fast.micros();
        long plainBefore = plain.micros();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        long plainPassed = plain.micros() - plainBefore;
        assertTrue(
                "a drift of 2% is 4 ms in 200 ms",
                fast.micros() - fastBefore > plainPassed + 1_000);
        assertEquals(System.currentTimeMillis() - 60_000, fast.unixMillis(), 1_000);
        for (String invalid : List.of("7", "a,b", "0,200000", "1,2,3")) {
            try {
                Clock.of(invalid);
                fail(invalid);
            } catch (Config.InvalidConfigException e) {
                assertTrue(e.getMessage(), e.getMessage().startsWith("POSTGRADE_TEST_CLOCK: "));
            }
        }
    }
}
