package postgrade.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.discovery.WorkerList;
import postgrade.discovery.WorkerList.ListedWorker;
import postgrade.discovery.WorkerList.State;
import postgrade.dispatch.RequestTracker;
import postgrade.endpoints.EndpointRegistry;
import postgrade.extension.Host;
import postgrade.log.Events;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;
import postgrade.worker.WorkerConnectionPools;
import postgrade.worker.WorkerEndpoint;

/**
 * Combines worker updates from discovery with the overrides of operators, and sends the connection
 * pools and the policy the resulting state of each worker.
 */
final class WorkerDirectory {

    private static final Logger LOG = LoggerFactory.getLogger(WorkerDirectory.class);
    private static final long NANOS_PER_MICRO = 1_000;

    private final EndpointRegistry registry = new EndpointRegistry();

    /** The last entry from discovery for each worker. */
    private final Map<String, ListedWorker> listed = new LinkedHashMap<>();

    private final WorkerConnectionPools pools;
    private final RequestTracker requestTracker;
    private final WorkerStartTimes startTimes;

    WorkerDirectory(WorkerConnectionPools pools, RequestTracker requestTracker, Clock clock) {
        this.pools = pools;
        this.requestTracker = requestTracker;
        startTimes = new WorkerStartTimes(clock);
    }

    WorkerConnectionPools pools() {
        return pools;
    }

    EndpointRegistry registry() {
        return registry;
    }

    Collection<ListedWorker> listedWorkers() {
        return listed.values();
    }

    /**
     * Applies a worker list, in whole or as a change.
     *
     * @param nowMicros of the loop's clock
     * @param previousContactMicros time of the last contact with discovery before this update, or
     *     {@link WorkerStartTimes#NO_EARLIER_CONTACT}
     */
    void applyList(
            WorkerListUpdateType form,
            WorkerList list,
            long nowMicros,
            long previousContactMicros) {
        list.logUnreadable();
        List<WorkerInfo> workers = new ArrayList<>();
        if (form != WorkerListUpdateType.DELTA) {
            listed.clear();
        }
        for (ListedWorker entry : list.workers()) {
            listed.put(entry.id(), entry);
            WorkerPhase phase =
                    switch (entry.state()) {
                        case READY -> WorkerPhase.READY;
                        case DRAINING -> WorkerPhase.DRAINING;
                        case GONE -> WorkerPhase.GONE;
                    };
            long startedMicros =
                    startTimes.micros(
                            entry.id(), entry.startedMillis(), nowMicros, previousContactMicros);
            workers.add(
                    new WorkerInfo(
                            entry.id(),
                            entry.zone(),
                            entry.kind(),
                            entry.cell(),
                            phase,
                            entry.weight(),
                            startedMicros * NANOS_PER_MICRO));
        }
        List<WorkerInfo> effective = registry.update(form != WorkerListUpdateType.DELTA, workers);
        pools.updateWorkers(
                form != WorkerListUpdateType.DELTA, effective.stream().map(this::target).toList());
        listed.values().removeIf(entry -> entry.state() == State.GONE);
        requestTracker.workersUpdated(form, effective);
    }

    private WorkerEndpoint target(WorkerInfo worker) {
        return new WorkerEndpoint(
                worker.id(),
                listed.get(worker.id()).address(),
                worker.phase() == WorkerPhase.READY);
    }

    boolean enterMaintenance(long nowMicros, String id) {
        if (!registry.disable(nowMicros * NANOS_PER_MICRO, id)) {
            return false;
        }
        Events.info(LOG, "worker.out")
                .addKeyValue("provider", id)
                .log("worker " + id + " put into maintenance by an operator");
        republish(id);
        return true;
    }

    boolean exitMaintenance(long nowMicros, String id) {
        if (!registry.enable(nowMicros * NANOS_PER_MICRO, id)) {
            return false;
        }
        Events.info(LOG, "worker.back")
                .addKeyValue("provider", id)
                .log("worker " + id + " taken out of maintenance by an operator");
        republish(id);
        requestTracker.workerReenabled(id);
        return true;
    }

    /**
     * Sends the state of one worker to the pools and the policy. The pools refuse a disabled worker
     * at once, before the operator gets a reply.
     */
    private void republish(String id) {
        WorkerInfo worker = registry.worker(id);
        if (worker != null) {
            pools.updateWorkers(false, List.of(target(worker)));
            requestTracker.workersUpdated(WorkerListUpdateType.DELTA, List.of(worker));
        }
    }

    /** Returns the workers as the extension sees them. */
    List<Host.WorkerStatus> extensionView() {
        List<String> disabled = registry.disabledIds();
        return listed.values().stream()
                .map(
                        entry ->
                                new Host.WorkerStatus(
                                        entry.id(),
                                        entry.zone(),
                                        entry.kind(),
                                        entry.weight(),
                                        entry.startedMillis(),
                                        entry.state() == State.READY,
                                        disabled.contains(entry.id())))
                .toList();
    }
}
