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
import postgrade.shared.Machine;
import postgrade.shared.Rows.Change;

/**
 * Splits what is told of the state, so that no message grows with it. A page is what changed since
 * an index, in the order of part and key, from where the page before ended; nothing is held between
 * two pages.
 */
public final class StatePages {

    /** A page ends with the change that reaches this. */
    public static final int PAGE_BYTES = 256 << 10;

    private static final Comparator<Change> ORDER =
            Comparator.comparing(Change::part).thenComparing(Change::key);

    private StatePages() {}

    /**
     * Fills in what has changed since the request's index, or all there is where that is not known.
     */
    public static void fill(
            PullReply.Builder reply, Machine machine, PullRequest request, boolean resumed) {
        List<Change> changes = resumed ? machine.rows().since(request.getIndex()) : null;
        reply.setMoment(StateCodec.moment(machine.moment())).setWhole(changes == null);
        if (!request.getPages()) {
            reply.addAllChanges(
                    StateCodec.changes(changes == null ? machine.rows().all() : changes));
            return;
        }
        // The whole told in place of changes begins anew: what was asked for goes on from
        // elsewhere.
        boolean continued =
                !request.getAfterPart().isEmpty() && (changes != null || request.getIndex() == 0);
        Change after =
                continued
                        ? new Change(0, request.getAfterPart(), request.getAfterKey(), null)
                        : null;
        int bytes = 0;
        for (Change c : changes == null ? machine.rows().all() : latestByKey(changes)) {
            if (after != null && ORDER.compare(c, after) <= 0) {
                continue;
            }
            if (bytes >= PAGE_BYTES) {
                reply.setMore(true);
                return;
            }
            ChangeMsg message = StateCodec.change(c);
            bytes += message.getSerializedSize();
            reply.addChanges(message);
        }
    }

    /**
     * As {@code Rows.all} has them, and one for each key: the row that is there, else its removal.
     */
    private static List<Change> latestByKey(List<Change> changes) {
        TreeMap<Change, Change> latest = new TreeMap<>(ORDER);
        changes.forEach(c -> latest.put(c, c)); // Rows come behind removals.
        return new ArrayList<>(latest.values());
    }

    /** A snapshot in pieces of about that size, each with its moment. */
    static void split(Machine.Snapshot snapshot, Consumer<Object> chunkConsumer) {
        List<Change> rows = new ArrayList<>();
        int bytes = 0;
        for (Change c : snapshot.rows()) {
            if (bytes >= PAGE_BYTES) {
                chunkConsumer.accept(new Machine.Snapshot(snapshot.moment(), List.copyOf(rows)));
                rows.clear();
                bytes = 0;
            }
            rows.add(c);
            bytes += StateCodec.change(c).getSerializedSize();
        }
        chunkConsumer.accept(new Machine.Snapshot(snapshot.moment(), List.copyOf(rows)));
    }

    static Machine.Snapshot join(List<Object> chunks) {
        List<Change> rows = new ArrayList<>();
        chunks.forEach(p -> rows.addAll(((Machine.Snapshot) p).rows()));
        return new Machine.Snapshot(((Machine.Snapshot) chunks.get(0)).moment(), rows);
    }
}
