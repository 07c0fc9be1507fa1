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
import postgrade.quorum.engine.Faults;
import postgrade.quorum.engine.Voter;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Links;
import postgrade.quorum.wire.proto.PullRequest;

/** The end of a voter, crossed with what it has yet to answer. */
public class ClosingTest {

    private static final long MOST_MILLIS = 20_000;
    private final Cluster cluster = new Cluster();
    private final QuorumSettings settings = cluster.settings("a");
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch goesOn = new CountDownLatch(1);
    private volatile boolean holds;

    /** The process's clock; the engine's thread is held where it next reads it. */
    private long micros() {
        if (holds && Thread.currentThread().getName().equals("quorum-engine-a")) {
            holds = false;
            held.countDown();
            try {
                goesOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return System.nanoTime() / 1000;
    }

    private void hold() throws InterruptedException {
        holds = true;
        held.await();
    }

    @After
    public void close() {
        goesOn.countDown();
        cluster.close();
    }

    @Test
    public void theTransportDoesNotEndBeforeTheVoterThatAnswersOnIt() throws Exception {
        assertNull(Quorum.beginEra(settings, 1));
        Quorum q = Quorum.open(settings, List.of(new Cluster.Sums()), this::micros, cluster.loop);
        cluster.await("it leads", () -> "a".equals(q.standing().leader()));
        hold();
        q.close();
        assertFalse("the voter has not ended", q.events.isShuttingDown());
        goesOn.countDown();
        assertTrue("not closed", q.awaitClosed(MOST_MILLIS));
    }

    @Test
    public void anAnswerThatCannotBeGivenKeepsNoVoterFromItsEnd() throws Exception {
        assertNull(Quorum.beginEra(settings, 1));
        EventLoopGroup events = new NioEventLoopGroup(1);
        Links links = new Links(settings, events);
        Voter voter =
                new Voter(
                        settings,
                        List.of(new Cluster.Sums()),
                        this::micros,
                        links,
                        new Faults("a"));
        try {
            voter.start();
            cluster.await("it leads", () -> "a".equals(voter.leader()));
            hold();
            // The first begins a round of reads, the second waits for the next one; the end comes
            // right behind them.
            voter.desk().pull(PullRequest.newBuilder().setName("x").build(), reply -> {});
            voter.desk()
                    .pull(
                            PullRequest.newBuilder().setName("y").build(),
                            reply -> {
                                throw new RejectedExecutionException("its connection has ended");
                            });
            CountDownLatch ended = new CountDownLatch(1);
            voter.close(ended::countDown);
            goesOn.countDown();
            assertTrue("not closed", voter.awaitClosed(MOST_MILLIS));
            assertTrue("not told", ended.await(MOST_MILLIS, TimeUnit.MILLISECONDS));
            VoterStore.open(settings.store()).close(); // Nobody holds it any more.
        } finally {
            links.close();
            events.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
