package postgrade.quorum.engine;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.Server;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;
import postgrade.shared.StatePart;

/**
 * A process that votes, or is to become a voter. It opens its store, asks its peers whether the
 * store holds all that it has promised, and then votes. Without a store it waits to be admitted
 * under a new identity. If its store cannot be written, it stops voting until the store can be
 * opened again.
 */
public final class Voter {

    private static final Logger LOG = LoggerFactory.getLogger(Voter.class);
    private static final long REOPEN_DELAY_MICROS = 2_000_000;

    private final QuorumSettings settings;
    private final List<StatePart> parts;
    private final LongSupplier nowMicros;
    private final VoterConnections connections;
    private final EngineThread thread;
    private final FaultStatus faultStatus;
    private final PeerStatus peers;
    private final VoterRequestHandler requestHandler;
    private VoterStore store;
    private RaftGroup group;
    private boolean closed;
    private volatile boolean voting;
    private volatile String leader;

    public Voter(
            QuorumSettings settings,
            List<StatePart> parts,
            LongSupplier nowMicros,
            VoterConnections connections,
            FaultStatus faultStatus) {
        this.settings = settings;
        this.parts = parts;
        this.nowMicros = nowMicros;
        this.connections = connections;
        this.faultStatus = faultStatus;
        thread = new EngineThread(settings.name(), settings.heartbeatIntervalMillis());
        peers = new PeerStatus(settings, connections, thread);
        requestHandler = new VoterRequestHandler(this, settings, nowMicros, connections, thread);
    }

    /** Handles the requests of other processes and of this process's own follower. */
    public Server.RequestHandler requestHandler() {
        return requestHandler;
    }

    /** The open group, or null. */
    RaftGroup group() {
        return group;
    }

    /** The open store, or null. */
    VoterStore store() {
        return store;
    }

    public void start() {
        thread.submit(
                () -> {
                    open();
                    pollPeers();
                });
    }

    /** Whether this process currently counts as a voter. */
    public boolean isVoting() {
        return voting;
    }

    /** The leader that this voter knows, or null. */
    public String leader() {
        return leader;
    }

    private void open() {
        if (closed || group != null) {
            return;
        }
        try {
            if (!VoterStore.exists(settings.store())) {
                Files.createDirectories(settings.store());
                faultStatus.set(
                        "no store in "
                                + settings.store()
                                + ": waiting for a quorum to be taken in by");
                return;
            }
            store = VoterStore.open(settings.store());
            VoterStore opened = store;
            peers.sendHello(
                    hello(false),
                    settings.electionTimeoutMillis(),
                    peerReplies -> onStoreChecked(opened, peerReplies));
        } catch (IOException e) {
            onStoreFailure(e.getMessage());
        }
    }

    /**
     * Continues after the peers have reported what they saw from this voter, provided that the
     * store holds all of it.
     */
    private void onStoreChecked(VoterStore opened, PeerReplies peerReplies) {
        if (closed || store != opened || group != null) {
            return;
        }
        try {
            int term = store.term();
            for (HelloReply reply : peerReplies.replies().values()) {
                if (reply.getEra() > store.metadata().era()) {
                    retireStore(
                            "is of era "
                                    + store.metadata().era()
                                    + ", and "
                                    + reply.getName()
                                    + " is in era "
                                    + reply.getEra());
                    return;
                }
                if (reply.getGroup().equals(store.metadata().group())
                        && PeerPromises.exceedsStore(
                                reply, store.boot(), term, store.lastIndex())) {
                    retireStore(
                            "is an older copy: "
                                    + reply.getName()
                                    + " has seen later promises of it");
                    return;
                }
            }
            startGroup(peerReplies);
            faultStatus.clear();
        } catch (IOException | RuntimeException e) {
            onStoreFailure(e.getMessage());
        }
    }

    private void startGroup(PeerReplies peerReplies) throws IOException {
        store.onFailure(reason -> thread.submit(() -> onStoreFailure(reason)));
        store.incrementBoot();
        group =
                new RaftGroup(
                        settings,
                        parts,
                        nowMicros,
                        thread,
                        connections,
                        store,
                        new Elections(settings.name(), stickiness(peerReplies), nowMicros));
        group.start();
        Events.info(LOG, "sharing.opened")
                .addKeyValue("process", settings.name())
                .addKeyValue("identity", group.metadata.self().identity())
                .addKeyValue("era", group.metadata.era())
                .log("opened the store of era " + group.metadata.era());
    }

    private LeaderStickiness stickiness(PeerReplies peerReplies) {
        return peerReplies.mayHaveLeader(store.metadata().group(), settings.name())
                ? LeaderStickiness.until(
                        nowMicros.getAsLong() + settings.electionTimeoutMillis() * 1000L)
                : LeaderStickiness.none();
    }

    /** Stops voting and tries later to open the store on disk. */
    private void onStoreFailure(String reason) {
        if (closed) {
            return;
        }
        faultStatus.set(reason + "; it votes no more");
        closeGroupAndStore();
        thread.scheduleMicros(this::open, REOPEN_DELAY_MICROS);
    }

    private void closeGroupAndStore() {
        voting = false;
        RaftGroup openGroup = group;
        VoterStore openStore = store;
        group = null;
        store = null;
        try {
            if (openGroup != null) {
                openGroup.terminate();
            }
        } finally {
            if (openStore != null) {
                openStore.close();
            }
        }
    }

