package postgrade.quorum.engine;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftNodeReport;
import java.time.Clock;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.Endpoint;

/**
 * Takes in voters whose store is new, at the leader. The newcomer learns the log first; then the
 * identity that its name had before goes, and then it votes. So there are never more voters than
 * the settings name, and none votes that could have forgotten a vote. Each of the newcomer's
 * questions takes one step on.
 */
final class VoterAdmission {

    private static final Logger LOG = LoggerFactory.getLogger(VoterAdmission.class);

    /** So many entries behind is caught up: the log's time goes on all the while. */
    private static final long MAX_CATCH_UP_LAG = 50;

    private static final int DUPLICATE_NAME_LOG_EVERY = 20;

    /** A step not heard of for so many election timeouts is taken for lost. */
    private static final long LOST_AFTER_ELECTION_TIMEOUTS = 4;

    private final QuorumSettings settings;
    private final EngineThread thread;
    private final Clock clock;

    /** When the step that has not ended was begun, by the engine's clock; 0 where there is none. */
    private long pendingSinceMillis;

    private int duplicateNameRequests;

    VoterAdmission(QuorumSettings settings, EngineThread thread, Clock clock) {
        this.settings = settings;
        this.thread = thread;
        this.clock = clock;
    }

    void onJoinRequest(RaftNode node, Endpoint newcomer) {
        if (isStepPending(node)
                || settings.voter(newcomer.name()) == null
                || newcomer.equals(node.getLocalEndpoint())) {
            return;
        }
        pendingSinceMillis = clock.millis();
        node.getReport()
                .whenComplete(
                        (r, e) ->
                                thread.execute(
                                        () -> {
                                            pendingSinceMillis = 0;
                                            if (e == null) {
                                                advance(node, newcomer, r.getResult());
                                            }
                                        }));
    }

    /** A step of which nothing was heard for long ends here: the engine allows no two changes. */
    private boolean isStepPending(RaftNode node) {
        long timeout =
                LOST_AFTER_ELECTION_TIMEOUTS
                        * node.getConfig().getLeaderHeartbeatTimeoutSecs()
                        * 1000;
        return pendingSinceMillis > 0 && clock.millis() - pendingSinceMillis < timeout;
    }

    private void advance(RaftNode node, Endpoint newcomer, RaftNodeReport report) {
        var members = node.getCommittedMembers();
        if (node.getEffectiveMembers().getLogIndex() != members.getLogIndex()
                || members.getVotingMembers().contains(newcomer)) {
            return; // One change at a time.
        }
        Optional<RaftEndpoint> previous =
                members.getMembers().stream()
                        .filter(
                                m ->
                                        m instanceof Endpoint e
                                                && e.name().equals(newcomer.name())
                                                && !e.equals(newcomer))
                        .findFirst();
        if (previous.isPresent() && answeredRecently(node, report, previous.get())) {
            // It may have gone a moment ago, so it is told only where it goes on.
            if (++duplicateNameRequests % DUPLICATE_NAME_LOG_EVERY != 0) {
                return;
            }
            Events.warn(LOG, "sharing.twice")
                    .addKeyValue("voter", newcomer.name())
                    .log(
                            "a second process calls itself "
                                    + newcomer.name()
                                    + "; it is not taken in");
            return;
        }
        if (previous.isPresent() && !members.getVotingMembers().contains(previous.get())) {
            changeMembership(
                    node,
                    previous.get(),
                    MembershipChangeMode.REMOVE_MEMBER,
                    "it never came to vote");
        } else if (!members.getMembers().contains(newcomer)) {
            changeMembership(node, newcomer, MembershipChangeMode.ADD_LEARNER, "it learns the log");
        } else if (report.getLog().getFollowerMatchIndices().getOrDefault(newcomer, 0L)
                        + MAX_CATCH_UP_LAG
                >= report.getLog().getCommitIndex()) {
            if (previous.isPresent()) {
                changeMembership(
                        node,
                        previous.get(),
                        MembershipChangeMode.REMOVE_MEMBER,
                        "its store is gone");
            } else {
                changeMembership(
                        node,
                        newcomer,
                        MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER,
                        "it votes");
            }
        }
    }

    /**
     * Whether the former identity answered lately: then its process lives, and another has taken
     * its name.
     */
    private boolean answeredRecently(RaftNode node, RaftNodeReport report, RaftEndpoint previous) {
        long timeout = node.getConfig().getLeaderHeartbeatTimeoutSecs() * 1000;
        return report.getHeartbeatTimestamps().getOrDefault(previous, 0L) + timeout
                > clock.millis();
    }

    private void changeMembership(
            RaftNode node, RaftEndpoint endpoint, MembershipChangeMode mode, String reason) {
        pendingSinceMillis = clock.millis();
        node.changeMembership(endpoint, mode, node.getCommittedMembers().getLogIndex())
                .whenComplete(
                        (r, e) ->
                                thread.execute(
                                        () -> {
                                            pendingSinceMillis = 0;
                                            if (e == null) {
                                                Events.info(LOG, "sharing.voters")
                                                        .addKeyValue("voter", endpoint.getId())
                                                        .addKeyValue("why", reason)
                                                        .log(
                                                                "voters changed: "
                                                                        + endpoint.getId()
                                                                        + ", "
                                                                        + reason);
                                            }
                                        }));
    }
}
