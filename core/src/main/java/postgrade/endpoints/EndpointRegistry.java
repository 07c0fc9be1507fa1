package postgrade.endpoints;

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
 * The effective worker list: discovery's list with the operators' overrides applied. A worker that
 * an operator has disabled drains until it is enabled again, whatever lists arrive meanwhile.
 *
 * <p>A worker is restarted while it is disabled, and the list may be late to report its start. So
 * an enabled worker counts as started when it was enabled, unless the list reports a start after it
 * was disabled. Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class EndpointRegistry {

    /** The {@link WorkerOverride#enabledNs} of a worker that is disabled. */
    public static final long STILL_DISABLED = Long.MAX_VALUE;

    /** Bounds memory if discovery keeps listing new workers. */
    private static final int MAX_KNOWN_IDS = 10_000;

    private final Map<String, WorkerInfo> listed = new TreeMap<>();
    private final Set<String> knownIds = new HashSet<>();
    private final Map<String, Long> disabledSinceNs = new TreeMap<>();
    private final Map<String, WorkerOverride> reenabled = new HashMap<>();

    /**
     * An operator's override of a worker. A listed start after {@code disabledNs} is used as it is;
     * any earlier one is replaced by {@code enabledNs}.
     *
     * @param disabledNs when it was disabled
     * @param enabledNs when it was enabled again, or {@link #STILL_DISABLED}
     */
    public record WorkerOverride(String id, long disabledNs, long enabledNs) {}

    /**
     * Applies a list from discovery and returns its workers with the overrides applied.
     *
     * @param complete whether workers that are not in the list are no longer listed
     */
    public List<WorkerInfo> update(boolean complete, Collection<WorkerInfo> workers) {
        if (complete) {
            listed.clear();
        }
        List<WorkerInfo> effective = new ArrayList<>();
        for (WorkerInfo worker : workers) {
            if (worker.phase() == WorkerPhase.GONE) {
                listed.remove(worker.id());
            } else {
                listed.put(worker.id(), worker);
            }
            if (knownIds.size() < MAX_KNOWN_IDS) {
                knownIds.add(worker.id());
            }
            effective.add(withOverride(worker));
        }
        return effective;
    }

    private WorkerInfo withOverride(WorkerInfo worker) {
        boolean disabled =
                worker.phase() == WorkerPhase.READY && disabledSinceNs.containsKey(worker.id());
        return new WorkerInfo(
                worker.id(),
                worker.zone(),
                worker.kind(),
                worker.cell(),
                disabled ? WorkerPhase.DRAINING : worker.phase(),
                worker.weight(),
                effectiveStartNs(worker));
    }

    private long effectiveStartNs(WorkerInfo worker) {
        WorkerOverride override = reenabled.get(worker.id());
        boolean listedStartIsCurrent =
                override == null || worker.startedNs() > override.disabledNs();
        return listedStartIsCurrent ? worker.startedNs() : override.enabledNs();
    }

    /** Returns the ids of the disabled workers, in lexicographic order. */
    public List<String> disabledIds() {
        return List.copyOf(disabledSinceNs.keySet());
    }

    /** Returns all operators' overrides, for another process of this dispatcher. */
    public List<WorkerOverride> overrides() {
        List<WorkerOverride> all = new ArrayList<>();
        disabledSinceNs.forEach(
                (id, sinceNs) -> all.add(new WorkerOverride(id, sinceNs, STILL_DISABLED)));
        all.addAll(reenabled.values());
        return all;
    }

    /** Whether discovery or an operator has ever named this worker. */
    public boolean knows(String id) {
        return knownIds.contains(id) || disabledSinceNs.containsKey(id);
    }

    /** Returns a worker with its override applied, or null if it is not listed. */
    public WorkerInfo worker(String id) {
        WorkerInfo worker = listed.get(id);
        return worker == null ? null : withOverride(worker);
    }

    /** Disables a worker. Returns false if it is disabled already. */
    public boolean disable(long nowNs, String id) {
        reenabled.remove(id);
        return disabledSinceNs.putIfAbsent(id, nowNs) == null;
    }

    /** Enables a worker, however often it was disabled. Returns false if it is not disabled. */
    public boolean enable(long nowNs, String id) {
        Long sinceNs = disabledSinceNs.remove(id);
        if (sinceNs == null) {
            return false;
        }
        reenabled.put(id, new WorkerOverride(id, sinceNs, nowNs));
        return true;
    }
}
