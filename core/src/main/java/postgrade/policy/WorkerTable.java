package postgrade.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postgrade.policy.api.WorkerInfo;

/** The known workers and worker kinds. */
final class WorkerTable {

    private final Map<String, WorkerKindStats> kinds = new HashMap<>();
    private final Map<String, WorkerState> workers = new TreeMap<>();
    private final List<WorkerState> ready = new ArrayList<>();
    private double meanWeight = 1;

    /** Returns the worker, or null if it is unknown. */
    WorkerState get(String id) {
        return workers.get(id);
    }

    Collection<WorkerState> all() {
        return workers.values();
    }

    /** Returns the workers that the list allows sending to, ordered by name. */
    List<WorkerState> ready() {
        return ready;
    }

    /** Returns the mean weight of the ready workers that announce one; 1 if none does. */
    double meanWeight() {
        return meanWeight;
    }

    WorkerState getOrAdd(WorkerInfo info) {
        WorkerKindStats kind = kinds.computeIfAbsent(info.kind(), unused -> new WorkerKindStats());
        return workers.computeIfAbsent(info.id(), id -> new WorkerState(id, kind));
    }

    /**
     * Removes workers that are no longer needed and collects the ready ones. Must be called after
     * each change of the worker list.
     */
    void refresh(long nowNs, boolean keepsUnlisted) {
        workers.values().removeIf(worker -> worker.canBeRemoved(nowNs, keepsUnlisted));
        ready.clear();
        workers.values().stream().filter(WorkerState::isReady).forEach(ready::add);
        meanWeight =
                ready.stream()
                        .mapToDouble(worker -> worker.info().weight())
                        .filter(weight -> weight > 0)
                        .average()
                        .orElse(1);
    }

    /**
     * Resets what was learned of workers and kinds. Keeps which workers exist and which jobs of
     * this dispatcher they hold.
     */
    void resetLearned() {
        kinds.values().forEach(WorkerKindStats::reset);
        workers.values().forEach(WorkerState::resetForNewDeployment);
    }

    void exportKinds(StateEntryConsumer consumer) {
        kinds.forEach((name, kind) -> consumer.accept(name, kind.export()));
    }

    void restoreKind(String name, double[] values) {
        WorkerKindStats kind = kinds.get(name);
        if (kind != null) {
            kind.restore(values);
        }
    }

    void exportWorkers(long nowNs, StateEntryConsumer consumer) {
        workers.forEach((id, worker) -> consumer.accept(id, worker.export(nowNs)));
    }

    void restoreWorker(long nowNs, String id, double[] values) {
        WorkerState worker = workers.get(id);
        if (worker != null) {
            worker.restore(values, nowNs);
        }
    }

    /** Exports the work sent to workers in slow start; omits workers without any. */
    void exportSlowStartUsage(long nowNs, StateEntryConsumer consumer) {
        workers.forEach(
                (id, worker) -> {
                    double[] sent = worker.slowStartUsage().export(nowNs);
                    if (sent.length > 0) {
                        consumer.accept(id, sent);
                    }
                });
    }

    /**
     * Restores the work sent to a worker in slow start by another process. All of it counts in this
     * process too, whatever its quota share, so that no part of the worker's budget is used twice.
     */
    void restoreSlowStartUsage(long nowNs, String id, double[] values) {
        WorkerState worker = workers.get(id);
        if (worker != null) {
            worker.slowStartUsage().restore(values, nowNs);
        }
    }
}
