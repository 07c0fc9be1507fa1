package postgrade.quorum.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.Methods;
import postgrade.quorum.wire.Server;
import postgrade.quorum.wire.StateCodec;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.quorum.wire.proto.RaftMsg;
import postgrade.quorum.wire.proto.ReadReply;
import postgrade.quorum.wire.proto.ReadRequest;

/**
 * Handles the requests of peers, followers and command submitters at a voter, on the engine's
 * thread.
 */
final class VoterRequestHandler implements Server.RequestHandler {

    private static final int MAX_TRACKED_PULLERS = 1000;

    private final Voter voter;
    private final QuorumSettings settings;
    private final LongSupplier nowMicros;
    private final VoterConnections connections;
    private final EngineThread thread;
    private final PeerPromises promises = new PeerPromises();
    private final Map<String, Long> lastPullMicros = new HashMap<>();

    VoterRequestHandler(
            Voter voter,
            QuorumSettings settings,
            LongSupplier nowMicros,
            VoterConnections connections,
            EngineThread thread) {
        this.voter = voter;
        this.settings = settings;
        this.nowMicros = nowMicros;
        this.connections = connections;
        this.thread = thread;
    }

    @Override
    public void raft(RaftMsg message) {
        thread.submit(
                () -> {
                    promises.observe(message);
                    RaftGroup group = voter.group();
                    if (group != null) {
                        group.handle(message);
                    }
                });
    }

    @Override
    public void pull(PullRequest request, Consumer<PullReply> answer) {
        thread.submit(
                () -> {
                    RaftGroup group = voter.group();
                    long now = nowMicros.getAsLong();
                    long minIntervalMicros = settings.pullIntervalMillis() * 1000L / 4;
                    // Bounds the number of names; a real follower is tracked again at its next
                    // pull.
                    if (lastPullMicros.size() > MAX_TRACKED_PULLERS) {
                        lastPullMicros.clear();
                    }
                    Long previousMicros = lastPullMicros.put(request.getName(), now);
                    if (group == null || request.getEra() > group.metadata.era()) {
                        answer.accept(
                                PullReply.newBuilder().setFault("no store of that era").build());
                    } else if (previousMicros != null
                            && now - previousMicros < minIntervalMicros
                            && request.getAfterPart().isEmpty()) {
                        answer.accept(
                                PullReply.newBuilder()
                                        .setBusyMillis(settings.pullIntervalMillis() / 4 + 1)
                                        .build());
                    } else {
                        group.pull(
                                request,
                                TimeLimitedAnswer.withTimeout(
                                        thread,
                                        settings.requestTimeoutMillis(),
                                        PullReply.newBuilder()
                                                .setFault("not confirmed in time")
                                                .build(),
                                        answer));
                    }
                });
    }

    @Override
    public void read(ReadRequest request, Consumer<ReadReply> answer) {
        thread.submit(
                () -> {
                    RaftGroup group = voter.group();
                    if (group == null
                            || !group.isLeader()
                            || !group.metadata.group().equals(request.getGroup())) {
                        answer.accept(ReadReply.getDefaultInstance());
                    } else {
                        Consumer<ReadReply> limitedAnswer =
                                TimeLimitedAnswer.withTimeout(
                                        thread,
                                        settings.requestTimeoutMillis(),
                                        ReadReply.getDefaultInstance(),
                                        answer);
                        group.reads.confirm(
                                group.node,
                                index ->
                                        limitedAnswer.accept(
                                                ReadReply.newBuilder()
                                                        .setConfirmed(
                                                                index != LinearizableReads.REFUSED)
                                                        .setIndex(Math.max(0, index))
                                                        .build()));
                    }
                });
    }

    @Override
    public void ask(AskRequest request, Consumer<AskReply> answer) {
        thread.submit(
                () -> {
                    RaftGroup group = voter.group();
                    if (group == null || request.getEra() > group.metadata.era()) {
                        answer.accept(AskReply.getDefaultInstance());
                    } else if (group.isLeader()) {
                        group.replicate(
                                StateCodec.command(request.getCommand()),
                                TimeLimitedAnswer.withTimeout(
                                        thread,
                                        Math.min(
                                                settings.requestTimeoutMillis(),
                                                request.getWithinMicros() / 1000),
                                        AskReply.getDefaultInstance(),
                                        answer));
                    } else if (group.leaderName() != null && !request.getForwarded()) {
                        connections.call(
                                group.leaderName(),
                                Methods.ASK,
                                request.toBuilder().setForwarded(true).build(),
                                Math.min(
                                        settings.requestTimeoutMillis(),
                                        request.getWithinMicros() / 1000),
                                (reply, status) ->
                                        answer.accept(
                                                reply == null
                                                        ? AskReply.getDefaultInstance()
                                                        : reply));
                    } else {
                        answer.accept(AskReply.getDefaultInstance());
                    }
                });
    }

    @Override
    public void hello(HelloRequest request, Consumer<HelloReply> answer) {
        thread.submit(
                () -> {
                    RaftGroup group = voter.group();
                    VoterStore store = voter.store();
                    HelloReply.Builder reply = HelloReply.newBuilder().setName(settings.name());
                    if (store != null) {
                        VoterStore.Metadata metadata = store.metadata();
                        String endpoint = request.getName() + "/" + request.getIdentity();
                        reply.setIdentity(metadata.self().identity())
                                .setGroup(metadata.group())
                                .setEra(metadata.era())
                                .setBoot(store.boot())
                                .addAllInitial(metadata.initial())
                                .setSeenBoot(store.seenBoot(endpoint));
                        promises.addTo(endpoint, reply);
                    }
                    if (group != null) {
                        group.node
                                .getCommittedMembers()
                                .getMembers()
                                .forEach(m -> reply.addMembers(m.getId().toString()));
                        reply.setMembersIndex(group.node.getCommittedMembers().getLogIndex())
                                .setLeads(group.isLeader());
                        if (group.leaderName() != null) {
                            reply.setLeader(group.leaderName());
                        }
                        if (request.getJoin()
                                && group.isLeader()
                                && request.getGroup().equals(group.metadata.group())) {
                            group.admission.onJoinRequest(
                                    group.node,
                                    new Endpoint(request.getName(), request.getIdentity()));
                        }
                    }
                    answer.accept(reply.build());
                });
    }
}
