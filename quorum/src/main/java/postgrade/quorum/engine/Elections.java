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
 * What this voter adds to the elections of the consensus engine: after a restart it waits for the
 * leader that was there, it randomises the pauses between rounds, and it logs its votes. Used on
 * the engine's thread.
 */
final class Elections {

    /**
     * Vote timeout, and range of its random part, in the engine's time, in which a heartbeat
     * interval lasts one second.
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

    /** The source of the engine's random pauses between election rounds. */
    Random jitter() {
        return jitter;
    }

    private boolean sticksToLeader() {
        return stickiness.holds(nowMicros.getAsLong());
    }

    /**
     * Whether a message of the engine may be sent; logs it if so.
     *
     * @param leader the leader that this voter follows, or null
     */
    boolean permitSend(RaftMessage message, RaftEndpoint target, String leader) {
        if (message instanceof PreVoteRequest && sticksToLeader()) {
            return false;
        }
        voteLog.logSent(message, target.getId(), leader);
        return true;
    }

    /** Whether a message requests a vote that this voter must not grant yet. */
    boolean refuseVoteRequest(RaftMsg message, String leader) {
        boolean refused = RaftCodec.isVoteRequest(message) && sticksToLeader();
        if (refused) {
            voteLog.logRefused(message, leader);
        }
        return refused;
    }

    /**
     * Resets the backoff once a leader is known, so that later elections start with short pauses.
     */
    void onLeaderKnown() {
        jitter.round = 0;
    }

    /** Called when the peers report that they follow no leader. */
    void onNoLeader(RaftNodeImpl node) {
        stickiness.release();
        startElectionOnceReleased(node);
    }

    /**
     * Starts an election at once if the leader that this voter waited for has not appeared, as the
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
     * Random pauses between election rounds. The engine's own random part is a tenth of its second,
     * which is a hundredth of a second here, so two candidates that tie would keep tying. Each
     * round waits longer, so that a temporarily slow disk does not outlast all rounds.
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
