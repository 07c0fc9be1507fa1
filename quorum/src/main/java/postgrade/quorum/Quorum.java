package postgrade.quorum;

import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.event.Level;
import postgrade.log.EventLogs;
import postgrade.quorum.engine.EraBegin;
import postgrade.quorum.engine.Faults;
import postgrade.quorum.engine.Voter;
import postgrade.quorum.follow.Following;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.Incarnations;
import postgrade.quorum.wire.Links;
import postgrade.quorum.wire.Server;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.StatePart;
import postgrade.shared.View;

/**
 * Shared state by a quorum of voters, for one process: a voter itself, or an observer that follows.
 */
public final class Quorum implements ReplicatedState {

    /** Held, since loggers that nobody holds forget their level. */
    private static final java.util.logging.Logger GRPC =
            java.util.logging.Logger.getLogger("io.grpc");

    private final QuorumSettings settings;
    final EventLoopGroup events;
    private final Links links;
    private final Faults faults;
    private final Faults followFaults;
    private final Voter voter;
    private final Server server;
    private final Following following;

    private Quorum(
            QuorumSettings settings, List<StatePart> parts, LongSupplier nowMicros, Executor onLoop)
            throws IOException {
        this.settings = settings;
        faults = new Faults(settings.name());
        followFaults = new Faults(settings.name());
        events =
                new NioEventLoopGroup(
                        1,
                        task -> {
                            Thread t = new Thread(task, "quorum-wire-" + settings.name());
                            t.setDaemon(true);
                            return t;
                        });
        links = new Links(settings, events);
        voter = settings.votes() ? new Voter(settings, parts, nowMicros, links, faults) : null;
        try {
            server =
                    voter == null
                            ? null
                            : new Server(settings.voter(settings.name()), events, voter.desk());
        } catch (IOException e) {
            events.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw e;
        }
        following = new Following(settings, nowMicros, links, voter, followFaults, onLoop);
        if (voter != null) {
            voter.start();
        }
        following.start();
    }

    /**
     * Begins to share. It does not wait for the others, and a store that cannot be used is told by
     * {@link #standing}.
     *
     * @param nowMicros this process's monotonic clock, read by any thread
     * @param onLoop takes what is to run on the process's loop
     * @throws IOException where a voter cannot listen
     */
    public static Quorum open(
            QuorumSettings settings, List<StatePart> parts, LongSupplier nowMicros, Executor onLoop)
            throws IOException {
        quiet();
        long incarnation =
                settings.incarnation() > 0
                        ? settings.incarnation()
                        : Incarnations.next(settings.store(), System.currentTimeMillis());
        return new Quorum(settings.withIncarnation(incarnation), parts, nowMicros, onLoop);
    }

    private static void quiet() {
        EventLogs.setLoggerLevel(
                "io.microraft.", Level.ERROR); // It tells each vote; what counts is told here.
        EventLogs.setLoggerLevel("io.grpc.", Level.ERROR);
        GRPC.setLevel(
                java.util.logging.Level.SEVERE); // A peer that went away is no event of its own.
    }

    /**
     * Follows beside the process of these settings, which lives: without its vote, its store and
     * its incarnation.
     */
    public static Quorum openObserver(
            QuorumSettings settings, LongSupplier nowMicros, Executor onLoop) throws IOException {
        quiet();
        return new Quorum(settings.beside(), List.of(), nowMicros, onLoop);
    }

    /**
     * Begins an era at this voter, whose process must not run: the first one of an installation, or
     * the next after a total loss. The others are taken in as they come.
     *
     * @return null where it was done, or one sentence about what stands against it
     */
    public static String beginEra(QuorumSettings settings, long era) throws IOException {
        return EraBegin.begin(settings, era);
    }

    @Override
    public View view() {
        return following.view();
    }

    @Override
    public void submit(Command command, long withinMicros, Consumer<Reply> done) {
        following.ask(command, withinMicros, done);
    }

    @Override
    public Standing standing() {
        boolean votes = voter != null && voter.votes();
        String leader =
                following.leader() != null || voter == null ? following.leader() : voter.leader();
        return new Standing(
                settings.name(),
                settings.incarnation(),
                votes ? Role.VOTER : Role.OBSERVER,
                leader,
                following.voters(),
                faults.now() != null ? faults.now() : followFaults.now());
    }

    @Override
    public void close() {
        following.close();
        if (server != null) {
            server.close();
        }
        links.close();
        // A voter still answers who waits as it ends. Were the transport's thread gone by then, the
        // answer would throw.
        if (voter != null) {
            voter.close(this::endTransport);
        } else {
            endTransport();
        }
    }

    private void endTransport() {
        events.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }

    /**
     * Whether a voter's store is closed and its port free by now; for whoever opens it next. A
     * channel that is closed goes on listening until its selector has looked once more, so only the
     * end of the transport's thread tells.
     */
    public boolean awaitClosed(long millis) throws InterruptedException {
        return events.awaitTermination(millis, TimeUnit.MILLISECONDS)
                && (voter == null || voter.awaitClosed(millis));
    }
}
