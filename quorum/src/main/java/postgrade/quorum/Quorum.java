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
import postgrade.quorum.engine.EraInitializer;
import postgrade.quorum.engine.FaultStatus;
import postgrade.quorum.engine.Voter;
import postgrade.quorum.follow.StateClient;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.Incarnations;
import postgrade.quorum.wire.Server;
import postgrade.quorum.wire.VoterConnections;
import postgrade.shared.Command;
import postgrade.shared.Part;
import postgrade.shared.Sharing;
import postgrade.shared.View;

/**
 * Shared state by a quorum of voters, for one process: a voter itself, or an observer that follows.
 */
public final class Quorum implements Sharing {

    /** Held, since loggers that nobody holds forget their level. */
    private static final java.util.logging.Logger GRPC_LOGGER =
            java.util.logging.Logger.getLogger("io.grpc");

    private final QuorumSettings settings;
    final EventLoopGroup eventLoops;
    private final VoterConnections connections;
    private final FaultStatus voterFault;
    private final FaultStatus followerFault;
    private final Voter voter;
    private final Server server;
    private final StateClient follower;

    private Quorum(
            QuorumSettings settings, List<Part> parts, LongSupplier nowMicros, Executor onLoop)
            throws IOException {
        this.settings = settings;
        voterFault = new FaultStatus(settings.name());
        followerFault = new FaultStatus(settings.name());
        eventLoops =
                new NioEventLoopGroup(
                        1,
                        task -> {
                            Thread t = new Thread(task, "quorum-wire-" + settings.name());
                            t.setDaemon(true);
                            return t;
                        });
        connections = new VoterConnections(settings, eventLoops);
        voter =
                settings.isVoter()
                        ? new Voter(settings, parts, nowMicros, connections, voterFault)
                        : null;
        try {
            server =
                    voter == null
                            ? null
                            : new Server(
                                    settings.voter(settings.name()),
                                    eventLoops,
                                    voter.requestHandler());
        } catch (IOException e) {
            eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw e;
        }
        follower = new StateClient(settings, nowMicros, connections, voter, followerFault, onLoop);
        if (voter != null) {
            voter.start();
        }
        follower.start();
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
            QuorumSettings settings, List<Part> parts, LongSupplier nowMicros, Executor onLoop)
            throws IOException {
        quietLibraryLoggers();
        long incarnation =
                settings.incarnation() > 0
                        ? settings.incarnation()
                        : Incarnations.next(settings.store(), System.currentTimeMillis());
        return new Quorum(settings.withIncarnation(incarnation), parts, nowMicros, onLoop);
    }

    private static void quietLibraryLoggers() {
        EventLogs.setLoggerLevel(
                "io.microraft.", Level.ERROR); // It tells each vote; what counts is told here.
        EventLogs.setLoggerLevel("io.grpc.", Level.ERROR);
        GRPC_LOGGER.setLevel(
                java.util.logging.Level.SEVERE); // A peer that went away is no event of its own.
    }

    /**
     * Follows beside the process of these settings, which lives: without its vote, its store and
     * its incarnation.
     */
    public static Quorum openObserver(
            QuorumSettings settings, LongSupplier nowMicros, Executor onLoop) throws IOException {
        quietLibraryLoggers();
        return new Quorum(settings.asObserver(), List.of(), nowMicros, onLoop);
    }

    /**
     * Begins an era at this voter, whose process must not run: the first one of an installation, or
     * the next after a total loss. The others are taken in as they come.
     *
     * @return null where it was done, or one sentence about what stands against it
     */
    public static String beginEra(QuorumSettings settings, long era) throws IOException {
        return EraInitializer.begin(settings, era);
    }

    @Override
    public View view() {
        return follower.view();
    }

    @Override
    public void ask(Command command, long withinMicros, Consumer<Reply> done) {
        follower.submit(command, withinMicros, done);
    }

    @Override
    public Standing standing() {
        boolean votes = voter != null && voter.isVoting();
        String leader =
                follower.leader() != null || voter == null ? follower.leader() : voter.leader();
        return new Standing(
                settings.name(),
                settings.incarnation(),
                votes ? Role.VOTER : Role.OBSERVER,
                leader,
                follower.voters(),
                voterFault.current() != null ? voterFault.current() : followerFault.current());
    }

    @Override
    public void close() {
        follower.close();
        if (server != null) {
            server.close();
        }
        connections.close();
        // A voter still answers who waits as it ends. Were the transport's thread gone by then, the
        // answer would throw.
        if (voter != null) {
            voter.close(this::shutDownTransport);
        } else {
            shutDownTransport();
        }
    }

    private void shutDownTransport() {
        eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }

    /**
     * Whether a voter's store is closed and its port free by now; for whoever opens it next. A
     * channel that is closed goes on listening until its selector has looked once more, so only the
     * end of the transport's thread tells.
     */
    public boolean awaitClosed(long millis) throws InterruptedException {
        return eventLoops.awaitTermination(millis, TimeUnit.MILLISECONDS)
                && (voter == null || voter.awaitClosed(millis));
    }
}
