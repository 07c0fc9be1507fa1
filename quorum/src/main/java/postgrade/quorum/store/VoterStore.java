package postgrade.quorum.store;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.LogCodec;
import postgrade.quorum.wire.proto.Chunk;
import postgrade.quorum.wire.proto.Entry;
import postgrade.quorum.wire.proto.Members;
import postgrade.quorum.wire.proto.Self;
import postgrade.quorum.wire.proto.Term;

/**
 * Persistent state of a voter: its log, its term and its vote, written to disk before a promise is
 * sent. Used by one thread.
 *
 * <p>After a failed write nothing more is written or promised: the failure listener is called, and
 * each later call fails too. What the disk holds is known again only after the file has been
 * reopened.
 */
public final class VoterStore implements RaftStore {

    public static final String FILE = "voter.mv";
    private static final int FORMAT = 1;
    private static final long CHUNK_KEYS_PER_SNAPSHOT = 10_000;

    private final MVStore mvStore;
    private final MVMap<String, String> metadata;
    private final MVMap<String, byte[]> state;
    private final MVMap<Long, byte[]> log;
    private final MVMap<Long, byte[]> chunks;
    private Consumer<String> failureListener = reason -> {};
    private String failure;
    private long slowestNanos;

    private VoterStore(MVStore mvStore) {
        this.mvStore = mvStore;
        metadata = mvStore.openMap("facts");
        state = mvStore.openMap("state");
        log = mvStore.openMap("log");
        chunks = mvStore.openMap("chunks");
    }

    public static boolean exists(Path folder) {
        return Files.exists(folder.resolve(FILE));
    }

    /** Opens the existing store. The file is locked: a second process that opens it is refused. */
    public static VoterStore open(Path folder) throws IOException {
        if (!exists(folder)) {
            throw new IOException("no store in " + folder);
        }
        VoterStore store = openFile(folder);
        String format = store.metadata.get("format");
        if (!String.valueOf(FORMAT).equals(format)) {
            store.mvStore.closeImmediately();
            throw new IOException(
                    "the store has format " + format + ", this program knows " + FORMAT);
        }
        return store;
    }

    /**
     * Creates a store for a new identity; the initial members are those with which its era began.
     */
    public static VoterStore create(Path folder, Metadata metadata) throws IOException {
        Files.createDirectories(folder);
        if (exists(folder)) {
            throw new IOException("there is a store in " + folder + " already");
        }
        VoterStore store = openFile(folder);
        store.metadata.put("format", String.valueOf(FORMAT));
        store.metadata.put("name", metadata.self().name());
        store.metadata.put("identity", metadata.self().identity());
        store.metadata.put("group", metadata.group());
        store.metadata.put("era", String.valueOf(metadata.era()));
        store.metadata.put("boot", "0");
        store.metadata.put("initial", String.join(" ", metadata.initial()));
        store.commitAndSync(() -> {});
        return store;
    }

    private static VoterStore openFile(Path folder) throws IOException {
        try {
            // Only this class commits, and each commit is followed by a sync; nothing is written
            // in the background.
            return new VoterStore(
                    new MVStore.Builder()
                            .fileName(folder.resolve(FILE).toString())
                            .autoCommitDisabled()
                            .cacheSize(1)
                            .open());
        } catch (MVStoreException | IllegalArgumentException e) {
            throw new IOException("the store cannot be opened: " + e.getMessage(), e);
        }
    }

    /**
     * What a store belongs to.
     *
     * @param group name of the era's log; another log of the same era has another name
     * @param initial members with which the log began
     */
    public record Metadata(Endpoint self, String group, long era, List<String> initial) {}

    public Metadata metadata() {
        return new Metadata(
                new Endpoint(metadata.get("name"), metadata.get("identity")),
                metadata.get("group"),
                Long.parseLong(metadata.get("era")),
                List.of(metadata.get("initial").split(" ")));
    }

    /** How often the store was opened for voting. */
    public long boot() {
        return Long.parseLong(metadata.get("boot"));
    }

    public void incrementBoot() throws IOException {
        commitAndSync(() -> metadata.put("boot", String.valueOf(boot() + 1)));
    }

    /** The highest boot count that this voter has seen from a peer. */
    public long seenBoot(String endpoint) {
        return Long.parseLong(metadata.getOrDefault("seen " + endpoint, "0"));
    }

    public void recordSeenBoot(String endpoint, long boot) throws IOException {
        if (boot > seenBoot(endpoint)) {
            commitAndSync(() -> metadata.put("seen " + endpoint, String.valueOf(boot)));
        }
    }

    public long lastIndex() {
        return Math.max(
                log.isEmpty() ? 0 : log.lastKey(),
                chunks.isEmpty() ? 0 : chunks.lastKey() / CHUNK_KEYS_PER_SNAPSHOT);
    }

    public int term() throws IOException {
        byte[] term = state.get("term");
        return term == null ? 0 : Term.parseFrom(term).getTerm();
    }

    /** Sets the listener that the first failed write calls, once. */
    public void onFailure(Consumer<String> listener) {
        failureListener = listener;
    }

    /** The reason why nothing is written any more, or null. */
    public String failure() {
        return failure;
    }

