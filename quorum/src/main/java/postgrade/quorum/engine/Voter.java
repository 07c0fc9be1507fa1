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
import postgrade.quorum.wire.Links;
import postgrade.quorum.wire.Server;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;
import postgrade.shared.StatePart;

/**
 * A process that votes, or is to. It opens its store, asks its peers whether that is all it had
 * promised on, and votes; without a store it waits to be taken in under a new identity; with one
 * that cannot be written it votes no more until the store can be opened again.
 */
public final class Voter {

    private static final Logger LOG = LoggerFactory.getLogger(Voter.class);
    private static final long AGAIN_MICROS = 2_000_000;

    private final QuorumSettings settings;
    private final List<StatePart> parts;
    private final LongSupplier nowMicros;
    private final Links links;
    private final EngineThread thread;
    private final Faults faults;
    private final Peers peers;
    private final Desk desk;
    private VoterStore store;
    private Group group;
    private boolean closed;
    private volatile boolean votes;
    private volatile String leader;

    public Voter(
            QuorumSettings settings,
            List<StatePart> parts,
            LongSupplier nowMicros,
            Links links,
            Faults faults) {
        this.settings = settings;
        this.parts = parts;
        this.nowMicros = nowMicros;
        this.links = links;
        this.faults = faults;
        thread = new EngineThread(settings.name(), settings.heartbeatIntervalMillis());
        peers = new Peers(settings, links, thread);
        desk = new Desk(this, settings, nowMicros, links, thread);
    }

    /** Where it answers others, and this process's own follower. */
    public Server.Desk desk() {
        return desk;
    }

    /** The log that it keeps now, or null. */
    Group group() {
        return group;
    }

    /** The store that is open now, or null. */
    VoterStore store() {
        return store;
    }

    public void start() {
        thread.submit(
                () -> {
                    open();
                    greet();
                });
    }

    /** Whether it counts as a voter now. */
    public boolean votes() {
        return votes;
    }

