package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** A request that was never sent on is refused, however it ends: trying again is harmless. */
public class UnsentTest extends DaemonTestBase {

    private void refused(Socket consumer) throws Exception {
        assertEquals(429, ScriptedPeer.read(consumer).status());
    }

    @Test
    public void whatTheModuleFailsOrStumblesOverWithoutASendIsRefused() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob =
                job -> {
                    if (job.id().equals("f1")) {
                        script.actions.fail(job.id());
                    } else {
                        throw new IllegalStateException("as told");
                    }
                };
        refused(post("f1", "confirm", "15000m"));
        refused(post("f2", "confirm", "15000m"));
    }

    @Test
    public void aCallWhoseConnectionNeverCameUpIsWithdrawnAtTheDeadlineAndItsJobRefused()
            throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2; i++) {
                sockets.add(new Socket(deaf.getInetAddress(), deaf.getLocalPort()));
            }
            startWithScriptedPolicy(workerEntry("w1", "127.0.0.1:" + deaf.getLocalPort(), "ready"));
            script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
            script.onFinished = (id, outcome) -> script.actions.fail(id);
            Socket consumer = post("d1", "confirm", "300m");
            script.expectEventAmongOthers("job d1");
            script.expectEventAmongOthers("finished d1 0 NOT_SENT false");
            refused(consumer);
            script.onFinished = (id, outcome) -> {};
            consumer = post("d2", "confirm", "300m"); // The module forgets it.
            script.expectEventAmongOthers("job d2");
            script.expectEventAmongOthers("finished d2 0 NOT_SENT false");
            refused(consumer);
            script.onJob =
                    job -> {
                        script.actions.startAttempt(job.id(), "w1", 0);
                        script.actions.fail(job.id()); // Sooner.
                    };
            refused(post("d3", "confirm", "15000m"));
        }
    }

    /**
     * A repeat that comes to its worker after the window in which that drops repeats would run
     * again.
     */
    @Test
    public void aCallWhoseConnectionComesUpBehindItsWindowIsNotWritten() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob =
                job ->
                        script.actions.startAttempt(
                                job.id(), "w1", 0, 0); // A connection comes up in a later turn.
        script.onFinished = (id, outcome) -> script.actions.fail(id);
        Socket consumer = post("k1", "price", "15000m");
        script.expectEventAmongOthers("finished k1 0 NOT_SENT false");
        refused(consumer);
        script.onJob =
                job -> script.actions.startAttempt(job.id(), "w1", 0, TimeUnit.MINUTES.toNanos(1));
        post("k2", "price", "15000m");
        assertEquals(
                "the first one left nothing behind",
                "k2",
                workerOne.awaitMessage("POST").header("X-Request-Id"));
    }

    @Test
    public void whatAWorkerHasHadMayHaveRunAndIsFailed() throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
        script.onFinished = (id, outcome) -> script.actions.fail(id);
        Socket consumer = post("s1", "confirm", "300m");
        workerOne.awaitMessage("POST"); // Silent on it.
        assertEquals(504, ScriptedPeer.read(consumer).status());
        workerOne.awaitMessage("DELETE /jobs/s1 ").reply("200 OK", "");
        consumer = post("s2", "confirm", "15000m");
        workerOne.awaitMessage("POST").resetConnection();
        workerOne.awaitMessage("DELETE /jobs/s2 ").reply("200 OK", "");
        script.expectEventAmongOthers("job s1");
        script.expectEventAmongOthers("finished s1 0 TIMEOUT false");
        script.expectEventAmongOthers("job s2");
        script.expectEventAmongOthers("finished s2 0 RESET false");
        assertEquals(502, ScriptedPeer.read(consumer).status());
    }

    /** A new connection that is closed without an answer counts as a request refused or lost. */
    @Test
    public void aConnectionThatFindsNoPlaceWaitsUnharmedAndIsServedOnceThereIsOne()
            throws Exception {
        descriptorLimit = 96; // 64 for sockets, 48 of them for accepted ones and the watch.
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> {};
        for (int i = 0; i < 47; i++) {
            post("busy" + i, "price", "15000m");
            script.expectEventAmongOthers("job busy" + i);
        }
        Socket consumer = post("last", "price", "15000m");
        ScriptedPeer.ReceivedMessage watch =
                discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int turn = 0; turn < 2; turn++) { // By the second one the listener has come to it.
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
        sockets.get(1).close(); // Its place is free.
        script.expectEventAmongOthers("abandoned busy1");
        script.expectEventAmongOthers("job last");
        refused(consumer);
        refused(sockets.get(0));
    }
}
