package postgrade.quorum.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import postgrade.quorum.wire.StateCodec;
import postgrade.quorum.wire.proto.ChangeMsg;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Rows.Change;

/**
 * Splits the shared state into pages, so that message size does not grow with it. A page holds
 * changes since an index, ordered by part and key, starting after the end of the previous page; the
 * voter keeps nothing between two pages.
 */
public final class StatePages {

    /** A page ends with the change that reaches this size. */
    public static final int PAGE_BYTES = 256 << 10;

    private static final Comparator<Change> ORDER =
            Comparator.comparing(Change::part).thenComparing(Change::key);

    private StatePages() {}

    /**
     * Adds the changes since the request's index, or the full state if those changes are no longer
     * known.
     */
    public static void fill(
            PullReply.Builder reply,
            ReplicatedStateMachine machine,
            PullRequest request,
            boolean resumed) {
        List<Change> changes = resumed ? machine.rows().changesSince(request.getIndex()) : null;
        reply.setMoment(StateCodec.moment(machine.moment())).setWhole(changes == null);
        if (!request.getPages()) {
            reply.addAllChanges(
                    StateCodec.changes(changes == null ? machine.rows().all() : changes));
            return;
        }
        // If the full state replaces the changes, paging starts over, as the position in the
        // request belongs to the changes.
        boolean continued =
                !request.getAfterPart().isEmpty() && (changes != null || request.getIndex() == 0);
        Change after =
                continued
                        ? new Change(0, request.getAfterPart(), request.getAfterKey(), null)
                        : null;
        int bytes = 0;
        for (Change change : changes == null ? machine.rows().all() : latestByKey(changes)) {
            if (after != null && ORDER.compare(change, after) <= 0) {
                continue;
            }
            if (bytes >= PAGE_BYTES) {
                reply.setMore(true);
                return;
            }
            ChangeMsg message = StateCodec.change(change);
            bytes += message.getSerializedSize();
            reply.addChanges(message);
        }
    }

    /**
     * Ordered like {@code Rows.all}, with one change per key: the current row, else its removal.
     */
    private static List<Change> latestByKey(List<Change> changes) {
        TreeMap<Change, Change> latest = new TreeMap<>(ORDER);
        changes.forEach(c -> latest.put(c, c)); // Rows come after removals.
        return new ArrayList<>(latest.values());
    }

    /** Splits a snapshot into chunks of about the page size, each with the snapshot's moment. */
    static void split(ReplicatedStateMachine.Snapshot snapshot, Consumer<Object> chunkConsumer) {
        List<Change> rows = new ArrayList<>();
        int bytes = 0;
        for (Change change : snapshot.rows()) {
            if (bytes >= PAGE_BYTES) {
                chunkConsumer.accept(
                        new ReplicatedStateMachine.Snapshot(snapshot.moment(), List.copyOf(rows)));
                rows.clear();
                bytes = 0;
            }
            rows.add(change);
            bytes += StateCodec.change(change).getSerializedSize();
        }
        chunkConsumer.accept(
                new ReplicatedStateMachine.Snapshot(snapshot.moment(), List.copyOf(rows)));
    }

    static ReplicatedStateMachine.Snapshot join(List<Object> chunks) {
        List<Change> rows = new ArrayList<>();
        chunks.forEach(chunk -> rows.addAll(((ReplicatedStateMachine.Snapshot) chunk).rows()));
        return new ReplicatedStateMachine.Snapshot(
                ((ReplicatedStateMachine.Snapshot) chunks.get(0)).moment(), rows);
    }
}
