package postgrade.quorum.engine;

import io.microraft.RaftConfig;
import io.microraft.RaftNode;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftNodeReport.RaftNodeReportReason;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.LogCodec;
import postgrade.quorum.wire.RaftCodec;
import postgrade.quorum.wire.StateCodec;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.quorum.wire.proto.RaftMsg;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.StatePart;

/**
 * The log of one era at this voter: consensus engine, store and replica. Used on the engine's
 * thread only.
 */
final class RaftGroup {

    private static final Logger LOG = LoggerFactory.getLogger(RaftGroup.class);
    private static final int ENTRIES_PER_SNAPSHOT = 2000;
    private static final int MAX_PENDING_ENTRIES = 1000;
    private static final int APPEND_BATCH_SIZE = 200;

    /**
     * Interval of entries that advance the log's time. Each is synced at all voters, which is most
     * of the work of an idle voter, so not every heartbeat gets one.
     */
    private static final int HEARTBEATS_PER_TIME_ENTRY = 2;

    private final QuorumSettings settings;
    private final EngineThread thread;
    private final VoterConnections connections;
    private final VoterStore store;
    private final Replica replica;
    private final LogClock clock;
    private final long tickIntervalMicros;
    private final Elections elections;
    private boolean terminated;
    private String leader;
    final VoterStore.Metadata metadata;
    final RaftNode node;
    final LinearizableReads reads;
    final VoterAdmission admission;

    RaftGroup(
            QuorumSettings settings,
            List<StatePart> parts,
            LongSupplier nowMicros,
            EngineThread thread,
            VoterConnections connections,
            VoterStore store,
            Elections elections)
            throws IOException {
        this.settings = settings;
        this.elections = elections;
        this.thread = thread;
        this.connections = connections;
        this.store = store;
        metadata = store.metadata();
        replica = new Replica(metadata.era(), parts);
        tickIntervalMicros = settings.heartbeatIntervalMillis() * 1000L;
        clock =
                new LogClock(
                        settings.name(),
                        settings.incarnation(),
                        nowMicros,
                        settings.electionTimeoutMillis() * 1000L,
                        HEARTBEATS_PER_TIME_ENTRY * tickIntervalMicros);
        reads =
                new LinearizableReads(
                        thread, connections, metadata.group(), settings.requestTimeoutMillis());
        admission = new VoterAdmission(settings, thread, thread.clock(nowMicros));
        RaftConfig config =
                RaftConfig.newBuilder()
                        .setLeaderHeartbeatPeriodSecs(1)
                        .setLeaderHeartbeatTimeoutSecs(
                                Math.max(
                                        2,
                                        settings.electionTimeoutMillis()
                                                / settings.heartbeatIntervalMillis()))
                        .setLeaderElectionTimeoutMillis(Elections.VOTE_TIMEOUT_MILLIS)
                        .setCommitCountToTakeSnapshot(ENTRIES_PER_SNAPSHOT)
                        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                        .setAppendEntriesRequestBatchSize(APPEND_BATCH_SIZE)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .setRaftNodeReportPublishPeriodSecs(60)
                        .build();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(metadata.group())
                        .setConfig(config)
                        .setRandom(elections.jitter())
                        .setExecutor(thread)
                        .setClock(thread.clock(nowMicros))
                        .setStateMachine(replica)
                        .setStore(store)
                        .setRaftNodeReportListener(r -> onReport(r.getReason()))
                        .setTransport(
                                new Transport() {
                                    @Override
                                    public void send(
                                            io.microraft.RaftEndpoint target, RaftMessage m) {
                                        sendToPeer(target, m);
                                    }

                                    @Override
                                    public boolean isReachable(io.microraft.RaftEndpoint endpoint) {
                                        return true;
                                    }
                                });
        RestoredRaftState restored = store.restore();
        node =
                restored != null
                        ? builder.setRestoredState(restored).build()
                        : builder.setLocalEndpoint(metadata.self())
                                .setInitialGroupMembers(LogCodec.endpoints(metadata.initial()))
                                .build();
    }

    private void sendToPeer(io.microraft.RaftEndpoint target, RaftMessage message) {
        if (!terminated && elections.permitSend(message, target, leaderName())) {
            connections.send(
                    Endpoint.of(target), RaftCodec.encode(message, target.getId().toString()));
        }
    }

