package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.extension.DispatcherExtension;
import postgrade.operator.AdditionalEndpoints;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.PolicyStateEntry;

/**
 * What the old process of a dispatcher hands over to the new one, and what happens if either fails
 * early.
 */
public class HandOverTest extends DaemonTestBase {

    private static final String HOST = "127.0.0.78";
    private Map<String, String> environment;

    @Before
    public void configureSharedDirectory() throws IOException {
        withOperatorPort = true;
        listen = reserveAddress(HOST);
        sharedDirectory = Files.createDirectory(folder.getRoot().toPath().resolve("t"));
        environment =
                configuration(
                        workerEntry("w1", workerOne.address(), "ready"),
                        workerEntry("w2", workerTwo.address(), "ready"));
    }

    @Test
    public void learntFiguresAreHandedOverAndTheRateIsHalved() throws Exception {
        daemon =
                new Daemon(
                        Config.read(environment),
                        null,
                        out -> script = new ScriptedPolicy(out),
                        WATCH_TIMEOUTS);
        ScriptedPolicy first = script;
        first.exportedFigures =
                List.of(
                        new PolicyStateEntry("tenant", "t", new double[] {2.5, 40, 0, 1e9}),
                        new PolicyStateEntry("cold", "w1", new double[] {5e8, 1.5, 2e8, 0.5}),
                        new PolicyStateEntry("class", "price", new double[] {4e6, 120, 0.25}));
        daemon.start();
        first.expectEvent("list CACHED [w1 READY, w2 READY]");
        Daemon second =
                new Daemon(
                        Config.read(environment),
                        null,
                        out -> script = new ScriptedPolicy(out),
                        WATCH_TIMEOUTS);
        second.start();
        script.expectEvent("list CACHED [w1 READY, w2 READY]");
        script.expectEvent("share 0.5");
        script.expectEvent(
                "learn [tenant t [2.5, 40.0, 0.0, 1.0E9], cold w1 [5.0E8, 1.5, 2.0E8, 0.5], "
                        + "class price [4000000.0, 120.0, 0.25]]");
        first.expectEvent("share 0.5");
        awaitStopped(stopInBackground(daemon));
        awaitStopped(stopInBackground(second));
    }

    @Test
    public void aDisabledWorkerStaysDisabledIfTheOldProcessDiesDuringHandOver() throws Exception {
        daemon = new Daemon(Config.read(environment));
        daemon.start();
        assertEquals(
                200, operatorCall(daemon, "PUT /maintenance/enter", "{\"id\":\"w1\"}").status());
        Path link = LinkFiles.in(sharedDirectory).get(0);
        Path handoverFile =
                Path.of(link.toString().replaceFirst("[0-9]{15}-[0-9]{10}[.]link", "left"));
        byte[] overrides = Files.readAllBytes(handoverFile);
        awaitStopped(stopInBackground(daemon));
        assertTrue("a graceful stop leaves no file", !Files.exists(handoverFile));
        Files.write(handoverFile, overrides);
        try (ServerSocketChannel dyingProcess =
                ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            dyingProcess.bind(UnixDomainSocketAddress.of(link));
            // It accepts the link and dies before it answers.
            daemon = new Daemon(Config.read(environment));
            dyingProcess.accept().close();
        }
        daemon.start();
        String status = operatorCall(daemon, "GET /status", "").body();
        assertTrue(status, status.contains("\"out\":[\"w1\"]"));
        awaitStopped(stopInBackground(daemon));
        Files.write(handoverFile, overrides);
        // Its address is free, as the other daemons of this test have stopped gracefully.
        Process process = startProcess(environment);
        try (BufferedReader log = process.errorReader()) {
            ProcessLog.awaitLine(log, " listens on ");
        } finally {
            process.destroyForcibly();
        }
        assertTrue("a start without running processes deletes it", !Files.exists(handoverFile));
    }

    @Test
    public void extensionStateReachesTheNewProcessAtStart() throws Exception {
        List<String> received = new ArrayList<>();
        DispatcherExtension.Configuration extension =
                host -> {
                    received.add(
                            host.predecessorState()
                                    + " "
                                    + host.startedByHandOver()
                                    + " "
                                    + host.isOnlyProcess());
                    return new DispatcherExtension() {
                        @Override
                        public JobConstraints jobConstraints() {
                            return JobConstraints.NONE;
                        }

                        @Override
                        public String handOverState() {
                            return "{\"word\":\"as \u010dvor\"}";
                        }

                        @Override
                        public AdditionalEndpoints operatorEndpoints() {
                            return AdditionalEndpoints.NONE;
                        }

                        @Override
                        public void close() {}
                    };
                };
        daemon = new Daemon(Config.read(environment), extension);
        daemon.start();
        Daemon second = new Daemon(Config.read(environment), extension);
        second.start();
        assertEquals(List.of(" false true", "{\"word\":\"as \u010dvor\"} true false"), received);
        awaitStopped(stopInBackground(daemon));
        awaitStopped(stopInBackground(second));
    }

