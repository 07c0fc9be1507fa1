package postgrade.quorum.engine;

import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;

/**
 * Works around a fault of the engine (0.7): a pre-vote that begins just before a leader announces
 * itself stays open, and while it is open the follower never notices that this leader falls silent.
 * If its log is the longest, nobody else can be elected either, and the quorum stops for good. The
 * fault appears when leaders are killed under load.
 */
final class StalePreVote {

    private StalePreVote() {}

    /** Does what the engine itself does when no pre-vote is open. Called on the engine's thread. */
    static void restartIfLeaderSilent(RaftNode node) {
        if (node instanceof RaftNodeImpl n
                && n.state().role() == RaftRole.FOLLOWER
                && n.state().leader() != null
                && n.state().preCandidateState() != null
                && n.isLeaderHeartbeatTimeoutElapsed()) {
            n.leader(null);
            n.runPreVote();
        }
    }
}
