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
 * The workers as they are in force: what discovery lists, overridden by what operators have said. A
 * worker that an operator has disabled drains until it is enabled again, whatever lists come
 * meanwhile.
 *
 * <p>While disabled a worker is restarted, and the list may be late with its start. So one that is
 * enabled is taken to have started at that moment, unless the list tells a start since it was
 * disabled. Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class EndpointRegistry {

    /** {@link WorkerOverride#enabledNs} of a worker that is disabled. */
    public static final long STILL_DISABLED = Long.MAX_VALUE;

    /** Bounds the memory against a discovery that names ever new workers. */
    private static final int MAX_KNOWN_IDS = 10_000;

    private final Map<String, WorkerInfo> listed = new TreeMap<>();
    private final Set<String> knownIds = new HashSet<>();
    private final Map<String, Long> disabledSinceNs = new TreeMap<>();
    private final Map<String, WorkerOverride> reenabled = new HashMap<>();

    /**
     * What operators have said of a worker. A start that the list tells after {@code disabledNs} is
     * true; any earlier one is replaced by {@code enabledNs}.
     *
     * @param disabledNs when it was disabled
     * @param enabledNs when it was enabled again, or {@link #STILL_DISABLED}
     */
    public record WorkerOverride(String id, long disabledNs, long enabledNs) {}

    /**
     * Takes in a list of discovery and returns its workers as they are in force.
     *
     * @param complete whether workers that it does not name are no longer listed
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

    /** The workers that are disabled, in the order of their names. */
    public List<String> disabledIds() {
        return List.copyOf(disabledSinceNs.keySet());
    }

    /** All that operators have said, for another process of this dispatcher. */
    public List<WorkerOverride> overrides() {
        List<WorkerOverride> all = new ArrayList<>();
        disabledSinceNs.forEach(
                (id, sinceNs) -> all.add(new WorkerOverride(id, sinceNs, STILL_DISABLED)));
        all.addAll(reenabled.values());
        return all;
    }

    /** Whether the list has ever named this worker, or an operator has. */
    public boolean knows(String id) {
        return knownIds.contains(id) || disabledSinceNs.containsKey(id);
    }

    /** A worker as it is in force, or null if it is not listed. */
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
