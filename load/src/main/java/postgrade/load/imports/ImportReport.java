package postgrade.load.imports;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import postgrade.load.source.Cause;

/**
 * What an import came to: every entry read is a job, was dropped, or was rejected, and each is
 * counted.
 */
public final class ImportReport {

    public long entries;
    public long jobs;
    public long retries;
    public long firstMicros;
    public long lastMicros;
    public final Map<Cause, Long> repaired = new EnumMap<>(Cause.class);
    public final Map<Cause, Long> rejected = new EnumMap<>(Cause.class);

    /** Entries that the plan left out, by its reason. */
    public final Map<String, Long> dropped = new TreeMap<>();

    /** Format by file. */
    public final Map<String, String> formats = new LinkedHashMap<>();

    static <K> void count(Map<K, Long> in, K what) {
        in.merge(what, 1L, Long::sum);
    }

    public long rejectedCount() {
        return rejected.values().stream().mapToLong(n -> n).sum();
    }

    public long droppedCount() {
        return dropped.values().stream().mapToLong(n -> n).sum();
    }
}
