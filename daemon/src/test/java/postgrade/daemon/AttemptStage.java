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
import postgrade.provider.ProviderPools;
import postgrade.provider.Target;

/**
 * The gateway and its pools on a loop that the test turns: sockets are real, time passes when the
 * test says so, and what is ready is served before the module decides, as in the daemon's own loop.
 */
public abstract class AttemptStage {

    static final long MILLI = 1_000;
    static final long DEADLINE = 15_000 * MILLI;
    static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

    final ManualEventLoop hand;
    final List<String> answers = new ArrayList<>();
    final List<Socket> sockets = new ArrayList<>();
    ServerSocket one;
    ServerSocket two;
    Script script;
    RequestTracker gateway;
    ProviderPools pools;

    AttemptStage() throws IOException {
        hand = new ManualEventLoop();
        one = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        two = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        one.setSoTimeout(Peer.PATIENCE_S * 1000);
        two.setSoTimeout(Peer.PATIENCE_S * 1000);
    }

    boolean mayDuplicate() {
        return false;
    }

    @Before
    public void begin() {
        gateway =
                new RequestTracker(
                        out -> script = new Script(out),
                        mayDuplicate(),
                        100,
                        hand,
                        (event, message, thrown) -> {});
        pools = new ProviderPools(gateway, hand, hand, 2_000 * MILLI, 10_000 * MILLI);
        gateway.connectTransport(pools);
        list(target("w1", one, true), target("w2", two, true));
        script.onJob = job -> script.out.startAttempt(job.id(), "w1", 0);
    }

    @After
    public void end() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        one.close();
        two.close();
    }

    static Target target(String id, ServerSocket at, boolean ready) {
        return new Target(id, new InetSocketAddress(at.getInetAddress(), at.getLocalPort()), ready);
    }

    void list(Target... targets) {
        pools.list(false, List.of(targets));
    }

    /** A consumer's job, taken over but not yet decided on. */
    PendingRequest open(String id, String jobClass) {
        PendingRequest in =
                new PendingRequest(
                        id,
                        jobClass,
                        null,
                        null,
                        1,
                        0,
                        hand.nowMicros() + DEADLINE,
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
        gateway.submit(in);
        return in;
    }

    PendingRequest open(String id) {
        return open(id, "price");
    }

    /** The rest of a turn whose channels have been served. */
    void turn() {
        hand.advanceTime(0, () -> false);
        gateway.runBatch();
    }

    /** Time passes, with a turn at its end. */
    void pass(long micros) {
        hand.advanceTime(micros, () -> false);
        gateway.runBatch();
    }

    /** Turns, none of which lets time pass, until something has come on the connection. */
    void arrives(Socket s) throws IOException {
        hand.serveUntil(
                () -> {
                    turn();
                    return available(s) > 0;
                });
    }

    /** A worker's side of the next connection to it. */
    Socket accept(ServerSocket at) throws IOException {
        Socket s = at.accept();
        s.setTcpNoDelay(true);
        s.setSoTimeout(Peer.PATIENCE_S * 1000);
        sockets.add(s);
        return s;
    }

    /** The next connection to it, with the request that has come on it. */
    Peer.Arrived request(ServerSocket at) throws IOException {
        return request(accept(at));
    }

    Peer.Arrived request(Socket s) throws IOException {
        arrives(s);
        return Peer.read(s);
    }

    /** A worker's side of the connection on which this job has come to it. */
    Socket untaken(String id) throws IOException {
        open(id);
        turn();
        return request(one).socket();
    }

    /** As above, and the worker has answered 202. */
    Socket taken(String id) throws IOException {
        Socket worker = untaken(id);
        says(worker, TAKEN);
        return worker;
    }

    /**
     * The first worker is asked to drop the job on a new connection, says that it has and ends the
     * connection.
     */
    void confirmsCancellation(String id) throws IOException {
        Peer.Arrived delete = request(one);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/" + id + " "));
        hand.runAndServe(() -> delete.reply("200 OK\r\nConnection: close", ""));
        turn();
    }

    /** The worker says this, and it is read before the turn goes on. */
    void says(Socket worker, String text) throws IOException {
        hand.runAndServe(() -> Peer.write(worker, text));
    }

    void reports(String id, String from, ReportedState state) {
        gateway.workerReported(id, from, state, 0, new byte[0]);
    }

    /** Ends of attempts that the module has heard of. */
    List<String> ends() {
        return script.heard.stream().filter(h -> h.startsWith("finished")).toList();
    }

    void hasHeard(String... expected) {
        assertEquals(List.of(expected), ends());
    }

    static int available(Socket s) {
        try {
            return s.getInputStream().available();
        } catch (IOException e) {
            return 0;
        }
    }
}
