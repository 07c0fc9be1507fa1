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
import postgrade.quorum.wire.Links;
import postgrade.quorum.wire.LogShapes;
import postgrade.quorum.wire.RaftShapes;
import postgrade.quorum.wire.Shapes;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.quorum.wire.proto.RaftMsg;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.StatePart;

/**
 * One era's log as this voter keeps it: engine, store and replica. All is called on the engine's
 * thread.
 */
final class Group {

    private static final Logger LOG = LoggerFactory.getLogger(Group.class);
    private static final int SNAPSHOT_EVERY = 2000;
    private static final int MOST_PENDING = 1000;
    private static final int BATCH = 200;

    /**
     * The log's time is told so seldom, as each entry is synced at all voters: most of what an idle
     * one does.
     */
    private static final int HEARTBEATS_OF_A_STEP = 2;

    private final QuorumSettings settings;
    private final EngineThread thread;
    private final Links links;
    private final VoterStore store;
    private final Replica replica;
    private final LogClock clock;
    private final long advanceMicros;
    private final Elections elections;
    private boolean silent;
    private String leader;
    final VoterStore.Facts facts;
    final RaftNode node;
    final Reads reads;
    final Admission admission;

    Group(
            QuorumSettings settings,
            List<StatePart> parts,
            LongSupplier nowMicros,
            EngineThread thread,
            Links links,
            VoterStore store,
            Elections elections)
            throws IOException {
        this.settings = settings;
        this.elections = elections;
        this.thread = thread;
        this.links = links;
        this.store = store;
        facts = store.facts();
        replica = new Replica(facts.era(), parts);
        advanceMicros = settings.heartbeatIntervalMillis() * 1000L;
        clock =
                new LogClock(
                        settings.name(),
                        settings.incarnation(),
                        nowMicros,
                        settings.electionTimeoutMillis() * 1000L,
                        HEARTBEATS_OF_A_STEP * advanceMicros);
        reads = new Reads(thread, links, facts.group(), settings.requestTimeoutMillis());
        admission = new Admission(settings, thread, thread.clock(nowMicros));
        RaftConfig config =
                RaftConfig.newBuilder()
                        .setLeaderHeartbeatPeriodSecs(1)
                        .setLeaderHeartbeatTimeoutSecs(
                                Math.max(
                                        2,
                                        settings.electionTimeoutMillis()
                                                / settings.heartbeatIntervalMillis()))
                        .setLeaderElectionTimeoutMillis(Elections.VOTE_MILLIS)
                        .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY)
                        .setMaxPendingLogEntryCount(MOST_PENDING)
                        .setAppendEntriesRequestBatchSize(BATCH)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .setRaftNodeReportPublishPeriodSecs(60)
                        .build();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(facts.group())
                        .setConfig(config)
                        .setRandom(elections.spread())
                        .setExecutor(thread)
                        .setClock(thread.clock(nowMicros))
                        .setStateMachine(replica)
                        .setStore(store)
                        .setRaftNodeReportListener(r -> changed(r.getReason()))
                        .setTransport(
                                new Transport() {
                                    @Override
                                    public void send(
                                            io.microraft.RaftEndpoint target, RaftMessage m) {
                                        leave(target, m);
                                    }

                                    @Override
                                    public boolean isReachable(io.microraft.RaftEndpoint endpoint) {
                                        return true;
                                    }
                                });
        RestoredRaftState restored = store.restored();
        node =
                restored != null
                        ? builder.setRestoredState(restored).build()
                        : builder.setLocalEndpoint(facts.self())
                                .setInitialGroupMembers(LogShapes.endpoints(facts.initial()))
                                .build();
    }

    private void leave(io.microraft.RaftEndpoint target, RaftMessage message) {
        if (!silent && elections.lets(message, target, leaderName())) {
            links.send(Endpoint.of(target), RaftShapes.write(message, target.getId().toString()));
        }
    }

    /** The peers tell that they follow nobody. */
    void nobodyLeads() {
        elections.nobodyLeads((RaftNodeImpl) node);
    }

    void start() {
        node.start();
        tick();
    }

    private void tick() {
        if (silent) {
            return;
        }
        try {
            OpenPreVote.close(node);
            if (clock.tick(node)) {
                CommitStall.tell(settings.name(), node, store.slowestMillis());
            }
            elections.askOnceFree((RaftNodeImpl) node);
        } finally {
            thread.afterMicros(this::tick, advanceMicros); // One that fails is not the last.
        }
    }

    private void changed(RaftNodeReportReason reason) {
        if (node == null || reason != RaftNodeReportReason.ROLE_CHANGE) {
            return;
        }
        clock.reset();
        String now = leaderName();
        if (now != null) {
            elections.leaderIsKnown();
        }
        if (now != null && !now.equals(leader)) {
            Events.info(LOG, "sharing.leader")
                    .addKeyValue("process", settings.name())
                    .addKeyValue("leader", now)
                    .addKeyValue("term", node.getTerm().getTerm())
                    .addKeyValue("era", facts.era())
                    .log(now + " leads");
        }
        leader = now;
    }

    /** Nothing leaves this process any more: not a vote, not an acknowledgement. */
    void silence() {
        silent = true;
        try {
            reads.close();
        } finally {
            node.terminate(); // Also where a waiting reader could not be told.
        }
    }

    String leaderName() {
        return new Reads.Endpoints(node).name();
    }

    boolean leads() {
        return new Reads.Endpoints(node).self();
    }

    /** Whether this voter counts, by what is committed. */
    boolean votes() {
        return node.getCommittedMembers().getVotingMembers().contains(facts.self());
    }

    void handle(RaftMsg m) {
        if (silent
                || !m.getGroup().equals(facts.group())
                || !m.getTo().equals(facts.self().toString())) {
            return; // Meant for another log, or for the identity before this one.
        }
        if (elections.refuses(m, leaderName())) {
            links.send(
                    Endpoint.of(m.getSender()),
                    RaftShapes.refusal(m, facts.self().toString(), node.getTerm().getTerm()));
            return;
        }
        if (counts(m, node.getTerm().getTerm())) {
            node.handle(RaftShapes.read(m));
        }
    }

    /**
     * Guards the engine, which counts an answer to an earlier leadership of ours for the one of
     * now.
     */
    static boolean counts(RaftMsg m, int term) {
        return !RaftShapes.answersLeader(m) || m.getTerm() >= term;
    }

    /** Has the leader's quorum confirm, then tells what changed since the asker's index. */
    void pull(PullRequest request, Consumer<PullReply> answer) {
        reads.confirm(
                node,
                index -> {
                    PullReply.Builder reply =
                            PullReply.newBuilder()
                                    .setGroup(facts.group())
                                    .setVoters(
                                            node.getCommittedMembers().getVotingMembers().size());
                    if (leaderName() != null) {
                        reply.setLeader(leaderName());
                    }
                    if (index == Reads.REFUSED) {
                        answer.accept(reply.setFault("no quorum").build());
                        return;
                    }
                    boolean resumed =
                            request.getIndex() > 0 && request.getGroup().equals(facts.group());
                    Pages.fill(reply, replica.machine, request, resumed);
                    answer.accept(reply.build());
                });
    }

    void decide(Command c, Consumer<AskReply> answer) {
        node.<Replica.Decided>replicate(c)
                .whenComplete(
                        (o, e) -> {
                            AskReply.Builder reply = AskReply.newBuilder().setGroup(facts.group());
                            if (leaderName() != null) {
                                reply.setLeader(leaderName());
                            }
                            if (e == null) {
                                reply.setAnswer(Shapes.answer(o.getResult().answer()))
                                        .setMoment(Shapes.moment(o.getResult().moment()));
                            }
                            answer.accept(reply.build());
                        });
    }

    Moment moment() {
        return replica.machine.moment();
    }
}
