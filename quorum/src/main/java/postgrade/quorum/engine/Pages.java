package postgrade.quorum.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import postgrade.quorum.wire.Shapes;
import postgrade.quorum.wire.proto.ChangeMsg;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Rows.Change;

/**
 * Splits what is told of the state, so that no message grows with it. A page is what changed since
 * an index, in the order of part and key, from where the page before ended; nothing is held between
 * two pages.
 */
public final class Pages {

    /** A page ends with the change that reaches this. */
    public static final int BYTES = 256 << 10;

    private static final Comparator<Change> ORDER =
            Comparator.comparing(Change::part).thenComparing(Change::key);

    private Pages() {}

    /**
     * Fills in what has changed since the request's index, or all there is where that is not known.
     */
    public static void fill(
            PullReply.Builder reply,
            ReplicatedStateMachine machine,
            PullRequest request,
            boolean resumed) {
        List<Change> changes = resumed ? machine.rows().changesSince(request.getIndex()) : null;
        reply.setMoment(Shapes.moment(machine.moment())).setWhole(changes == null);
        if (!request.getPages()) {
            reply.addAllChanges(Shapes.changes(changes == null ? machine.rows().all() : changes));
            return;
        }
        // The whole told in place of changes begins anew: what was asked for goes on from
        // elsewhere.
        boolean on =
                !request.getAfterPart().isEmpty() && (changes != null || request.getIndex() == 0);
        Change after =
                on ? new Change(0, request.getAfterPart(), request.getAfterKey(), null) : null;
        int bytes = 0;
        for (Change c : changes == null ? machine.rows().all() : ordered(changes)) {
            if (after != null && ORDER.compare(c, after) <= 0) {
                continue;
            }
            if (bytes >= BYTES) {
                reply.setMore(true);
                return;
            }
            ChangeMsg told = Shapes.change(c);
            bytes += told.getSerializedSize();
            reply.addChanges(told);
        }
    }

    /**
     * As {@code Rows.all} has them, and one for each key: the row that is there, else its removal.
     */
    private static List<Change> ordered(List<Change> changes) {
        TreeMap<Change, Change> latest = new TreeMap<>(ORDER);
        changes.forEach(c -> latest.put(c, c)); // Rows come behind removals.
        return new ArrayList<>(latest.values());
    }

    /** A snapshot in pieces of about that size, each with its moment. */
    static void split(ReplicatedStateMachine.Snapshot whole, Consumer<Object> piece) {
        List<Change> rows = new ArrayList<>();
        int bytes = 0;
        for (Change c : whole.rows()) {
            if (bytes >= BYTES) {
                piece.accept(
                        new ReplicatedStateMachine.Snapshot(whole.moment(), List.copyOf(rows)));
                rows.clear();
                bytes = 0;
            }
            rows.add(c);
            bytes += Shapes.change(c).getSerializedSize();
        }
        piece.accept(new ReplicatedStateMachine.Snapshot(whole.moment(), List.copyOf(rows)));
    }

    static ReplicatedStateMachine.Snapshot join(List<Object> pieces) {
        List<Change> rows = new ArrayList<>();
        pieces.forEach(p -> rows.addAll(((ReplicatedStateMachine.Snapshot) p).rows()));
        return new ReplicatedStateMachine.Snapshot(
                ((ReplicatedStateMachine.Snapshot) pieces.get(0)).moment(), rows);
    }
}
