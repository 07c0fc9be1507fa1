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
 * Admits voters with a new store, at the leader. The newcomer first learns the log, then the
 * previous identity of its name is removed, and then the newcomer becomes a voter. So there are
 * never more voters than the settings name, and none of them may have forgotten a vote. Each join
 * request of the newcomer advances this by one step.
 */
final class VoterAdmission {

    private static final Logger LOG = LoggerFactory.getLogger(VoterAdmission.class);

    /**
     * A learner at most this many entries behind counts as caught up, since the log's time keeps
     * adding entries.
     */
    private static final long MAX_CATCH_UP_LAG = 50;

    private static final int DUPLICATE_NAME_LOG_EVERY = 20;

    /** A step without an outcome for so many election timeouts is taken for lost. */
    private static final long LOST_AFTER_ELECTION_TIMEOUTS = 4;

    private final QuorumSettings settings;
    private final EngineThread thread;
    private final Clock clock;

    /** When the pending step began, by the engine's clock; 0 if there is none. */
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

    /**
     * Whether a step is pending. Allows only one step at a time, as the engine allows no two
     * membership changes at once; a step without an outcome for long no longer counts.
     */
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
            // The previous process may just have ended, so only repeated requests are logged.
            if (++duplicateNameRequests % DUPLICATE_NAME_LOG_EVERY != 0) {
                return;
            }
            Events.warn(LOG, "sharing.twice")
                    .addKeyValue("voter", newcomer.name())
                    .log(
                            "a second process uses the name "
                                    + newcomer.name()
                                    + "; it is not admitted");
            return;
        }
        if (previous.isPresent() && !members.getVotingMembers().contains(previous.get())) {
            changeMembership(
                    node,
                    previous.get(),
                    MembershipChangeMode.REMOVE_MEMBER,
                    "never became a voter");
        } else if (!members.getMembers().contains(newcomer)) {
            changeMembership(
                    node, newcomer, MembershipChangeMode.ADD_LEARNER, "added as a learner");
        } else if (report.getLog().getFollowerMatchIndices().getOrDefault(newcomer, 0L)
                        + MAX_CATCH_UP_LAG
                >= report.getLog().getCommitIndex()) {
            if (previous.isPresent()) {
                changeMembership(
                        node,
                        previous.get(),
                        MembershipChangeMode.REMOVE_MEMBER,
                        "replaced after the loss of its store");
            } else {
                changeMembership(
                        node,
                        newcomer,
                        MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER,
                        "promoted to voter");
            }
        }
    }

    /**
     * Whether the previous identity answered recently: then its process is alive, and another
     * process uses its name.
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