    @Test
    public void aNewProcessThatFailsToStartLeavesTheOldOneUnchanged() throws Exception {
        daemon =
                new Daemon(
                        Config.read(environment),
                        null,
                        out -> script = new ScriptedPolicy(out),
                        WATCH_TIMEOUTS);
        daemon.start();
        script.expectEvent("list CACHED [w1 READY, w2 READY]");
        Map<String, String> conflicting = new HashMap<>(environment);
        Path file = folder.newFile().toPath();
        Files.writeString(
                file,
                Files.readString(Path.of(environment.get("ROUTER_CONFIG")))
                        .replace(
                                "\"operator\":\"127.0.0.1:0\"",
                                "\"operator\":\"127.0.0.1:" + daemon.operatorPort() + "\""));
        conflicting.put("ROUTER_CONFIG", file.toString());
        Process failing = startProcess(conflicting);
        try {
            assertTrue(failing.waitFor(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(1, failing.exitValue());
            String errors = new String(failing.getErrorStream().readAllBytes());
            assertTrue(errors, errors.contains("postgrade: listen: "));
        } finally {
            failing.destroyForcibly();
        }
        script.expectEvent("share 0.5");
        while (operatorCall(daemon, "GET /status", "").status() != 200
                || LinkFiles.in(sharedDirectory).size() != 1) {
            Thread.onSpinWait();
        }
        assertEquals(200, readinessStatus());
        assertEquals("the full rate is restored", 1, script.lastShare, 0);
        awaitStopped(stopInBackground(daemon));
    }

    /**
     * The old process is stopped after its successor has started to serve, while its loop is
     * blocked: a connection waits to be accepted and a request is half read.
     */
    @Test
    public void requestsInFlightOrInTheBacklogAtHandOverAreServedByTheOldProcess()
            throws Exception {
        daemon =
                new Daemon(
                        Config.read(environment),
                        null,
                        out -> script = new ScriptedPolicy(out),
                        WATCH_TIMEOUTS);
        daemon.start();
        Config config = Config.read(environment);
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        script.onJob =
                job -> {
                    script.actions.startAttempt(job.id(), "w1", 0);
                    if (job.id().equals("holds")) {
                        blocked.countDown();
                        awaitLatch(release);
                    }
                };
        try (SocketChannel successor =
                SocketChannel.open(
                        UnixDomainSocketAddress.of(LinkFiles.in(sharedDirectory).get(0)))) {
            write(
                    successor,
                    "{\"hello\":1,\"id\":\"x\",\"dispatcher\":\""
                            + config.name
                            + " "
                            + config.listenAddress
                            + "\"}\n{\"serving\":true}\n");
            script.expectEventAmongOthers("share 0.5");
            Map<String, Socket> clients = new HashMap<>();
            clients.put("sent", post("sent", "price", "15000m"));
            ReceivedMessage sent = workerOne.awaitMessage("POST");
            Socket half = connect();
            clients.put("half", half);
            ScriptedPeer.write(
                    half,
                    "POST /api HTTP/1.1\r\nX-Request-Id: half\r\nX-Class: price\r\nContent-Length: 3\r\n\r\n");
            clients.put("holds", post("holds", "price", "15000m"));
            assertTrue(blocked.await(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
            clients.put("backlog", post("backlog", "price", "15000m"));
            Thread stop = stopInBackground(daemon);
            // It waits for the loop, which has received the stop by then.
            while (stop.getState() != Thread.State.WAITING) {
                Thread.onSpinWait();
            }
            release.countDown();
            ScriptedPeer.write(half, "job");
            for (int i = 0; i < clients.size(); i++) {
                ReceivedMessage job = i == 0 ? sent : workerOne.awaitMessage("POST");
                job.accept();
                String id = job.header("X-Request-Id");
                // The workers' call-backs arrive at the successor, which relays them.
                write(
                        successor,
                        "{\"ask\":1,\"event\":\"{\\\"id\\\":\\\""
                                + id
                                + "\\\",\\\"from\\\":\\\"w1\\\",\\\"state\\\":\\\"done\\\"}\"}\n");
                Socket client = clients.get(id);
                ReceivedMessage answer = ScriptedPeer.read(client);
                assertEquals(id, 200, answer.status());
                assertEquals("close", answer.header("Connection"));
                assertEquals(-1, client.getInputStream().read());
                client.close();
            }
            awaitStopped(stop);
        }
    }

    private static void awaitLatch(CountDownLatch until) {
        try {
            assertTrue(until.await(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(SocketChannel link, String lines) throws IOException {
        link.write(ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)));
    }
}
