package postgrade.quorum.follow;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.StateCodec;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState.Reply;

/**
 * Submits commands: to the leader if it is known, else to any voter, retrying with the same id
 * until the timeout.
 */
public final class CommandSubmitter {

    private static final long INITIAL_BACKOFF_MICROS = 40_000;
    private static final long MAX_BACKOFF_MICROS = 150_000;

    private final QuorumSettings settings;
    private final LongSupplier nowMicros;
    private final FollowerThread thread;
    private final List<VoterChannel> channels;
    private final CurrentEra currentEra;
    private final Executor onLoop;
    private final SplittableRandom random;
    private volatile boolean closed;
    private String leader;
    private int channelIndex;

    CommandSubmitter(
            QuorumSettings settings,
            LongSupplier nowMicros,
            FollowerThread thread,
            List<VoterChannel> channels,
            CurrentEra currentEra,
            Executor onLoop,
            long seed) {
        this.settings = settings;
        this.nowMicros = nowMicros;
        this.thread = thread;
        this.channels = channels;
        this.currentEra = currentEra;
        this.onLoop = onLoop;
        random = new SplittableRandom(seed);
    }

    void submit(Command command, long timeoutMicros, Consumer<Reply> done) {
        long deadlineMicros = nowMicros.getAsLong() + timeoutMicros;
        PendingCommand pending = new PendingCommand(command, deadlineMicros, done);
        thread.execute(() -> attempt(pending, INITIAL_BACKOFF_MICROS));
        thread.schedule(() -> finish(pending, undecidedReply()), timeoutMicros);
    }

    private Reply undecidedReply() {
        // One election timeout plus a random part, so that callers left without an answer do not
        // all retry at once.
        long electionMicros = settings.electionTimeoutMillis() * 1000L;
        return new Reply(null, null, electionMicros + random.nextLong(electionMicros));
    }

    private static final class PendingCommand {
        final Command command;
        final long deadlineMicros;
        final Consumer<Reply> done;
        boolean finished;

        PendingCommand(Command command, long deadlineMicros, Consumer<Reply> done) {
            this.command = command;
            this.deadlineMicros = deadlineMicros;
            this.done = done;
        }
    }

    private void attempt(PendingCommand pending, long backoffMicros) {
        long remainingMicros = pending.deadlineMicros - nowMicros.getAsLong();
        if (pending.finished || remainingMicros <= 0) {
            return;
        }
        VoterChannel channel = selectChannel();
        long timeoutMillis =
                Math.min(settings.requestTimeoutMillis(), Math.max(1, remainingMicros / 1000));
        AskRequest request =
                AskRequest.newBuilder()
                        .setCommand(StateCodec.command(pending.command))
                        .setWithinMicros(timeoutMillis * 1000)
                        .setEra(currentEra.era())
                        .build();
        boolean[] handled = {false};
        Consumer<AskReply> replyHandler =
                reply -> {
                    if (!handled[0]) {
                        handled[0] = true;
                        onReply(pending, channel, reply, backoffMicros);
                    }
                };
        thread.schedule(() -> replyHandler.accept(null), timeoutMillis * 1000 + 20_000);
        channel.ask(
                request, timeoutMillis, reply -> thread.execute(() -> replyHandler.accept(reply)));
    }

    private VoterChannel selectChannel() {
        for (VoterChannel channel : channels) {
            if (channel.voter().equals(leader)) {
                return channel;
            }
        }
        return channels.get(channelIndex % channels.size());
    }

    private void onReply(
            PendingCommand pending, VoterChannel channel, AskReply reply, long backoffMicros) {
        if (pending.finished) {
            return;
        }
        if (reply != null
                && reply.hasAnswer()
                && currentEra.accept(channel.voter(), reply.getGroup())) {
            leader = reply.getLeader().isEmpty() ? leader : reply.getLeader();
            finish(
                    pending,
                    new Reply(
                            StateCodec.answer(reply.getAnswer()),
                            StateCodec.moment(reply.getMoment()),
                            0));
            return;
        }
        String hint = reply == null || reply.getLeader().isEmpty() ? null : reply.getLeader();
        leader = hint == null || hint.equals(channel.voter()) ? null : hint;
        if (leader == null) {
            channelIndex++;
        }
        thread.schedule(
                () -> attempt(pending, Math.min(MAX_BACKOFF_MICROS, backoffMicros * 2)),
                (long) (backoffMicros * (0.5 + random.nextDouble())));
    }

    private void finish(PendingCommand pending, Reply reply) {
        if (!pending.finished) {
            pending.finished = true;
            onLoop.execute(
                    () -> {
                        if (!closed) {
                            pending.done.accept(reply);
                        }
                    });
        }
    }

    void close() {
        closed = true;
    }
}