    /** Moves the store aside for good; this process then joins under another identity. */
    private void retireStore(String reason) {
        String retiredName = VoterStore.FILE + "." + store.metadata().self().identity();
        closeGroupAndStore();
        try {
            Path file = settings.store().resolve(VoterStore.FILE);
            Files.move(file, settings.store().resolve(retiredName));
            faultStatus.set(
                    "the store "
                            + reason
                            + "; it is kept as "
                            + retiredName
                            + ", waiting to be taken in anew");
        } catch (IOException e) {
            faultStatus.set("the store " + reason + ", and cannot be put aside: " + e.getMessage());
        }
    }

    private HelloRequest hello(boolean join) {
        HelloRequest.Builder request =
                HelloRequest.newBuilder().setName(settings.name()).setJoin(join);
        if (store != null) {
            VoterStore.Metadata metadata = store.metadata();
            request.setIdentity(metadata.self().identity())
                    .setGroup(metadata.group())
                    .setEra(metadata.era())
                    .setBoot(store.boot());
        }
        return request.build();
    }

    /** Polls the peers periodically, which is how new eras and restarted voters are found. */
    private void pollPeers() {
        if (closed) {
            return;
        }
        leader = group == null ? null : group.leaderName();
        voting = group != null && group.isVoter();
        boolean join = group != null && !voting;
        long pauseMillis =
                group == null || join || leader == null
                        ? settings.electionTimeoutMillis() / 4
                        : settings.electionTimeoutMillis();
        thread.scheduleMicros(
                this::pollPeers, pauseMillis * 1000L); // Rescheduled before anything can fail.
        peers.sendHello(hello(join), settings.electionTimeoutMillis(), this::onPeerReplies);
    }

    private void onPeerReplies(PeerReplies peerReplies) {
        if (closed) {
            return;
        }
        Map<String, HelloReply> replies = peerReplies.replies();
        try {
            HelloReply latest = PeerStatus.latestEraReply(replies);
            if (store == null) {
                if (latest != null && !VoterStore.exists(settings.store())) {
                    join(peerReplies, latest);
                } else if (latest == null && !VoterStore.exists(settings.store())) {
                    faultStatus.set(PeerStatus.noStoreFault(settings, replies));
                }
                return;
            }
            if (group == null) {
                return;
            }
            if (!peerReplies.mayHaveLeader(group.metadata.group(), settings.name())) {
                group.onNoLeader();
            }
            if (latest != null && latest.getEra() > group.metadata.era()) {
                retireStore(
                        "is of era "
                                + group.metadata.era()
                                + ", and "
                                + latest.getName()
                                + " is in era "
                                + latest.getEra());
            } else if (PeerStatus.voterInOtherGroup(
                            replies, group.metadata.era(), group.metadata.group())
                    != null) {
                faultStatus.set(
                        "two eras "
                                + group.metadata.era()
                                + " at once: "
                                + PeerStatus.voterInOtherGroup(
                                        replies, group.metadata.era(), group.metadata.group())
                                + " is in another");
            } else if (PeerStatus.isRetired(replies, group)) {
                retireStore("was replaced: the others have taken in another of this name");
            } else if (group.leaderName() == null) {
                String quorumFault = PeerStatus.lostQuorumFault(settings, replies, group);
                if (quorumFault != null) {
                    faultStatus.set(quorumFault);
                }
            } else if (store.slowestMillis() > settings.electionTimeoutMillis()) {
                faultStatus.set("the store is slow: a write took longer than an election");
            } else if (faultStatus.current() != null && group.isVoter()) {
                faultStatus.clear();
            }
            store.resetSlowest();
            for (HelloReply reply : replies.values()) {
                if (!reply.getIdentity().isEmpty()
                        && reply.getGroup().equals(group.metadata.group())) {
                    store.recordSeenBoot(
                            reply.getName() + "/" + reply.getIdentity(), reply.getBoot());
                }
            }
        } catch (IOException e) {
            onStoreFailure(e.getMessage());
        }
    }

    private void join(PeerReplies peerReplies, HelloReply latest) throws IOException {
        Map<String, HelloReply> replies = peerReplies.replies();
        if (PeerStatus.voterInOtherGroup(replies, latest.getEra(), latest.getGroup()) != null) {
            faultStatus.set(
                    "two eras "
                            + latest.getEra()
                            + " at once: "
                            + latest.getName()
                            + " and "
                            + PeerStatus.voterInOtherGroup(
                                    replies, latest.getEra(), latest.getGroup())
                            + " are in different ones");
            return;
        }
        store =
                VoterStore.create(
                        settings.store(),
                        new VoterStore.Metadata(
                                new Endpoint(settings.name(), newIdentity()),
                                latest.getGroup(),
                                latest.getEra(),
                                latest.getInitialList()));
        startGroup(peerReplies);
        faultStatus.set("new here: waiting to be taken in as a voter");
    }

    /** Returns a new random identity. */
    public static String newIdentity() {
        byte[] bytes = new byte[6];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Closes the group and the store.
     *
     * @param onClosed called on the engine's thread once all waiting callers have been answered,
     *     whatever fails during the shutdown
     */
    public void close(Runnable onClosed) {
        thread.submit(
                () -> {
                    closed = true;
                    try {
                        closeGroupAndStore();
                    } finally {
                        thread.close();
                        onClosed.run();
                    }
                });
    }

    public boolean awaitClosed(long millis) throws InterruptedException {
        return thread.awaitClosed(millis);
    }
}
