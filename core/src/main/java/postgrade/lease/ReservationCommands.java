package postgrade.lease;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postgrade.shared.Command;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * Conversion between operators' calls and the replicated state: commands from the fields of a call,
 * and reservations as fields. Without side effects.
 */
public final class ReservationCommands {

    private static final List<String> FIELDS =
            List.of(
                    "holder",
                    "site",
                    "kind",
                    "accelerators",
                    "ttlMs",
                    "incarnation",
                    "fence",
                    "wait",
                    "neededInMs",
                    "force");

    private ReservationCommands() {}

    /**
     * The command for an operator's call.
     *
     * @param verb acquire, renew or release
     * @param fields of the call, by name; integers as text
     * @throws Row.InvalidFieldException if a field is unknown
     */
    public static Command command(
            String verb,
            String requestId,
            String from,
            long incarnation,
            Map<String, String> fields) {
        for (String name : fields.keySet()) {
            if (!FIELDS.contains(name)) {
                throw new Row.InvalidFieldException(name, "is not a field of a reservation");
            }
        }
        return new Command(requestId, from, incarnation, LeasePart.NAME, verb, new Row(fields));
    }

    /** All grants and all queue entries, the latter in queue order. */
    public static List<Map<String, String>> list(Rows rows, long logMicros) {
        ReservationTable table = new ReservationTable(rows);
        List<Map<String, String>> all = new java.util.ArrayList<>();
        for (Grant grant : table.grants()) {
            Map<String, String> fields = commonFields(grant.request(), "granted");
            fields.put("fence", Long.toString(grant.fence()));
            fields.put("allotment", grant.allotment().toString());
            fields.put("held", Integer.toString(grant.allotment().size()));
            fields.put("renewWithinMs", Long.toString(grant.remainingMicros(logMicros) / 1000));
            all.add(fields);
        }
        int position = 0;
        for (ReservationTable.QueueEntry entry : table.queue()) {
            Map<String, String> fields = commonFields(entry.request(), "waiting");
            fields.put("place", Integer.toString(++position));
            fields.put(
                    "renewWithinMs",
                    Long.toString(
                            (entry.untilMicros() == ReservationTable.PENDING
                                            ? entry.request().ttlMicros()
                                            : entry.untilMicros() - logMicros)
                                    / 1000));
            all.add(fields);
        }
        return all;
    }

    private static Map<String, String> commonFields(ReservationRequest request, String state) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("holder", request.holder());
        if (!request.site().isEmpty()) {
            fields.put("site", request.site());
        }
        if (!request.kind().isEmpty()) {
            fields.put("kind", request.kind());
        }
        fields.put("accelerators", Long.toString(request.accelerators()));
        fields.put("incarnation", Long.toString(request.incarnation()));
        fields.put("state", state);
        return fields;
    }
}