    /** Called when the peers report that they follow no leader. */
    void onNoLeader() {
        elections.onNoLeader((RaftNodeImpl) node);
    }

    void start() {
        node.start();
        tick();
    }

    private void tick() {
        if (terminated) {
            return;
        }
        try {
            StalePreVote.restartIfLeaderSilent(node);
            if (clock.tick(node)) {
                CommitStallLog.log(settings.name(), node, store.slowestMillis());
            }
            elections.startElectionOnceReleased((RaftNodeImpl) node);
        } finally {
            thread.scheduleMicros(this::tick, tickIntervalMicros); // Also after a failure.
        }
    }

    private void onReport(RaftNodeReportReason reason) {
        if (node == null || reason != RaftNodeReportReason.ROLE_CHANGE) {
            return;
        }
        clock.reset();
        String currentLeader = leaderName();
        if (currentLeader != null) {
            elections.onLeaderKnown();
        }
        if (currentLeader != null && !currentLeader.equals(leader)) {
            Events.info(LOG, "sharing.leader")
                    .addKeyValue("process", settings.name())
                    .addKeyValue("leader", currentLeader)
                    .addKeyValue("term", node.getTerm().getTerm())
                    .addKeyValue("era", metadata.era())
                    .log(currentLeader + " is the leader");
        }
        leader = currentLeader;
    }

    /** Stops this group: from now on it sends no vote and no acknowledgement. */
    void terminate() {
        terminated = true;
        try {
            reads.close();
        } finally {
            node.terminate(); // Also after a failure to notify a waiting reader.
        }
    }

    String leaderName() {
        return new LinearizableReads.KnownLeader(node).name();
    }

    boolean isLeader() {
        return new LinearizableReads.KnownLeader(node).isSelf();
    }

    /** Whether this voter is a voting member by the committed member list. */
    boolean isVoter() {
        return node.getCommittedMembers().getVotingMembers().contains(metadata.self());
    }

    void handle(RaftMsg message) {
        if (terminated
                || !message.getGroup().equals(metadata.group())
                || !message.getTo().equals(metadata.self().toString())) {
            return; // Addressed to another log or to an earlier identity.
        }
        if (elections.refuseVoteRequest(message, leaderName())) {
            connections.send(
                    Endpoint.of(message.getSender()),
                    RaftCodec.refusal(
                            message, metadata.self().toString(), node.getTerm().getTerm()));
            return;
        }
        if (isCurrent(message, node.getTerm().getTerm())) {
            node.handle(RaftCodec.decode(message));
        }
    }

    /**
     * Guards against a fault of the engine, which takes answers to an earlier leadership of this
     * voter as answers to the current one.
     */
    static boolean isCurrent(RaftMsg message, int term) {
        return !RaftCodec.isResponseToLeader(message) || message.getTerm() >= term;
    }

    /** Has the quorum confirm an index, then sends the changes since the index of the request. */
    void pull(PullRequest request, Consumer<PullReply> answer) {
        reads.confirm(
                node,
                index -> {
                    PullReply.Builder reply =
                            PullReply.newBuilder()
                                    .setGroup(metadata.group())
                                    .setVoters(
                                            node.getCommittedMembers().getVotingMembers().size());
                    if (leaderName() != null) {
                        reply.setLeader(leaderName());
                    }
                    if (index == LinearizableReads.REFUSED) {
                        answer.accept(reply.setFault("no quorum").build());
                        return;
                    }
                    boolean resumed =
                            request.getIndex() > 0 && request.getGroup().equals(metadata.group());
                    StatePages.fill(reply, replica.machine, request, resumed);
                    answer.accept(reply.build());
                });
    }

    void replicate(Command command, Consumer<AskReply> answer) {
        node.<Replica.Applied>replicate(command)
                .whenComplete(
                        (ordered, failure) -> {
                            AskReply.Builder reply =
                                    AskReply.newBuilder().setGroup(metadata.group());
                            if (leaderName() != null) {
                                reply.setLeader(leaderName());
                            }
                            if (failure == null) {
                                reply.setAnswer(StateCodec.answer(ordered.getResult().answer()))
                                        .setMoment(StateCodec.moment(ordered.getResult().moment()));
                            }
                            answer.accept(reply.build());
                        });
    }

    Moment moment() {
        return replica.machine.moment();
    }
}
