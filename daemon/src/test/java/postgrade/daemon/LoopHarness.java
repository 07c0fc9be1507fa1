package postgrade.daemon;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import postgrade.client.CallBackRelay;
import postgrade.client.ClientListener;
import postgrade.dispatch.RequestTracker;
import postgrade.http.SocketBudget;
import postgrade.http.SystemCalls;
import postgrade.lifecycle.Lifecycle;
import postgrade.upgrade.UpgradeCoordinator;
import postgrade.worker.WorkerConnectionPools;
import postgrade.worker.WorkerEndpoint;

/**
 * The event loop with everything that serves clients, and a hook into one of its iterations. While
 * the loop is held, and after the iteration's select, peers can act in ways that the loop has not
 * seen when it runs the tasks that are due.
 */
final class LoopHarness implements AutoCloseable {

    /** An action of a peer. */
    interface IoAction {
        void run() throws IOException;
    }

    final Lifecycle lifecycle = new Lifecycle();
    final EventLoop loop;
    final ScriptedPolicy script;
    final RequestTracker tracker;
    final WorkerConnectionPools workerPools;
    final ClientListener listener;
    final ShutdownSequence shutdown;
    private final List<Socket> sockets = new ArrayList<>();
    private final Thread thread;

    /** Counted down at the end of the current iteration. */
    private CountDownLatch iterationEnd;

    /**
     * Starts the loop with the system's own socket calls.
     *
     * @param socketLimit the most sockets that may be open
     */
    LoopHarness(Config config, int socketLimit) throws IOException {
        this(config, socketLimit, SystemCalls.REAL);
    }

    LoopHarness(Config config, int socketLimit, SystemCalls systemCalls) throws IOException {
        loop = new EventLoop(new SocketBudget(socketLimit), config.clock, systemCalls);
        ScriptedPolicy[] policies = new ScriptedPolicy[1];
        tracker =
                new RequestTracker(
                        actions -> policies[0] = new ScriptedPolicy(actions),
                        false,
                        1000,
                        loop,
                        (event, message, thrown) -> {});
        script = policies[0];
        workerPools =
                new WorkerConnectionPools(
                        tracker, loop, loop, config.connectTimeoutMicros, config.idleTimeoutMicros);
        tracker.connectTransport(workerPools);
        UpgradeCoordinator upgrade = new UpgradeCoordinator(null, config.name, loop, loop, null);
        listener =
                new ClientListener(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        false,
                        config.deadlineMicros,
                        Set.of(),
                        () -> true,
                        lifecycle,
                        new NoPeers(),
                        tracker,
                        loop,
                        loop);
        shutdown =
                new ShutdownSequence(
                        loop,
                        lifecycle,
                        tracker,
                        workerPools,
                        listener,
                        upgrade,
                        null,
                        () -> config);
        lifecycle.markStarted();
        thread = new Thread(this::run, "loop");
        thread.setDaemon(true);
        thread.start();
    }

    /** A relay for a dispatcher without other processes. */
    static final class NoPeers implements CallBackRelay {
        @Override
        public boolean hasPeers() {
            return false;
        }

        @Override
        public void relay(byte[] body, Consumer<Boolean> done) {
            throw new AssertionError("there are no other processes");
        }
    }

    private void run() {
        try {
            loop.run(
                    new EventLoop.IterationHandler() {
                        @Override
                        public void runBatch() {
                            tracker.runBatch();
                            if (iterationEnd != null) {
                                iterationEnd.countDown();
                                iterationEnd = null;
                            }
                        }

                        @Override
                        public boolean hasPendingWork() {
                            return tracker.hasPendingEvents();
                        }
                    });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Adds a worker that is ready from the start. */
    void addWorker(String id, String host, int port) throws InterruptedException {
        runOnLoop(
                () ->
                        workerPools.updateWorkers(
                                false,
                                List.of(
                                        new WorkerEndpoint(
                                                id, new InetSocketAddress(host, port), true))));
    }

    void addWorker(String id, ScriptedPeer peer) throws InterruptedException {
        String[] address = peer.address().split(":");
        addWorker(id, address[0], Integer.parseInt(address[1]));
    }

    /** Runs a task on the loop and waits for it. */
    void runOnLoop(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    task.run();
                    done.countDown();
                });
        assertTrue(done.await(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    /**
     * Holds the loop for at least this long, so that tasks due by then run in its next iteration.
     * What peers do while it is held is ready in that iteration; what they do after its select is
     * not. Returns when that iteration is over.
     */
    void interleave(long holdMillis, IoAction whileHeld, IoAction afterSelect)
            throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        Throwable[] failed = new Throwable[1];
        loop.execute(
                () ->
                        loop.at(
                                loop.nowMicros(),
                                () -> {
                                    runAndHold(holdMillis, whileHeld, failed);
                                    loop.execute(
                                            () -> {
                                                runAndHold(0, afterSelect, failed);
                                                iterationEnd = done;
                                            });
                                }));
        assertTrue(done.await(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
        if (failed[0] != null) {
            throw new AssertionError(failed[0]);
        }
    }

    private static void runAndHold(long millis, IoAction action, Throwable[] failed) {
        try {
            action.run();
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (IOException | InterruptedException | RuntimeException e) {
            failed[0] = e;
        }
    }

    boolean hasEnded() {
        return !thread.isAlive();
    }

    /** Waits for the end of an iteration that began after this call. */
    void awaitIteration() throws InterruptedException {
        for (int i = 0; i < 2; i++) { // The first one may already be running.
            CountDownLatch done = new CountDownLatch(1);
            loop.execute(() -> iterationEnd = done);
            assertTrue(done.await(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    void awaitEnd() throws InterruptedException {
        thread.join(TimeUnit.SECONDS.toMillis(ScriptedPeer.TIMEOUT_S));
        assertFalse("the loop has not ended", thread.isAlive());
    }

    Socket connect() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), listener.port());
        s.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(s);
        return s;
    }

    Socket post(String id) throws IOException {
        Socket s = connect();
        post(s, id);
        return s;
    }

    static void post(Socket s, String id) {
        DaemonTestBase.post(s, id, "price", "15000m");
    }

    @Override
    public void close() throws IOException {
        loop.execute(loop::stop);
        for (Socket s : sockets) {
            s.close();
        }
    }
}
