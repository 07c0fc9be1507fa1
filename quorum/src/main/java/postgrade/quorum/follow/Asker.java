package postgrade.quorum.follow;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.Shapes;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState.Reply;

/**
 * Has commands decided: asks the leader where it is known, else any voter, with the same id until
 * the time is up.
 */
public final class Asker {

    private static final long FIRST_PAUSE_MICROS = 40_000;
    private static final long LONGEST_PAUSE_MICROS = 150_000;

    private final QuorumSettings settings;
    private final LongSupplier nowMicros;
    private final FollowThread thread;
    private final List<Way> ways;
    private final Eras eras;
    private final Executor onLoop;
    private final SplittableRandom random;
    private volatile boolean closed;
    private String leader;
    private int at;

    Asker(
            QuorumSettings settings,
            LongSupplier nowMicros,
            FollowThread thread,
            List<Way> ways,
            Eras eras,
            Executor onLoop,
            long seed) {
        this.settings = settings;
        this.nowMicros = nowMicros;
        this.thread = thread;
        this.ways = ways;
        this.eras = eras;
        this.onLoop = onLoop;
        random = new SplittableRandom(seed);
    }

    void ask(Command command, long withinMicros, Consumer<Reply> done) {
        long until = nowMicros.getAsLong() + withinMicros;
        Asked asked = new Asked(command, until, done);
        thread.run(() -> attempt(asked, FIRST_PAUSE_MICROS));
        thread.after(() -> finish(asked, undecided()), withinMicros);
    }

    private Reply undecided() {
        // One election, spread, so that whoever was left without an answer does not come back at
        // once.
        long election = settings.electionTimeoutMillis() * 1000L;
        return new Reply(null, null, election + random.nextLong(election));
    }

    private static final class Asked {
        final Command command;
        final long until;
        final Consumer<Reply> done;
        boolean finished;

        Asked(Command command, long until, Consumer<Reply> done) {
            this.command = command;
            this.until = until;
            this.done = done;
        }
    }

    private void attempt(Asked asked, long pause) {
        long left = asked.until - nowMicros.getAsLong();
        if (asked.finished || left <= 0) {
            return;
        }
        Way way = way();
        long within = Math.min(settings.requestTimeoutMillis(), Math.max(1, left / 1000));
        AskRequest request =
                AskRequest.newBuilder()
                        .setCommand(Shapes.command(asked.command))
                        .setWithinMicros(within * 1000)
                        .setEra(eras.era())
                        .build();
        boolean[] over = {false};
        Consumer<AskReply> answered =
                reply -> {
                    if (!over[0]) {
                        over[0] = true;
                        answered(asked, way, reply, pause);
                    }
                };
        thread.after(() -> answered.accept(null), within * 1000 + 20_000);
        way.ask(request, within, reply -> thread.run(() -> answered.accept(reply)));
    }

    private Way way() {
        for (Way w : ways) {
            if (w.voter().equals(leader)) {
                return w;
            }
        }
        return ways.get(at % ways.size());
    }

    private void answered(Asked asked, Way way, AskReply reply, long pause) {
        if (asked.finished) {
            return;
        }
        if (reply != null && reply.hasAnswer() && eras.takes(way.voter(), reply.getGroup())) {
            leader = reply.getLeader().isEmpty() ? leader : reply.getLeader();
            finish(
                    asked,
                    new Reply(
                            Shapes.answer(reply.getAnswer()), Shapes.moment(reply.getMoment()), 0));
            return;
        }
        String hint = reply == null || reply.getLeader().isEmpty() ? null : reply.getLeader();
        leader = hint == null || hint.equals(way.voter()) ? null : hint;
        if (leader == null) {
            at++;
        }
        thread.after(
                () -> attempt(asked, Math.min(LONGEST_PAUSE_MICROS, pause * 2)),
                (long) (pause * (0.5 + random.nextDouble())));
    }

    private void finish(Asked asked, Reply reply) {
        if (!asked.finished) {
            asked.finished = true;
            onLoop.execute(
                    () -> {
                        if (!closed) {
                            asked.done.accept(reply);
                        }
                    });
        }
    }

    void close() {
        closed = true;
    }
}