    /** Who leads, as far as this voter knows, or null. */
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
                faults.set(
                        "no store in "
                                + settings.store()
                                + ": waiting for a quorum to be taken in by");
                return;
            }
            store = VoterStore.open(settings.store());
            VoterStore opened = store;
            peers.greet(
                    hello(false),
                    settings.electionTimeoutMillis(),
                    greeting -> checked(opened, greeting));
        } catch (IOException e) {
            failed(e.getMessage());
        }
    }

    /**
     * The peers have told what they saw of this voter: it goes on only where the store holds all of
     * that.
     */
    private void checked(VoterStore opened, Greeting greeting) {
        if (closed || store != opened || group != null) {
            return;
        }
        try {
            int term = store.term();
            for (HelloReply r : greeting.replies().values()) {
                if (r.getEra() > store.facts().era()) {
                    retire(
                            "is of era "
                                    + store.facts().era()
                                    + ", and "
                                    + r.getName()
                                    + " is in era "
                                    + r.getEra());
                    return;
                }
                if (r.getGroup().equals(store.facts().group())
                        && Known.moreThan(r, store.boot(), term, store.lastIndex())) {
                    retire("is an older copy: " + r.getName() + " has seen later promises of it");
                    return;
                }
            }
            begin(greeting);
            faults.clear();
        } catch (IOException | RuntimeException e) {
            failed(e.getMessage());
        }
    }

    private void begin(Greeting greeting) throws IOException {
        store.onFailure(why -> thread.submit(() -> failed(why)));
        store.countBoot();
        group =
                new Group(
                        settings,
                        parts,
                        nowMicros,
                        thread,
                        links,
                        store,
                        new Elections(settings.name(), stickiness(greeting), nowMicros));
        group.start();
        Events.info(LOG, "sharing.opened")
                .addKeyValue("process", settings.name())
                .addKeyValue("identity", group.facts.self().identity())
                .addKeyValue("era", group.facts.era())
                .log("opened the store of era " + group.facts.era());
    }

    private LeaderStickiness stickiness(Greeting greeting) {
        return greeting.mayHaveLeader(store.facts().group(), settings.name())
                ? LeaderStickiness.until(
                        nowMicros.getAsLong() + settings.electionTimeoutMillis() * 1000L)
                : LeaderStickiness.none();
    }

    /** Votes no more, and tries later to open what is on the disk. */
    private void failed(String why) {
        if (closed) {
            return;
        }
        faults.set(why + "; it votes no more");
        letGo();
        thread.afterMicros(this::open, AGAIN_MICROS);
    }

    private void letGo() {
        votes = false;
        Group silenced = group;
        VoterStore left = store;
        group = null;
        store = null;
        try {
            if (silenced != null) {
                silenced.silence();
            }
        } finally {
            if (left != null) {
                left.close();
            }
        }
    }

    /** Puts the store aside for good: this process comes back under another identity. */
    private void retire(String why) {
        String aside = VoterStore.FILE + "." + store.facts().self().identity();
        letGo();
        try {
            Path file = settings.store().resolve(VoterStore.FILE);
            Files.move(file, settings.store().resolve(aside));
            faults.set(
                    "the store "
                            + why
                            + "; it is kept as "
                            + aside
                            + ", waiting to be taken in anew");
        } catch (IOException e) {
            faults.set("the store " + why + ", and cannot be put aside: " + e.getMessage());
        }
    }

    private HelloRequest hello(boolean join) {
        HelloRequest.Builder b = HelloRequest.newBuilder().setName(settings.name()).setJoin(join);
        if (store != null) {
            VoterStore.Facts f = store.facts();
            b.setIdentity(f.self().identity())
                    .setGroup(f.group())
                    .setEra(f.era())
                    .setBoot(store.boot());
        }
        return b.build();
    }

    /**
     * Asks the peers again and again what they are: that is how eras, and voters that come back,
     * are found.
     */
    private void greet() {
        if (closed) {
            return;
        }
        leader = group == null ? null : group.leaderName();
        votes = group != null && group.votes();
        boolean join = group != null && !votes;
        long pause =
                group == null || join || leader == null
                        ? settings.electionTimeoutMillis() / 4
                        : settings.electionTimeoutMillis();
        thread.afterMicros(this::greet, pause * 1000L); // One that fails is not the last.
        peers.greet(hello(join), settings.electionTimeoutMillis(), this::greeted);
    }

    private void greeted(Greeting greeting) {
        if (closed) {
            return;
        }
        Map<String, HelloReply> replies = greeting.replies();
        try {
            HelloReply latest = Peers.latest(replies);
            if (store == null) {
                if (latest != null && !VoterStore.exists(settings.store())) {
                    join(greeting, latest);
                } else if (latest == null && !VoterStore.exists(settings.store())) {
                    faults.set(Peers.noneIsThere(settings, replies));
                }
                return;
            }
            if (group == null) {
                return;
            }
            if (!greeting.mayHaveLeader(group.facts.group(), settings.name())) {
                group.nobodyLeads();
            }
            if (latest != null && latest.getEra() > group.facts.era()) {
                retire(
                        "is of era "
                                + group.facts.era()
                                + ", and "
                                + latest.getName()
                                + " is in era "
                                + latest.getEra());
            } else if (Peers.others(replies, group.facts.era(), group.facts.group()) != null) {
                faults.set(
                        "two eras "
                                + group.facts.era()
                                + " at once: "
                                + Peers.others(replies, group.facts.era(), group.facts.group())
                                + " is in another");
            } else if (Peers.retired(replies, group)) {
                retire("was replaced: the others have taken in another of this name");
            } else if (group.leaderName() == null) {
                String lost = Peers.lost(settings, replies, group);
                if (lost != null) {
                    faults.set(lost);
                }
            } else if (store.slowestMillis() > settings.electionTimeoutMillis()) {
                faults.set("the store is slow: a write took longer than an election");
            } else if (faults.now() != null && group.votes()) {
                faults.clear();
            }
            store.forgetSlowest();
            for (HelloReply r : replies.values()) {
                if (!r.getIdentity().isEmpty() && r.getGroup().equals(group.facts.group())) {
                    store.seenBoot(r.getName() + "/" + r.getIdentity(), r.getBoot());
                }
            }
        } catch (IOException e) {
            failed(e.getMessage());
        }
    }

    private void join(Greeting greeting, HelloReply latest) throws IOException {
        Map<String, HelloReply> replies = greeting.replies();
        if (Peers.others(replies, latest.getEra(), latest.getGroup()) != null) {
            faults.set(
                    "two eras "
                            + latest.getEra()
                            + " at once: "
                            + latest.getName()
                            + " and "
                            + Peers.others(replies, latest.getEra(), latest.getGroup())
                            + " are in different ones");
            return;
        }
        store =
                VoterStore.create(
                        settings.store(),
                        new VoterStore.Facts(
                                new Endpoint(settings.name(), identity()),
                                latest.getGroup(),
                                latest.getEra(),
                                latest.getInitialList()));
        begin(greeting);
        faults.set("new here: waiting to be taken in as a voter");
    }

    /** Never the same again. */
    public static String identity() {
        byte[] b = new byte[6];
        new SecureRandom().nextBytes(b);
        return HexFormat.of().formatHex(b);
    }

    /**
     * Ends it, with the store closed.
     *
     * @param ended told on its thread once all that waited here is answered, whatever went wrong at
     *     its end
     */
    public void close(Runnable ended) {
        thread.submit(
                () -> {
                    closed = true;
                    try {
                        letGo();
                    } finally {
                        thread.close();
                        ended.run();
                    }
                });
    }

    public boolean awaitClosed(long millis) throws InterruptedException {
        return thread.awaitClosed(millis);
    }
}
