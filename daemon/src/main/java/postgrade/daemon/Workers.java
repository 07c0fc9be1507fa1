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
 * Takes in what discovery and operators say of the workers, and tells the pools and the module how
 * each counts.
 */
final class Workers {

    private static final Logger LOG = LoggerFactory.getLogger(Workers.class);
    private static final long NANOS = 1_000;

    private final EndpointRegistry roster = new EndpointRegistry();

    /** What discovery has last said of each provider. */
    private final Map<String, ListedWorker> told = new LinkedHashMap<>();

    private final WorkerConnectionPools providers;
    private final RequestTracker gateway;
    private final WorkerStartTimes startTimes;

    Workers(WorkerConnectionPools providers, RequestTracker gateway, Clock clock) {
        this.providers = providers;
        this.gateway = gateway;
        startTimes = new WorkerStartTimes(clock);
    }

    WorkerConnectionPools providers() {
        return providers;
    }

    EndpointRegistry roster() {
        return roster;
    }

    Collection<ListedWorker> told() {
        return told.values();
    }

    /**
     * @param nowMicros of the loop's clock
     * @param heardBeforeMicros when discovery was last heard before it told this, or {@link
     *     WorkerStartTimes#NEVER_HEARD}
     */
    void list(WorkerListUpdateType form, WorkerList list, long nowMicros, long heardBeforeMicros) {
        list.logUnreadable();
        List<WorkerInfo> workers = new ArrayList<>();
        if (form != WorkerListUpdateType.DELTA) {
            told.clear();
        }
        for (ListedWorker e : list.workers()) {
            told.put(e.id(), e);
            WorkerPhase phase =
                    switch (e.state()) {
                        case READY -> WorkerPhase.READY;
                        case DRAINING -> WorkerPhase.DRAINING;
                        case GONE -> WorkerPhase.GONE;
                    };
            long born = startTimes.micros(e.id(), e.startedMillis(), nowMicros, heardBeforeMicros);
            workers.add(
                    new WorkerInfo(
                            e.id(), e.zone(), e.kind(), e.cell(), phase, e.weight(), born * NANOS));
        }
        List<WorkerInfo> counted = roster.update(form != WorkerListUpdateType.DELTA, workers);
        providers.updateWorkers(
                form != WorkerListUpdateType.DELTA, counted.stream().map(this::target).toList());
        told.values().removeIf(e -> e.state() == State.GONE);
        gateway.workersUpdated(form, counted);
    }

    private WorkerEndpoint target(WorkerInfo w) {
        return new WorkerEndpoint(
                w.id(), told.get(w.id()).address(), w.phase() == WorkerPhase.READY);
    }

    boolean takeOut(long nowMicros, String id) {
        if (!roster.disable(nowMicros * NANOS, id)) {
            return false;
        }
        Events.info(LOG, "worker.out")
                .addKeyValue("provider", id)
                .log("provider " + id + " taken out by an operator");
        recount(id);
        return true;
    }

    boolean putBack(long nowMicros, String id) {
        if (!roster.enable(nowMicros * NANOS, id)) {
            return false;
        }
        Events.info(LOG, "worker.back")
                .addKeyValue("provider", id)
                .log("provider " + id + " put back by an operator");
        recount(id);
        gateway.workerReenabled(id);
        return true;
    }

    /**
     * Both sides hear of one worker as it counts now. The pools refuse it from now on, before
     * anyone is answered.
     */
    private void recount(String id) {
        WorkerInfo w = roster.worker(id);
        if (w != null) {
            providers.updateWorkers(false, List.of(target(w)));
            gateway.workersUpdated(WorkerListUpdateType.DELTA, List.of(w));
        }
    }

    /** As the companion sees them. */
    List<Host.WorkerStatus> known() {
        List<String> out = roster.disabledIds();
        return told.values().stream()
                .map(
                        e ->
                                new Host.WorkerStatus(
                                        e.id(),
                                        e.zone(),
                                        e.kind(),
                                        e.weight(),
                                        e.startedMillis(),
                                        e.state() == State.READY,
                                        out.contains(e.id())))
                .toList();
    }
}
