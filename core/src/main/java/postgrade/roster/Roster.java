package postgrade.roster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;

/**
 * The workers as they count here: what discovery says, and over it what operators have said. A
 * worker that was taken out drains until it is put back, whatever lists come meanwhile.
 *
 * <p>While out a worker is restarted, and the list may be late with its start. So one that is put
 * back is taken for started at that moment, unless a start since it was taken out is told.
 */
public final class Roster {

    /** Guards the memory against a discovery that names ever new workers. */
    private static final int MOST_SEEN = 10_000;

    private final Map<String, WorkerInfo> told = new TreeMap<>();
    private final Set<String> seen = new HashSet<>();

    /** Since when each is out; and for those put back, when they were out and back. */
    private final Map<String, Long> outNs = new TreeMap<>();

    private final Map<String, Record> back = new HashMap<>();

    /** {@link Record#backNs} of one that is out. */
    public static final long STILL_OUT = Long.MAX_VALUE;

    /**
     * What operators have said of a worker: since when it was out, and when it came back. Any start
     * that the list tells after {@code outNs} is true, else {@code backNs} stands for it.
     */
    public record Record(String id, long outNs, long backNs) {}

    /** Takes in what discovery says and returns how it counts. */
    public List<WorkerInfo> list(boolean whole, Collection<WorkerInfo> workers) {
        if (whole) {
            told.clear();
        }
        List<WorkerInfo> counted = new ArrayList<>();
        for (WorkerInfo w : workers) {
            if (w.phase() == WorkerPhase.GONE) {
                told.remove(w.id());
            } else {
                told.put(w.id(), w);
            }
            if (seen.size() < MOST_SEEN) {
                seen.add(w.id());
            }
            counted.add(counted(w));
        }
        return counted;
    }

    private WorkerInfo counted(WorkerInfo w) {
        WorkerPhase phase =
                w.phase() == WorkerPhase.READY && outNs.containsKey(w.id())
                        ? WorkerPhase.DRAINING
                        : w.phase();
        Record was = back.get(w.id());
        long born = was == null || w.startedNs() > was.outNs ? w.startedNs() : was.backNs;
        return new WorkerInfo(w.id(), w.zone(), w.kind(), w.cell(), phase, w.weight(), born);
    }

    /** Those that are out, in order. */
    public List<String> out() {
        return List.copyOf(outNs.keySet());
    }

    /** All that operators have said, for another process of this dispatcher. */
    public List<Record> records() {
        List<Record> all = new ArrayList<>();
        outNs.forEach((id, since) -> all.add(new Record(id, since, STILL_OUT)));
        back.values().forEach(b -> all.add(new Record(b.id(), b.outNs(), b.backNs())));
        return all;
    }

    /** The list has named it at some time. */
    public boolean knows(String id) {
        return seen.contains(id) || outNs.containsKey(id);
    }

    /** As it counts now, or null where the list does not name it. */
    public WorkerInfo worker(String id) {
        WorkerInfo w = told.get(id);
        return w == null ? null : counted(w);
    }

    /** Takes a worker out. False if it is out already. */
    public boolean takeOut(long nowNs, String id) {
        back.remove(id);
        return outNs.putIfAbsent(id, nowNs) == null;
    }

    /** Puts a worker back, however often it was taken out. False if it is not out. */
    public boolean putBack(long nowNs, String id) {
        Long since = outNs.remove(id);
        if (since == null) {
            return false;
        }
        back.put(id, new Record(id, since, nowNs));
        return true;
    }
}
