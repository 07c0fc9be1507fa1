package postgrade.quorum.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.quorum.engine.Faults;
import postgrade.quorum.engine.Voter;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.Links;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState.Reply;
import postgrade.shared.View;

/** What every process does, voter or not: follows, and asks. */
public final class Following {

    private final FollowThread thread;
    private final Follower follower;
    private final Asker asker;

    /**
     * @param voter the one in this process, or null
     */
    public Following(
            QuorumSettings settings,
            LongSupplier nowMicros,
            Links links,
            Voter voter,
            Faults faults,
            Executor onLoop) {
        thread = new FollowThread(settings.name());
        List<Way> ways = ways(settings, links, voter);
        Eras eras = new Eras(faults);
        long seed = settings.name().hashCode() * 31L + settings.incarnation();
        follower = new Follower(settings, nowMicros, thread, ways, eras, faults, seed);
        asker = new Asker(settings, nowMicros, thread, ways, eras, onLoop, seed + 1);
    }

    /**
     * One's own voter first; the others in an order that differs by process, so that they share the
     * pulls.
     */
    private static List<Way> ways(QuorumSettings settings, Links links, Voter voter) {
        List<Way> ways = new ArrayList<>();
        if (voter != null) {
            ways.add(Way.within(settings.name(), voter.desk()));
        }
        int first = Math.floorMod(settings.name().hashCode(), settings.voters().size());
        for (int i = 0; i < settings.voters().size(); i++) {
            String name = settings.voters().get((first + i) % settings.voters().size()).name();
            if (!name.equals(settings.name())) {
                ways.add(Way.over(links, name));
            }
        }
        return ways;
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

    public void ask(Command command, long withinMicros, Consumer<Reply> done) {
        asker.ask(command, withinMicros, done);
    }

    public void close() {
        asker.close();
        thread.close();
    }
}
