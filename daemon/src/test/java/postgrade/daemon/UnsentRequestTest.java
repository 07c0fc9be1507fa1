package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * A request that was never sent to a worker is rejected, however it ends, because a retry is
 * harmless.
 */
public class UnsentRequestTest extends DaemonTestBase {

    private void assertRejected(Socket client) throws Exception {
        assertEquals(429, ScriptedPeer.read(client).status());
    }

    @Test
    public void jobFailedByThePolicyBeforeAnySendIsRejected() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob =
                job -> {
                    if (job.id().equals("f1")) {
                        script.actions.fail(job.id());
                    } else {
                        throw new IllegalStateException("thrown by the scripted policy");
                    }
                };
        assertRejected(post("f1", "confirm", "15000m"));
        assertRejected(post("f2", "confirm", "15000m"));
    }

    @Test
    public void attemptWithoutAConnectionIsWithdrawnAtTheDeadlineAndItsJobRejected()
            throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2; i++) {
                sockets.add(new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
            }
            startWithScriptedPolicy(
                    workerEntry("w1", "127.0.0.1:" + unresponsive.getLocalPort(), "ready"));
            script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
            script.onFinished = (id, outcome) -> script.actions.fail(id);
            Socket client = post("d1", "confirm", "300m");
            script.expectEventAmongOthers("job d1");
            script.expectEventAmongOthers("finished d1 0 NOT_SENT false");
            assertRejected(client);
            script.onFinished = (id, outcome) -> {};
            client = post("d2", "confirm", "300m"); // The policy does nothing about it.
            script.expectEventAmongOthers("job d2");
            script.expectEventAmongOthers("finished d2 0 NOT_SENT false");
            assertRejected(client);
            script.onJob =
                    job -> {
                        script.actions.startAttempt(job.id(), "w1", 0);
                        script.actions.fail(job.id()); // Before the deadline.
                    };
            assertRejected(post("d3", "confirm", "15000m"));
        }
    }

    /**
     * Guards against a retry that reaches its worker after the deduplication window and so runs
     * again.
     */
    @Test
    public void attemptWhoseConnectionComesUpAfterItsWriteWindowIsNotWritten() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob =
                job ->
                        // A connection comes up in a later turn.
                        script.actions.startAttempt(job.id(), "w1", 0, 0);
        script.onFinished = (id, outcome) -> script.actions.fail(id);
        Socket client = post("k1", "price", "15000m");
        script.expectEventAmongOthers("finished k1 0 NOT_SENT false");
        assertRejected(client);
        script.onJob =
                job -> script.actions.startAttempt(job.id(), "w1", 0, TimeUnit.MINUTES.toNanos(1));
        post("k2", "price", "15000m");
        assertEquals(
                "the first job left nothing behind",
                "k2",
                workerOne.awaitMessage("POST").header("X-Request-Id"));
    }

    @Test
    public void jobThatReachedAWorkerIsFailedNotRejected() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
        script.onFinished = (id, outcome) -> script.actions.fail(id);
        Socket client = post("s1", "confirm", "300m");
        workerOne.awaitMessage("POST"); // The worker sends no response.
        assertEquals(504, ScriptedPeer.read(client).status());
        workerOne.awaitMessage("DELETE /jobs/s1 ").reply("200 OK", "");
        client = post("s2", "confirm", "15000m");
        workerOne.awaitMessage("POST").resetConnection();
        workerOne.awaitMessage("DELETE /jobs/s2 ").reply("200 OK", "");
        script.expectEventAmongOthers("job s1");
        script.expectEventAmongOthers("finished s1 0 TIMEOUT false");
        script.expectEventAmongOthers("job s2");
        script.expectEventAmongOthers("finished s2 0 RESET false");
        assertEquals(502, ScriptedPeer.read(client).status());
    }

    /**
     * Guards against closing a new connection without a response, which counts as a request refused
     * or lost.
     */
    @Test
    public void connectionBeyondTheSocketLimitWaitsUntilAnotherCloses() throws Exception {
        descriptorLimit = 96; // 64 for sockets, 48 of them for accepted ones and the watch.
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> {};
        for (int i = 0; i < 47; i++) {
            post("busy" + i, "price", "15000m");
            script.expectEventAmongOthers("job busy" + i);
        }
        Socket client = post("last", "price", "15000m");
        ScriptedPeer.ReceivedMessage watch =
                discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        // By the second turn the listener has tried to accept the connection.
        for (int turn = 0; turn < 2; turn++) {
            writeChunk(
                    watch,
                    workerListJson(
                            42 + turn, false, workerEntry("w2", workerTwo.address(), "ready")));
            script.expectEventAmongOthers("list DELTA [w2 READY]");
        }
        script.onJob =
                job -> {
                    script.actions.reject(job.id(), 0);
                    script.actions.reject("busy0", 0);
                };
        sockets.get(1).close(); // Frees a socket.
        script.expectEventAmongOthers("abandoned busy1");
        script.expectEventAmongOthers("job last");
        assertRejected(client);
        assertRejected(sockets.get(0));
    }
}
