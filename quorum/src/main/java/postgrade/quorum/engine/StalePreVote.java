package postgrade.quorum.engine;

import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;

/**
 * Guards against a fault of the engine (0.7): a pre-vote begun just before a leader makes itself
 * known stays open, and as long as it is open the follower never notices that this leader falls
 * silent. Where its log is the longest, nobody else can be elected either, and the quorum stands
 * for ever. Found by killing leaders under load.
 */
final class StalePreVote {

    private StalePreVote() {}

    /** Does what the engine does of itself where no pre-vote is open. On the engine's thread. */
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
