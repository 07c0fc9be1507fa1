package postgrade.quorum;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import postgrade.quorum.engine.FaultStatus;
import postgrade.quorum.engine.Voter;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.PullRequest;

/** Shutdown of a voter that still has requests to answer. */
public class VoterShutdownTest {

    private static final long TIMEOUT_MILLIS = 20_000;
    private final Cluster cluster = new Cluster();
    private final QuorumSettings settings = cluster.settings("a");
    private final CountDownLatch engineBlocked = new CountDownLatch(1);
    private final CountDownLatch unblockEngine = new CountDownLatch(1);
    private volatile boolean blockNextRead;

    /**
     * The process's clock; blocks the engine's thread at its next reading after {@link
     * #blockEngine}.
     */
    private long nowMicros() {
        if (blockNextRead && Thread.currentThread().getName().equals("quorum-engine-a")) {
            blockNextRead = false;
            engineBlocked.countDown();
            try {
                unblockEngine.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return System.nanoTime() / 1000;
    }

    private void blockEngine() throws InterruptedException {
        blockNextRead = true;
        engineBlocked.await();
    }

    @After
    public void close() {
        unblockEngine.countDown();
        cluster.close();
    }

    @Test
    public void transportOutlivesTheVoterThatAnswersOnIt() throws Exception {
        assertNull(Quorum.beginEra(settings, 1));
        Quorum quorum =
                Quorum.open(
                        settings, List.of(new Cluster.SumPart()), this::nowMicros, cluster.loop);
        cluster.await("it leads", () -> "a".equals(quorum.standing().leader()));
        blockEngine();
        quorum.close();
        assertFalse("the voter has not shut down yet", quorum.eventLoops.isShuttingDown());
        unblockEngine.countDown();
        assertTrue("not closed", quorum.awaitClosed(TIMEOUT_MILLIS));
    }

    @Test
    public void throwingReaderDoesNotPreventShutdown() throws Exception {
        assertNull(Quorum.beginEra(settings, 1));
        EventLoopGroup eventLoops = new NioEventLoopGroup(1);
        VoterConnections connections = new VoterConnections(settings, eventLoops);
        Voter voter =
                new Voter(
                        settings,
                        List.of(new Cluster.SumPart()),
                        this::nowMicros,
                        connections,
                        new FaultStatus("a"));
        try {
            voter.start();
            cluster.await("it leads", () -> "a".equals(voter.leader()));
            blockEngine();
            // The first pull starts a round of reads, the second waits for the next round; the
            // shutdown is queued right behind them.
            voter.requestHandler().pull(PullRequest.newBuilder().setName("x").build(), reply -> {});
            voter.requestHandler()
                    .pull(
                            PullRequest.newBuilder().setName("y").build(),
                            reply -> {
                                throw new RejectedExecutionException("its connection has ended");
                            });
            CountDownLatch voterClosed = new CountDownLatch(1);
            voter.close(voterClosed::countDown);
            unblockEngine.countDown();
            assertTrue("not closed", voter.awaitClosed(TIMEOUT_MILLIS));
            assertTrue("not notified", voterClosed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            VoterStore.open(settings.store()).close(); // Fails if the file is still locked.
        } finally {
            connections.close();
            eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
