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
import postgrade.shared.ReplicatedState;
import postgrade.shared.StatePart;
import postgrade.shared.View;

/**
 * State shared through a quorum of voters, as one process takes part in it: as a voter or as an
 * observer that follows the voters.
 */
public final class Quorum implements ReplicatedState {

    /**
     * Strong reference: java.util.logging keeps loggers weakly and would forget the level set here.
     */
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
            QuorumSettings settings, List<StatePart> parts, LongSupplier nowMicros, Executor onLoop)
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
     * Opens the shared state. Does not wait for other processes; a store that cannot be used is
     * reported by {@link #standing}.
     *
     * @param nowMicros this process's monotonic clock, callable from any thread
     * @param onLoop runs tasks on the process's event loop
     * @throws IOException if a voter cannot listen on its port
     */
    public static Quorum open(
            QuorumSettings settings, List<StatePart> parts, LongSupplier nowMicros, Executor onLoop)
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
                "io.microraft.", Level.ERROR); // Logs every vote; this module logs what matters.
        EventLogs.setLoggerLevel("io.grpc.", Level.ERROR);
        GRPC_LOGGER.setLevel(
                java.util.logging.Level.SEVERE); // A disconnected peer is not worth a log line.
    }

    /**
     * Opens an observer next to the running process of these settings, without its vote, its store
     * and its incarnation.
     */
    public static Quorum openObserver(
            QuorumSettings settings, LongSupplier nowMicros, Executor onLoop) throws IOException {
        quietLibraryLoggers();
        return new Quorum(settings.asObserver(), List.of(), nowMicros, onLoop);
    }

    /**
     * Begins an era at this voter, whose process must not be running: the first era of an
     * installation, or the next one after a total loss. The other voters are admitted as they
     * start.
     *
     * @return null if the era has begun, else one sentence that says why it was refused
     */
    public static String beginEra(QuorumSettings settings, long era) throws IOException {
        return EraInitializer.begin(settings, era);
    }

    @Override
    public View view() {
        return follower.view();
    }

    @Override
    public void submit(Command command, long timeoutMicros, Consumer<Reply> done) {
        follower.submit(command, timeoutMicros, done);
    }

    @Override
    public Standing standing() {
        boolean voting = voter != null && voter.isVoting();
        String leader =
                follower.leader() != null || voter == null ? follower.leader() : voter.leader();
        return new Standing(
                settings.name(),
                settings.incarnation(),
                voting ? Role.VOTER : Role.OBSERVER,
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
        // The voter still answers waiting callers while it shuts down; if the transport's thread
        // had ended by then, answering would throw.
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
     * Waits until a voter's store is closed and its port is free, so that both can be opened again.
     * A closed channel keeps listening until its selector has run once more, so only the end of the
     * transport's thread shows that the port is free.
     */
    public boolean awaitClosed(long millis) throws InterruptedException {
        return eventLoops.awaitTermination(millis, TimeUnit.MILLISECONDS)
                && (voter == null || voter.awaitClosed(millis));
    }
}
