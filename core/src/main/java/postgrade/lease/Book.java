package postgrade.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * The rows of reservations, read and written by name. Row parts of their own keep what is looked at
 * often small.
 */
final class Book {

    static final String HELD = "lease";
    static final String WAITING = "lease.waiting";
    static final String RESTING = "lease.resting";
    static final String UNITS = "lease.unit";
    static final String PARTS = "lease.part";

    /**
     * Until an entry that moves the time on sets the end: what a command begins is counted from the
     * next such entry. Were it counted from the one before, time from before the command would be
     * taken off it.
     */
    static final long NEXT = 0;

    /** A place in the line; keys grow in the order of the asking. */
    record Place(String key, Ask ask, long untilMicros) {}

    /**
     * Accelerators that nobody has yet: a process with an older view may still use them for their
     * last holder.
     */
    record Rest(String key, long untilMicros, Allotment allotment) {}

    private final Rows rows;

    Book(Rows rows) {
        this.rows = rows;
    }

    Held held(String key) {
        Row row = rows.get(HELD, key);
        return row == null ? null : Held.of(row);
    }

    List<Held> held() {
        return rows.ofPart(HELD).values().stream().map(Held::of).toList();
    }

    void put(Held held) {
        rows.put(HELD, held.ask().key(), held.row());
    }

    List<Place> line() {
        List<Place> line = new ArrayList<>();
        rows.ofPart(WAITING)
                .forEach(
                        (key, row) ->
                                line.add(new Place(key, Ask.ofRow(row), row.integer("until"))));
        return line;
    }

    Place place(String askKey) {
        return line().stream().filter(p -> p.ask.key().equals(askKey)).findFirst().orElse(null);
    }

    void put(Place place) {
        rows.put(WAITING, place.key, place.ask.row().with("until", place.untilMicros));
    }

    void leave(Place place) {
        rows.remove(WAITING, place.key);
    }

    List<Rest> resting() {
        List<Rest> all = new ArrayList<>();
        rows.ofPart(RESTING)
                .forEach(
                        (key, row) ->
                                all.add(
                                        new Rest(
                                                key,
                                                row.integer("until"),
                                                Allotment.of(row.text("allotment")))));
        return all;
    }

    /** The last holder's grant of that fence ended, in whole or part. */
    void rest(Held of, Allotment what, long entry, long untilMicros) {
        if (what.size() > 0) {
            rows.put(
                    RESTING,
                    of.ask().key() + "|" + of.fence() + "|" + entry,
                    Row.of("until", untilMicros, "allotment", what));
        }
    }

    void rest(Rest rest, long untilMicros) {
        rows.put(RESTING, rest.key, Row.of("until", untilMicros, "allotment", rest.allotment));
    }

    void rested(Rest rest) {
        rows.remove(RESTING, rest.key);
    }

    boolean justEnded(String askKey, long fence) {
        return resting().stream().anyMatch(r -> r.key.startsWith(askKey + "|" + fence + "|"));
    }

    void end(Held held) {
        rows.remove(HELD, held.ask().key());
    }

    Unit unit(String worker) {
        Row row = rows.get(UNITS, worker);
        return row == null ? null : Unit.of(worker, row);
    }

    List<Unit> units() {
        List<Unit> units = new ArrayList<>();
        rows.ofPart(UNITS).forEach((worker, row) -> units.add(Unit.of(worker, row)));
        return units;
    }

    void put(Unit unit) {
        rows.put(UNITS, unit.worker(), unit.row());
    }

    Row part(String kind) {
        return rows.get(PARTS, kind);
    }

    void part(String kind, Row row) {
        rows.put(PARTS, kind, row);
    }

    boolean anyWaiting() {
        return rows.count(WAITING) > 0;
    }

    int heldAndWaiting() {
        return rows.count(HELD) + rows.count(WAITING);
    }

    int unitCount() {
        return rows.count(UNITS);
    }

    /** Every accelerator that somebody has or that rests, by worker. */
    Map<String, Long> taken() {
        Map<String, Long> taken = new TreeMap<>();
        held().forEach(
                        h ->
                                h.allotment()
                                        .masks()
                                        .forEach((w, m) -> taken.merge(w, m, (a, b) -> a | b)));
        resting()
                .forEach(
                        r ->
                                r.allotment
                                        .masks()
                                        .forEach((w, m) -> taken.merge(w, m, (a, b) -> a | b)));
        return taken;
    }
}
