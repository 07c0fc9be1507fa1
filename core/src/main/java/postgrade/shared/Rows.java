package postgrade.shared;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The replicated state: rows by part and key. It records the index at which each row last changed
 * and the most recent removals, so that a follower can be sent only what changed since its last
 * pull.
 */
public final class Rows {

    /** Removals that are kept; a follower that missed more needs the full state. */
    private static final int MAX_REMOVALS = 4096;

    /** A row in its current version, or null for a removed row. */
    public record Change(long index, String part, String key, Row row) {}

    private record VersionedRow(long index, Row row) {}

    private final SortedMap<String, SortedMap<String, VersionedRow>> parts = new TreeMap<>();
    private final Deque<Change> removals = new ArrayDeque<>();

    /** Changes before this index are no longer available individually. */
    private long oldestKnownIndex;

    private long index;

    /** Subsequent changes belong to the entry of this index. */
    void setIndex(long entryIndex) {
        index = entryIndex;
    }

    public Row get(String part, String key) {
        VersionedRow versioned = parts.getOrDefault(part, Collections.emptySortedMap()).get(key);
        return versioned == null ? null : versioned.row;
    }

    /** A copy of a part's current rows, ordered by key. */
    public SortedMap<String, Row> ofPart(String part) {
        SortedMap<String, Row> copy = new TreeMap<>();
        parts.getOrDefault(part, Collections.emptySortedMap())
                .forEach((key, versioned) -> copy.put(key, versioned.row));
        return copy;
    }

    public int count(String part) {
        return parts.getOrDefault(part, Collections.emptySortedMap()).size();
    }

    public void put(String part, String key, Row row) {
        if (!row.equals(get(part, key))) {
            parts.computeIfAbsent(part, p -> new TreeMap<>())
                    .put(key, new VersionedRow(index, row));
        }
    }

    public void remove(String part, String key) {
        SortedMap<String, VersionedRow> partRows = parts.get(part);
        if (partRows != null && partRows.remove(key) != null) {
            removals.addLast(new Change(index, part, key, null));
            if (removals.size() > MAX_REMOVALS) {
                oldestKnownIndex = removals.removeFirst().index;
            }
        }
    }

    /**
     * The changes after that index, unordered; null if they are no longer available and the full
     * state is needed.
     */
    public List<Change> changesSince(long afterIndex) {
        if (afterIndex < oldestKnownIndex) {
            return null;
        }
        List<Change> changes = new ArrayList<>();
        // A key that was removed and put again appears in both lists: the present row is added
        // later and wins.
        removals.stream().filter(change -> change.index > afterIndex).forEach(changes::add);
        parts.forEach(
                (part, partRows) ->
                        partRows.forEach(
                                (key, versioned) -> {
                                    if (versioned.index > afterIndex) {
                                        changes.add(
                                                new Change(
                                                        versioned.index, part, key, versioned.row));
                                    }
                                }));
        return changes;
    }

    /** All rows, for a snapshot. */
    public List<Change> all() {
        List<Change> changes = new ArrayList<>();
        parts.forEach(
                (part, partRows) ->
                        partRows.forEach(
                                (key, versioned) ->
                                        changes.add(
                                                new Change(
                                                        versioned.index,
                                                        part,
                                                        key,
                                                        versioned.row))));
        return changes;
    }

    /** Exactly the rows of a snapshot; earlier changes are not available individually. */
    public static Rows fromSnapshot(long index, List<Change> snapshot) {
        Rows rows = new Rows();
        rows.oldestKnownIndex = index;
        rows.index = index;
        rows.applyChanges(snapshot);
        return rows;
    }

    /** A copy with these changes applied, for a follower. */
    public Rows withChanges(long upTo, List<Change> changes) {
        Rows copy = new Rows();
        parts.forEach((part, partRows) -> copy.parts.put(part, new TreeMap<>(partRows)));
        copy.oldestKnownIndex = upTo;
        copy.index = upTo;
        copy.applyChanges(changes);
        return copy;
    }

    private void applyChanges(List<Change> changes) {
        for (Change change : changes) {
            if (change.row == null) {
                // A follower may receive the removal of a row that it never saw, if the row was
                // added and removed between two pulls.
                SortedMap<String, VersionedRow> partRows = parts.get(change.part);
                if (partRows != null) {
                    partRows.remove(change.key);
                }
            } else {
                parts.computeIfAbsent(change.part, p -> new TreeMap<>())
                        .put(change.key, new VersionedRow(change.index, change.row));
            }
        }
    }
}
