package postgrade.shared;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The replicated state: rows by part and key. It remembers at which index each row was last
 * changed, and the latest removals, so that a follower can be told what has changed since it last
 * heard.
 */
public final class Rows {

    /** Removals remembered; a follower that missed more takes the whole. */
    private static final int MOST_REMOVALS = 4096;

    /** A row as it stands, or null for one that was removed. */
    public record Change(long index, String part, String key, Row row) {}

    private record Held(long index, Row row) {}

    private final SortedMap<String, SortedMap<String, Held>> parts = new TreeMap<>();
    private final Deque<Change> removals = new ArrayDeque<>();

    /** Changes before this are not told singly any more. */
    private long floor;

    private long index;

    /** All changes from now on are made by the entry of this index. */
    void at(long entry) {
        index = entry;
    }

    public Row get(String part, String key) {
        Held held = parts.getOrDefault(part, Collections.emptySortedMap()).get(key);
        return held == null ? null : held.row;
    }

    /** A part's rows in the order of their keys, as they are now. */
    public SortedMap<String, Row> ofPart(String part) {
        SortedMap<String, Row> copy = new TreeMap<>();
        parts.getOrDefault(part, Collections.emptySortedMap())
                .forEach((key, held) -> copy.put(key, held.row));
        return copy;
    }

    public int count(String part) {
        return parts.getOrDefault(part, Collections.emptySortedMap()).size();
    }

    public void put(String part, String key, Row row) {
        if (!row.equals(get(part, key))) {
            parts.computeIfAbsent(part, p -> new TreeMap<>()).put(key, new Held(index, row));
        }
    }

    public void remove(String part, String key) {
        SortedMap<String, Held> held = parts.get(part);
        if (held != null && held.remove(key) != null) {
            removals.addLast(new Change(index, part, key, null));
            if (removals.size() > MOST_REMOVALS) {
                floor = removals.removeFirst().index;
            }
        }
    }

    /**
     * What has changed after that index, in no order; null where that is no longer known and the
     * whole is needed.
     */
    public List<Change> changesSince(long from) {
        if (from < floor) {
            return null;
        }
        List<Change> changes = new ArrayList<>();
        // A key that was removed and put again stands in both: the row that is there comes later
        // and wins.
        removals.stream().filter(c -> c.index > from).forEach(changes::add);
        parts.forEach(
                (part, rows) ->
                        rows.forEach(
                                (key, held) -> {
                                    if (held.index > from) {
                                        changes.add(new Change(held.index, part, key, held.row));
                                    }
                                }));
        return changes;
    }

    /** Everything, for a snapshot. */
    public List<Change> all() {
        List<Change> changes = new ArrayList<>();
        parts.forEach(
                (part, rows) ->
                        rows.forEach(
                                (key, held) ->
                                        changes.add(new Change(held.index, part, key, held.row))));
        return changes;
    }

    /**
     * These rows and no others, as a snapshot told them; earlier changes are no longer known
     * singly.
     */
    public static Rows fromSnapshot(long index, List<Change> snapshot) {
        Rows rows = new Rows();
        rows.floor = index;
        rows.index = index;
        rows.take(snapshot);
        return rows;
    }

    /** A copy with these changes, for a follower. */
    public Rows withChanges(long upTo, List<Change> changes) {
        Rows copy = new Rows();
        parts.forEach((part, rows) -> copy.parts.put(part, new TreeMap<>(rows)));
        copy.floor = upTo;
        copy.index = upTo;
        copy.take(changes);
        return copy;
    }

    private void take(List<Change> changes) {
        for (Change c : changes) {
            if (c.row == null) {
                // A follower may be told of the end of what it never saw: it came and went between
                // two pulls.
                SortedMap<String, Held> held = parts.get(c.part);
                if (held != null) {
                    held.remove(c.key);
                }
            } else {
                parts.computeIfAbsent(c.part, p -> new TreeMap<>())
                        .put(c.key, new Held(c.index, c.row));
            }
        }
    }
}
