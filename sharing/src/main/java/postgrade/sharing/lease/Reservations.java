package postgrade.sharing.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.extension.Host;
import postgrade.lease.FleetSync;
import postgrade.lease.LeaseConstraints;
import postgrade.lease.LeaseTimes;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;

/**
 * Connects reservations to a dispatcher: provides their constraints to the policy, and synchronises
 * the fleet into the shared state.
 */
public final class Reservations {

    private static final long SYNC_INTERVAL_MICROS = 500_000;
    private static final long SUBMIT_TIMEOUT_MICROS = 1_000_000;

    /**
     * A large fleet is synchronised over several rounds, so that it does not flood the replicated
     * log.
     */
    private static final int MAX_COMMANDS_PER_ROUND = 50;

    private final Host host;
    private final ReplicatedState state;
    private final FleetSync.AcceleratorConfig accelerators;
    private final LeaseConstraints constraints;
    private int commandsInFlight;
    private long nextSyncMicros;
    private long decidedFence;

    /**
     * Creates the constraints from the settings of the dispatcher.
     *
     * @param accelerators the number of accelerators per kind of worker
     * @param reservingClasses classes whose jobs use reserved accelerators
     * @param lends whether reserved accelerators are lent to other jobs
     * @throws IllegalArgumentException for an unknown class, or one whose jobs must not run twice
     */
    public Reservations(
            Host host,
            ReplicatedState state,
            FleetSync.AcceleratorConfig accelerators,
            Set<String> reservingClasses,
            boolean lends) {
        this.host = host;
        this.state = state;
        this.accelerators = accelerators;
        Map<String, Idempotency> idempotencyByClass = new HashMap<>();
        host.settings().classes.forEach(c -> idempotencyByClass.put(c.name(), c.idempotency()));
        constraints =
                new LeaseConstraints(
                        state::view,
                        LeaseTimes.DEFAULT,
                        new LeaseConstraints.Rules(reservingClasses, idempotencyByClass, lends));
    }

    public JobConstraints constraints() {
        return constraints;
    }

    /** Returns the fencing token that is sent to the worker with a job, or null. */
    public String fence(String jobClass, String tenant, String worker) {
        return constraints.fenceFor(host.timers().nowMicros() * 1000, jobClass, tenant, worker);
    }

    /**
     * Submits what discovery reports about the workers, if this process is the leader. Called
     * periodically.
     */
    public void tick() {
        long now = host.timers().nowMicros();
        View view = state.view();
        ReplicatedState.Standing self = state.standing();
        if (self.incarnation() == 0
                || now < nextSyncMicros
                || commandsInFlight > 0
                || !self.name().equals(self.leader())
                || view.moment().fence() < decidedFence) {
            return;
        }
        nextSyncMicros = now + SYNC_INTERVAL_MICROS;
        List<WorkerInfo> workers = new ArrayList<>();
        Set<String> outOfService = new HashSet<>();
        for (Host.WorkerStatus w : host.workers()) {
            workers.add(
                    new WorkerInfo(
                            w.id(),
                            w.zone(),
                            w.kind(),
                            0,
                            w.ready() ? WorkerPhase.READY : WorkerPhase.DRAINING,
                            w.weight(),
                            w.startedMillis() * 1_000_000));
            if (w.inMaintenance()) {
                outOfService.add(w.id());
            }
        }
        if (workers.isEmpty()) {
            return; // Before the first discovery result no worker can be said to be gone.
        }
        List<Command> commands =
                FleetSync.pendingCommands(
                        view.rows(),
                        workers,
                        outOfService,
                        accelerators,
                        self.name(),
                        self.incarnation());
        commands.stream()
                .limit(MAX_COMMANDS_PER_ROUND)
                .forEach(
                        c -> {
                            commandsInFlight++;
                            state.submit(
                                    c,
                                    SUBMIT_TIMEOUT_MICROS,
                                    reply -> {
                                        commandsInFlight--;
                                        if (reply.decided() && reply.moment() != null) {
                                            decidedFence =
                                                    Math.max(decidedFence, reply.moment().fence());
                                        }
                                    });
                        });
    }
}
