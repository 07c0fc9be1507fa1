package postgrade.quorum.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.Links;
import postgrade.quorum.wire.Methods;
import postgrade.quorum.wire.Server;
import postgrade.quorum.wire.Shapes;
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
 * What a voter answers: to its peers, and to whoever follows or asks. All is done on the engine's
 * thread.
 */
final class Desk implements Server.Desk {

    private static final int MOST_PULLERS = 1000;

    private final Voter voter;
    private final QuorumSettings settings;
    private final LongSupplier nowMicros;
    private final Links links;
    private final EngineThread thread;
    private final Known known = new Known();
    private final Map<String, Long> pulled = new HashMap<>();

    Desk(
            Voter voter,
            QuorumSettings settings,
            LongSupplier nowMicros,
            Links links,
            EngineThread thread) {
        this.voter = voter;
        this.settings = settings;
        this.nowMicros = nowMicros;
        this.links = links;
        this.thread = thread;
    }

    @Override
    public void raft(RaftMsg message) {
        thread.submit(
                () -> {
                    known.heard(message);
                    Group group = voter.group();
                    if (group != null) {
                        group.handle(message);
                    }
                });
    }

    @Override
    public void pull(PullRequest request, Consumer<PullReply> answer) {
        thread.submit(
                () -> {
                    Group group = voter.group();
                    long now = nowMicros.getAsLong();
                    long least = settings.pullIntervalMillis() * 1000L / 4;
                    if (pulled.size() > MOST_PULLERS) {
                        pulled.clear(); // Guards against names without end; whoever is real is
                        // known again at once.
                    }
                    Long before = pulled.put(request.getName(), now);
                    if (group == null || request.getEra() > group.facts.era()) {
                        answer.accept(
                                PullReply.newBuilder().setFault("no store of that era").build());
                    } else if (before != null
                            && now - before < least
                            && request.getAfterPart().isEmpty()) {
                        answer.accept(
                                PullReply.newBuilder()
                                        .setBusyMillis(settings.pullIntervalMillis() / 4 + 1)
                                        .build());
                    } else {
                        group.pull(
                                request,
                                InTime.within(
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
                    Group group = voter.group();
                    if (group == null
                            || !group.leads()
                            || !group.facts.group().equals(request.getGroup())) {
                        answer.accept(ReadReply.getDefaultInstance());
                    } else {
                        Consumer<ReadReply> inTime =
                                InTime.within(
                                        thread,
                                        settings.requestTimeoutMillis(),
                                        ReadReply.getDefaultInstance(),
                                        answer);
                        group.reads.confirm(
                                group.node,
                                index ->
                                        inTime.accept(
                                                ReadReply.newBuilder()
                                                        .setConfirmed(index != Reads.REFUSED)
                                                        .setIndex(Math.max(0, index))
                                                        .build()));
                    }
                });
    }

    @Override
    public void ask(AskRequest request, Consumer<AskReply> answer) {
        thread.submit(
                () -> {
                    Group group = voter.group();
                    if (group == null || request.getEra() > group.facts.era()) {
                        answer.accept(AskReply.getDefaultInstance());
                    } else if (group.leads()) {
                        group.decide(
                                Shapes.command(request.getCommand()),
                                InTime.within(
                                        thread,
                                        Math.min(
                                                settings.requestTimeoutMillis(),
                                                request.getWithinMicros() / 1000),
                                        AskReply.getDefaultInstance(),
                                        answer));
                    } else if (group.leaderName() != null && !request.getForwarded()) {
                        links.call(
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
                    Group group = voter.group();
                    VoterStore store = voter.store();
                    HelloReply.Builder b = HelloReply.newBuilder().setName(settings.name());
                    if (store != null) {
                        VoterStore.Facts f = store.facts();
                        String endpoint = request.getName() + "/" + request.getIdentity();
                        b.setIdentity(f.self().identity())
                                .setGroup(f.group())
                                .setEra(f.era())
                                .setBoot(store.boot())
                                .addAllInitial(f.initial())
                                .setSeenBoot(store.seenBoot(endpoint));
                        known.tell(endpoint, b);
                    }
                    if (group != null) {
                        group.node
                                .getCommittedMembers()
                                .getMembers()
                                .forEach(m -> b.addMembers(m.getId().toString()));
                        b.setMembersIndex(group.node.getCommittedMembers().getLogIndex())
                                .setLeads(group.leads());
                        if (group.leaderName() != null) {
                            b.setLeader(group.leaderName());
                        }
                        if (request.getJoin()
                                && group.leads()
                                && request.getGroup().equals(group.facts.group())) {
                            group.admission.asked(
                                    group.node,
                                    new Endpoint(request.getName(), request.getIdentity()));
                        }
                    }
                    answer.accept(b.build());
                });
    }
}
