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
 * Workers out, here and in the shared state. What operators say here is told until it is decided;
 * what the state says is done here. While a word of our own is under way it goes before what the
 * view still says.
 */
public final class MaintenanceSync {

    private static final long SUBMIT_TIMEOUT_MICROS = 1_000_000;

    /** Said here and not decided yet. */
    private static final class LocalChange {
        private final boolean out;
        private final String requestId;
        private boolean inFlight;
        private boolean decided;
        private long visibleFromFence;

        LocalChange(boolean out, String requestId) {
            this.out = out;
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

    /** They were out when this process last ran. It holds until a view says otherwise. */
    public void restore(Set<String> workers) {
        workers.forEach(
                w -> {
                    outOfService.add(w);
                    host.enterMaintenance(w);
                });
    }

    /**
     * A process that lives, or has just ended, has told this one of it. What is not decided yet is
     * asked for here too.
     */
    public void adopt(HandOverState predecessor) {
        restore(predecessor.outOfService());
        predecessor
                .pendingChanges()
                .forEach(
                        w -> {
                            localChanges.put(w.worker(), new LocalChange(w.out(), w.requestId()));
                            updateOutOfService(w.worker(), w.out());
                        });
    }

    /** What operators have said here and no view tells yet, for the next process. */
    public List<HandOverState.PendingChange> pendingChanges() {
        return localChanges.entrySet().stream()
                .map(
                        e ->
                                new HandOverState.PendingChange(
                                        e.getKey(), e.getValue().out, e.getValue().requestId))
                .toList();
    }

    /** Those that this process holds to be out, for its memory. */
    public Set<String> outOfService() {
        return Set.copyOf(outOfService);
    }

    /** An operator has said so here, and it is done here. */
    public void changedByOperator(String worker, boolean out) {
        String id =
                state.standing().name()
                        + "-"
                        + state.standing().incarnation()
                        + "-out-"
                        + ++changeCount
                        + "-"
                        + Long.toHexString(host.monotonicMicros().getAsLong());
        localChanges.put(worker, new LocalChange(out, id));
        updateOutOfService(worker, out);
        tick();
    }

    private void updateOutOfService(String worker, boolean out) {
        if (out) {
            outOfService.add(worker);
        } else {
            outOfService.remove(worker);
        }
    }

    /** Called again and again. */
    public void tick() {
        View view = state.view();
        localChanges
                .values()
                .removeIf(
                        w ->
                                w.decided
                                        && view.known()
                                        && view.moment().fence() >= w.visibleFromFence);
        if (view.known() && view.rows() != appliedRows) {
            appliedRows = view.rows();
            applyView(OutOfServicePart.outOfService(appliedRows));
        }
        if (view.known()) {
            localChanges.forEach(
                    (worker, w) -> {
                        if (!w.inFlight && !w.decided) {
                            submit(worker, w);
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
                change.out
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
                        // The view may be older than the word: until it has come so far it is not
                        // gone by.
                        change.visibleFromFence =
                                reply.moment() == null ? 0 : reply.moment().fence();
                        if (reply.answer().status() == Status.FAULTY
                                || reply.answer().status() == Status.CONFLICT) {
                            change.visibleFromFence =
                                    Long.MAX_VALUE; // It cannot be told; what was said here
                            // stays here.
                        }
                    }
                });
    }
}
