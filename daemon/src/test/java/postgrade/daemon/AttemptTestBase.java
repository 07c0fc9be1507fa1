package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import postgrade.discovery.ManualEventLoop;
import postgrade.dispatch.PendingRequest;
import postgrade.dispatch.ReportedState;
import postgrade.dispatch.RequestPayload;
import postgrade.dispatch.RequestTracker;
import postgrade.dispatch.ResponseHandler;
import postgrade.worker.WorkerConnectionPools;
import postgrade.worker.WorkerEndpoint;

/**
 * The gateway and its pools on a loop that the test turns: sockets are real, time passes when the
 * test says so, and what is ready is served before the module decides, as in the daemon's own loop.
 */
public abstract class AttemptTestBase {

    static final long MILLI_MICROS = 1_000;
    static final long DEADLINE_MICROS = 15_000 * MILLI_MICROS;
    static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

    final ManualEventLoop loop;
    final List<String> answers = new ArrayList<>();
    final List<Socket> sockets = new ArrayList<>();
    ServerSocket worker1;
    ServerSocket worker2;
    ScriptedPolicy policy;
    RequestTracker tracker;
    WorkerConnectionPools pools;

    AttemptTestBase() throws IOException {
        loop = new ManualEventLoop();
        worker1 = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        worker2 = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        worker1.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        worker2.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
    }

    boolean allowsConcurrentAttempts() {
        return false;
    }

    @Before
    public void setUp() {
        tracker =
                new RequestTracker(
                        out -> policy = new ScriptedPolicy(out),
                        allowsConcurrentAttempts(),
                        100,
                        loop,
                        (event, message, thrown) -> {});
        pools =
                new WorkerConnectionPools(
                        tracker, loop, loop, 2_000 * MILLI_MICROS, 10_000 * MILLI_MICROS);
        tracker.connectTransport(pools);
        updateWorkers(endpoint("w1", worker1, true), endpoint("w2", worker2, true));
        policy.onJob = job -> policy.actions.startAttempt(job.id(), "w1", 0);
    }

    @After
    public void tearDown() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        worker1.close();
        worker2.close();
    }

    static WorkerEndpoint endpoint(String id, ServerSocket at, boolean ready) {
        return new WorkerEndpoint(
                id, new InetSocketAddress(at.getInetAddress(), at.getLocalPort()), ready);
    }

    void updateWorkers(WorkerEndpoint... targets) {
        pools.updateWorkers(false, List.of(targets));
    }

    /** A consumer's job, taken over but not yet decided on. */
    PendingRequest submit(String id, String jobClass) {
        PendingRequest in =
                new PendingRequest(
                        id,
                        jobClass,
                        null,
                        null,
                        1,
                        0,
                        loop.nowMicros() + DEADLINE_MICROS,
                        new RequestPayload(
                                "POST",
                                "/api",
                                null,
                                null,
                                "job".getBytes(StandardCharsets.US_ASCII)),
                        new ResponseHandler() {
                            @Override
                            public void complete(byte[] result) {
                                answers.add(id + " served");
                            }

                            @Override
                            public void reject(long retryAfterMicros) {
                                answers.add(id + " rejected");
                            }

                            @Override
                            public void fail(boolean timedOut) {
                                answers.add(id + " failed");
                            }
                        });
        tracker.submit(in);
        return in;
    }

    PendingRequest submit(String id) {
        return submit(id, "price");
    }

    /** The rest of a turn whose channels have been served. */
    void runTurn() {
        loop.advanceTime(0, () -> false);
        tracker.runBatch();
    }

    /** Time passes, with a turn at its end. */
    void advance(long micros) {
        loop.advanceTime(micros, () -> false);
        tracker.runBatch();
    }

    /** Turns, none of which lets time pass, until something has come on the connection. */
    void awaitBytes(Socket s) throws IOException {
        loop.serveUntil(
                () -> {
                    runTurn();
                    return availableBytes(s) > 0;
                });
    }

    /** A worker's side of the next connection to it. */
    Socket accept(ServerSocket at) throws IOException {
        Socket s = at.accept();
        s.setTcpNoDelay(true);
        s.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(s);
        return s;
    }

    /** The next connection to it, with the request that has come on it. */
    ScriptedPeer.ReceivedMessage awaitRequest(ServerSocket at) throws IOException {
        return awaitRequest(accept(at));
    }

    ScriptedPeer.ReceivedMessage awaitRequest(Socket s) throws IOException {
        awaitBytes(s);
        return ScriptedPeer.read(s);
    }

    /** A worker's side of the connection on which this job has come to it. */
    Socket sendJob(String id) throws IOException {
        submit(id);
        runTurn();
        return awaitRequest(worker1).socket();
    }

    /** As above, and the worker has answered 202. */
    Socket sendAcceptedJob(String id) throws IOException {
        Socket worker = sendJob(id);
        respond(worker, ACCEPTED);
        return worker;
    }

    /**
     * The first worker is asked to drop the job on a new connection, says that it has and ends the
     * connection.
     */
    void confirmCancellation(String id) throws IOException {
        ScriptedPeer.ReceivedMessage delete = awaitRequest(worker1);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/" + id + " "));
        loop.runAndServe(() -> delete.reply("200 OK\r\nConnection: close", ""));
        runTurn();
    }

    /** The worker says this, and it is read before the turn goes on. */
    void respond(Socket worker, String text) throws IOException {
        loop.runAndServe(() -> ScriptedPeer.write(worker, text));
    }

    void report(String id, String from, ReportedState state) {
        tracker.workerReported(id, from, state, 0, new byte[0]);
    }

    /** Ends of attempts that the module has heard of. */
    List<String> finishedEvents() {
        return policy.events.stream().filter(h -> h.startsWith("finished")).toList();
    }

    void assertFinished(String... expected) {
        assertEquals(List.of(expected), finishedEvents());
    }

    static int availableBytes(Socket s) {
        try {
            return s.getInputStream().available();
        } catch (IOException e) {
            return 0;
        }
    }
}
