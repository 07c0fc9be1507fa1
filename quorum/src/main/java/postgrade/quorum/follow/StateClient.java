package postgrade.quorum.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.quorum.engine.FaultStatus;
import postgrade.quorum.engine.Voter;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.VoterConnections;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState.Reply;
import postgrade.shared.View;

/**
 * The part of the shared state that runs in every process, voter or not: pulls views and submits
 * commands.
 */
public final class StateClient {

    private final FollowerThread thread;
    private final Follower follower;
    private final CommandSubmitter commandSubmitter;

    /**
     * Creates the client.
     *
     * @param voter the voter in this process, or null
     */
    public StateClient(
            QuorumSettings settings,
            LongSupplier nowMicros,
            VoterConnections connections,
            Voter voter,
            FaultStatus faultStatus,
            Executor onLoop) {
        thread = new FollowerThread(settings.name());
        List<VoterChannel> channels = channels(settings, connections, voter);
        CurrentEra currentEra = new CurrentEra(faultStatus);
        long seed = settings.name().hashCode() * 31L + settings.incarnation();
        follower =
                new Follower(settings, nowMicros, thread, channels, currentEra, faultStatus, seed);
        commandSubmitter =
                new CommandSubmitter(
                        settings, nowMicros, thread, channels, currentEra, onLoop, seed + 1);
    }

    /**
     * The process's own voter comes first; the order of the others differs by process, to spread
     * the pulls.
     */
    private static List<VoterChannel> channels(
            QuorumSettings settings, VoterConnections connections, Voter voter) {
        List<VoterChannel> channels = new ArrayList<>();
        if (voter != null) {
            channels.add(VoterChannel.local(settings.name(), voter.requestHandler()));
        }
        int first = Math.floorMod(settings.name().hashCode(), settings.voters().size());
        for (int i = 0; i < settings.voters().size(); i++) {
            String name = settings.voters().get((first + i) % settings.voters().size()).name();
            if (!name.equals(settings.name())) {
                channels.add(VoterChannel.remote(connections, name));
            }
        }
        return channels;
    }

    public void start() {
        follower.start();
    }

    public View view() {
        return follower.view();
    }

    public String leader() {
        return follower.leader();
    }

    public int voters() {
        return follower.voters();
    }

    public void submit(Command command, long timeoutMicros, Consumer<Reply> done) {
        commandSubmitter.submit(command, timeoutMicros, done);
    }

    public void close() {
        commandSubmitter.close();
        thread.close();
    }
}
