package postgrade.quorum.engine;

import io.microraft.RaftEndpoint;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import java.util.Random;
import java.util.function.LongSupplier;
import postgrade.quorum.wire.RaftCodec;
import postgrade.quorum.wire.proto.RaftMsg;

/**
 * What this voter adds to the engine's elections: it waits for a leader that was there when it came
 * back, spreads the rounds, and logs its part. On the engine's thread.
 */
final class Elections {

    /**
     * How long votes are waited for, and the spread of it, in the engine's time: a heartbeat is a
     * second of it.
     */
    static final int VOTE_TIMEOUT_MILLIS = 3000;

    private static final int MAX_BACKOFF_ROUNDS = 6;

    private final LeaderStickiness stickiness;
    private final LongSupplier nowMicros;
    private final VoteLog voteLog;
    private final ElectionJitter jitter = new ElectionJitter();
    private boolean awaitingLeader;

    Elections(String process, LeaderStickiness stickiness, LongSupplier nowMicros) {
        this.stickiness = stickiness;
        this.nowMicros = nowMicros;
        voteLog = new VoteLog(process);
        awaitingLeader = sticksToLeader();
    }

    /** Where the engine draws the pauses between its rounds from. */
    Random jitter() {
        return jitter;
    }

    private boolean sticksToLeader() {
        return stickiness.holds(nowMicros.getAsLong());
    }

    /**
     * Whether a message of the engine's may leave; what leaves is logged.
     *
     * @param leader whom this voter follows, or null
     */
    boolean permitSend(RaftMessage message, RaftEndpoint target, String leader) {
        if (message instanceof PreVoteRequest && sticksToLeader()) {
            return false;
        }
        voteLog.logSent(message, target.getId(), leader);
        return true;
    }

    /** Whether a message asks for a vote that this voter does not give yet. */
    boolean refuseVoteRequest(RaftMsg message, String leader) {
        boolean refused = RaftCodec.isVoteRequest(message) && sticksToLeader();
        if (refused) {
            voteLog.logRefused(message, leader);
        }
        return refused;
    }

    /** A leader is there: later rounds are spread as first ones are. */
    void onLeaderKnown() {
        jitter.round = 0;
    }

    /** The peers tell that they follow nobody. */
    void onNoLeader(RaftNodeImpl node) {
        stickiness.release();
        startElectionOnceReleased(node);
    }

    /**
     * The leader that was waited for has not shown itself: votes are asked for at once, as the
     * engine's own next round may be far off.
     */
    void startElectionOnceReleased(RaftNodeImpl node) {
        if (!awaitingLeader || sticksToLeader()) {
            return;
        }
        awaitingLeader = false;
        if (node.state().role() == RaftRole.FOLLOWER && node.state().leader() == null) {
            jitter.round = 0;
            node.runPreVote();
        }
    }

    /**
     * Spreads elections. The engine's own spread is a tenth of its second, a hundredth of ours, and
     * two that tie would go on tying. Each round waits longer, so that a disk that is slow just now
     * does not outlast all of them.
     */
    private static final class ElectionJitter extends Random {
        private static final long serialVersionUID = 1L;
        private int round;

        @Override
        public int nextInt(int bound) {
            round = Math.min(MAX_BACKOFF_ROUNDS, round + 1);
            return super.nextInt(VOTE_TIMEOUT_MILLIS * round);
        }
    }
}
