package postgrade.lease;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postgrade.shared.Command;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * What operators' calls are made of: commands from the fields of a call, and the reservations as
 * fields. Pure.
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
     * A command of an operator's call.
     *
     * @param verb acquire, renew or release
     * @param fields of the call, by name; whole numbers as text
     * @throws Row.InvalidFieldException naming a field that there is not
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

    /** Those that hold and those that wait, the latter in their order. */
    public static List<Map<String, String>> list(Rows rows, long logMicros) {
        Book book = new Book(rows);
        List<Map<String, String>> all = new java.util.ArrayList<>();
        for (Held h : book.held()) {
            Map<String, String> fields = named(h.ask(), "granted");
            fields.put("fence", Long.toString(h.fence()));
            fields.put("allotment", h.allotment().toString());
            fields.put("held", Integer.toString(h.allotment().size()));
            fields.put("renewWithinMs", Long.toString(h.leftMicros(logMicros) / 1000));
            all.add(fields);
        }
        int place = 0;
        for (Book.Place p : book.line()) {
            Map<String, String> fields = named(p.ask(), "waiting");
            fields.put("place", Integer.toString(++place));
            fields.put(
                    "renewWithinMs",
                    Long.toString(
                            (p.untilMicros() == Book.NEXT
                                            ? p.ask().ttlMicros()
                                            : p.untilMicros() - logMicros)
                                    / 1000));
            all.add(fields);
        }
        return all;
    }

    private static Map<String, String> named(Ask ask, String state) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("holder", ask.holder());
        if (!ask.site().isEmpty()) {
            fields.put("site", ask.site());
        }
        if (!ask.kind().isEmpty()) {
            fields.put("kind", ask.kind());
        }
        fields.put("accelerators", Long.toString(ask.accelerators()));
        fields.put("incarnation", Long.toString(ask.incarnation()));
        fields.put("state", state);
        return fields;
    }
}