    /** The state from which the engine resumes; null if it has never started. */
    public RestoredRaftState restore() throws IOException {
        byte[] self = state.get("self");
        byte[] initial = state.get("initial");
        if (self == null || initial == null) {
            return null;
        }
        Self storedSelf = Self.parseFrom(self);
        DefaultRaftModelFactory model = new DefaultRaftModelFactory();
        Term term =
                state.containsKey("term")
                        ? Term.parseFrom(state.get("term"))
                        : Term.getDefaultInstance();
        SnapshotEntry snapshot = snapshot(model);
        List<LogEntry> entries = new ArrayList<>();
        long next = snapshot == null ? 1 : snapshot.getIndex() + 1;
        for (Iterator<Long> keys = log.keyIterator(next); keys.hasNext(); next++) {
            long key = keys.next();
            if (key != next) {
                throw new IOException("the store's log lacks entry " + next);
            }
            entries.add(LogCodec.entry(Entry.parseFrom(log.get(key))));
        }
        return new RestoredRaftState(
                model.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Endpoint.of(storedSelf.getEndpoint()))
                        .setVoting(storedSelf.getVoting())
                        .build(),
                LogCodec.members(Members.parseFrom(initial)),
                model.createRaftTermPersistentStateBuilder()
                        .setTerm(term.getTerm())
                        .setVotedFor(
                                term.getVotedFor().isEmpty()
                                        ? null
                                        : Endpoint.of(term.getVotedFor()))
                        .build(),
                snapshot,
                entries);
    }

    /** The latest snapshot of which every chunk is present. */
    private SnapshotEntry snapshot(DefaultRaftModelFactory model)
            throws InvalidProtocolBufferException {
        for (Long key = chunks.lastKey();
                key != null;
                key = chunks.lowerKey(key / CHUNK_KEYS_PER_SNAPSHOT * CHUNK_KEYS_PER_SNAPSHOT)) {
            long index = key / CHUNK_KEYS_PER_SNAPSHOT;
            List<SnapshotChunk> snapshotChunks = new ArrayList<>();
            for (Iterator<Long> keys = chunks.keyIterator(index * CHUNK_KEYS_PER_SNAPSHOT);
                    keys.hasNext(); ) {
                long chunkKey = keys.next();
                if (chunkKey / CHUNK_KEYS_PER_SNAPSHOT != index) {
                    break;
                }
                snapshotChunks.add(LogCodec.chunk(Chunk.parseFrom(chunks.get(chunkKey))));
            }
            if (snapshotChunks.size() == snapshotChunks.get(0).getSnapshotChunkCount()) {
                return model.createSnapshotEntryBuilder()
                        .setIndex(index)
                        .setTerm(snapshotChunks.get(0).getTerm())
                        .setSnapshotChunks(snapshotChunks)
                        .setGroupMembersView(snapshotChunks.get(0).getGroupMembersView())
                        .build();
            }
        }
        return null;
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpointState)
            throws IOException {
        commitAndSync(
                () ->
                        state.put(
                                "self",
                                Self.newBuilder()
                                        .setEndpoint(
                                                endpointState.getLocalEndpoint().getId().toString())
                                        .setVoting(endpointState.isVoting())
                                        .build()
                                        .toByteArray()));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members)
            throws IOException {
        commitAndSync(() -> state.put("initial", LogCodec.members(members).toByteArray()));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState termState) throws IOException {
        commitAndSync(
                () ->
                        state.put(
                                "term",
                                Term.newBuilder()
                                        .setTerm(termState.getTerm())
                                        .setVotedFor(
                                                termState.getVotedFor() == null
                                                        ? ""
                                                        : termState
                                                                .getVotedFor()
                                                                .getId()
                                                                .toString())
                                        .build()
                                        .toByteArray()));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        modify(() -> entries.forEach(e -> log.put(e.getIndex(), LogCodec.entry(e).toByteArray())));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        modify(
                () ->
                        chunks.put(
                                chunk.getIndex() * CHUNK_KEYS_PER_SNAPSHOT
                                        + chunk.getSnapshotChunkIndex(),
                                LogCodec.chunk(chunk).toByteArray()));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        modify(() -> remove(log, index, Long.MAX_VALUE));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        modify(
                () -> {
                    remove(log, 0, index);
                    remove(chunks, 0, index * CHUNK_KEYS_PER_SNAPSHOT - 1);
                });
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        modify(
                () ->
                        remove(
                                chunks,
                                index * CHUNK_KEYS_PER_SNAPSHOT,
                                index * CHUNK_KEYS_PER_SNAPSHOT + CHUNK_KEYS_PER_SNAPSHOT - 1));
    }

    private static void remove(MVMap<Long, byte[]> map, long from, long until) {
        for (Long key = map.ceilingKey(from);
                key != null && key <= until;
                key = map.higherKey(key)) {
            map.remove(key);
        }
    }

    @Override
    public void flush() throws IOException {
        commitAndSync(() -> {});
    }

    private void commitAndSync(Runnable change) throws IOException {
        modify(
                () -> {
                    long startNanos = System.nanoTime();
                    change.run();
                    mvStore.commit();
                    mvStore.sync();
                    slowestNanos = Math.max(slowestNanos, System.nanoTime() - startNanos);
                });
    }

    /** The longest write since the last {@link #resetSlowest}. */
    public long slowestMillis() {
        return slowestNanos / 1_000_000;
    }

    public void resetSlowest() {
        slowestNanos = 0;
    }

    private void modify(Runnable change) throws IOException {
        if (failure != null) {
            throw new IOException(failure);
        }
        try {
            change.run();
        } catch (RuntimeException e) {
            failure = "the store cannot be written: " + e.getMessage();
            failureListener.accept(failure);
            throw new IOException(failure, e);
        }
    }

    /** Closes the file; flushed data stays. */
    public void close() {
        mvStore.closeImmediately();
    }
}
