package postgrade.sharing.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import postgrade.extension.Host;
import postgrade.member.OutOfServicePart;
import postgrade.shared.Answer.Status;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.Rows;
import postgrade.shared.View;

/**
 * Synchronises the workers in maintenance between this process and the shared state. Changes by
 * operators at this process are submitted until they are decided; changes in the shared state are
 * applied here. While a change of this process is pending, it takes precedence over what the view
 * still shows.
 */
public final class MaintenanceSync {

    private static final long SUBMIT_TIMEOUT_MICROS = 1_000_000;

    /**
     * A change by an operator at this process that the quorum has not decided, or that the view
     * does not show yet.
     */
    private static final class LocalChange {
        private final boolean outOfService;
        private final String requestId;
        private boolean inFlight;
        private boolean decided;
        private long visibleFromFence;

        LocalChange(boolean outOfService, String requestId) {
            this.outOfService = outOfService;
            this.requestId = requestId;
        }
    }

    private final Host host;
    private final ReplicatedState state;
    private final Map<String, LocalChange> localChanges = new HashMap<>();
    private final Set<String> outOfService = new TreeSet<>();
    private Rows appliedRows;
    private long changeCount;

    public MaintenanceSync(Host host, ReplicatedState state) {
        this.host = host;
        this.state = state;
    }

    /**
     * Restores the workers that were in maintenance when this process last ran. They stay so until
     * a view shows otherwise.
     */
    public void restore(Set<String> workers) {
        workers.forEach(
                worker -> {
                    outOfService.add(worker);
                    host.enterMaintenance(worker);
                });
    }

    /**
     * Adopts the state of a process that is still running or has just ended. Changes that have not
     * been decided are submitted by this process too.
     */
    public void adopt(HandOverState predecessor) {
        restore(predecessor.outOfService());
        predecessor
                .pendingChanges()
                .forEach(
                        change -> {
                            localChanges.put(
                                    change.worker(),
                                    new LocalChange(change.outOfService(), change.requestId()));
                            updateOutOfService(change.worker(), change.outOfService());
                        });
    }

    /** Returns the changes by operators that no view shows yet, for the next process. */
    public List<HandOverState.PendingChange> pendingChanges() {
        return localChanges.entrySet().stream()
                .map(
                        e ->
                                new HandOverState.PendingChange(
                                        e.getKey(),
                                        e.getValue().outOfService,
                                        e.getValue().requestId))
                .toList();
    }

    /** Returns the workers that this process holds to be in maintenance, for its snapshot. */
    public Set<String> outOfService() {
        return Set.copyOf(outOfService);
    }

    /**
     * Records a change that an operator made at this process, and that is already in effect here.
     */
    public void changedByOperator(String worker, boolean isOutOfService) {
        String id =
                state.standing().name()
                        + "-"
                        + state.standing().incarnation()
                        + "-out-"
                        + ++changeCount
                        + "-"
                        + Long.toHexString(host.monotonicMicros().getAsLong());
        localChanges.put(worker, new LocalChange(isOutOfService, id));
        updateOutOfService(worker, isOutOfService);
        tick();
    }

    private void updateOutOfService(String worker, boolean isOutOfService) {
        if (isOutOfService) {
            outOfService.add(worker);
        } else {
            outOfService.remove(worker);
        }
    }

    /** Applies the latest view and submits pending changes. Called periodically. */
    public void tick() {
        View view = state.view();
        localChanges
                .values()
                .removeIf(
                        change ->
                                change.decided
                                        && view.known()
                                        && view.moment().fence() >= change.visibleFromFence);
        if (view.known() && view.rows() != appliedRows) {
            appliedRows = view.rows();
            applyView(OutOfServicePart.outOfService(appliedRows));
        }
        if (view.known()) {
            localChanges.forEach(
                    (worker, change) -> {
                        if (!change.inFlight && !change.decided) {
                            submit(worker, change);
                        }
                    });
        }
    }

    private void applyView(Set<String> outOfServiceInView) {
        for (String worker : new TreeSet<>(outOfService)) {
            if (!outOfServiceInView.contains(worker) && !localChanges.containsKey(worker)) {
                outOfService.remove(worker);
                host.exitMaintenance(worker);
            }
        }
        for (String worker : outOfServiceInView) {
            if (!localChanges.containsKey(worker) && outOfService.add(worker)) {
                host.enterMaintenance(worker);
            }
        }
    }

    private void submit(String worker, LocalChange change) {
        change.inFlight = true;
        String name = state.standing().name();
        long incarnation = state.standing().incarnation();
        Command command =
                change.outOfService
                        ? OutOfServicePart.takeOutOfService(
                                change.requestId, name, incarnation, worker)
                        : OutOfServicePart.returnToService(
                                change.requestId, name, incarnation, worker);
        state.submit(
                command,
                SUBMIT_TIMEOUT_MICROS,
                reply -> {
                    change.inFlight = false;
                    if (reply.decided()) {
                        change.decided = true;
                        // The view may be older than this decision: it is ignored for this worker
                        // until it has caught up.
                        change.visibleFromFence =
                                reply.moment() == null ? 0 : reply.moment().fence();
                        if (reply.answer().status() == Status.FAULTY
                                || reply.answer().status() == Status.CONFLICT) {
                            // The change was rejected and cannot be shared; it stays in effect at
                            // this process.
                            change.visibleFromFence = Long.MAX_VALUE;
                        }
                    }
                });
    }
}
