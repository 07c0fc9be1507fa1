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
 * Reservations beside a dispatcher: their say in the module's choices, and the fleet as the shared
 * state has it.
 */
public final class Reserving {

    private static final long EVERY_MICROS = 500_000;
    private static final long WITHIN_MICROS = 1_000_000;

    /** A large fleet is told over some rounds, so that it never crowds the log. */
    private static final int MOST_AT_ONCE = 50;

    private final Host host;
    private final ReplicatedState sharing;
    private final FleetSync.AcceleratorConfig accelerators;
    private final LeaseConstraints ability;
    private int asking;
    private long dueMicros;
    private long decidedFence;

    /**
     * @param accelerators which kinds of workers have how many
     * @param reserving classes whose jobs use reserved accelerators
     * @throws IllegalArgumentException for a class that there is not, or that must not run twice
     */
    public Reserving(
            Host host,
            ReplicatedState sharing,
            FleetSync.AcceleratorConfig accelerators,
            Set<String> reserving,
            boolean lends) {
        this.host = host;
        this.sharing = sharing;
        this.accelerators = accelerators;
        Map<String, Idempotency> effects = new HashMap<>();
        host.settings().classes.forEach(c -> effects.put(c.name(), c.idempotency()));
        ability =
                new LeaseConstraints(
                        sharing::view,
                        LeaseTimes.DEFAULT,
                        new LeaseConstraints.Rules(reserving, effects, lends));
    }

    public JobConstraints ability() {
        return ability;
    }

    /** What goes to the worker with a job, or null. */
    public String fence(String jobClass, String tenant, String worker) {
        return ability.fenceFor(host.timers().nowMicros() * 1000, jobClass, tenant, worker);
    }

    /** Called again and again: whoever leads tells the state what discovery says of the workers. */
    public void tick() {
        long now = host.timers().nowMicros();
        View view = sharing.view();
        ReplicatedState.Standing us = sharing.standing();
        if (us.incarnation() == 0
                || now < dueMicros
                || asking > 0
                || !us.name().equals(us.leader())
                || view.moment().fence() < decidedFence) {
            return;
        }
        dueMicros = now + EVERY_MICROS;
        List<WorkerInfo> workers = new ArrayList<>();
        Set<String> out = new HashSet<>();
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
                out.add(w.id());
            }
        }
        if (workers.isEmpty()) {
            return; // Before discovery has told, nothing is known to be gone.
        }
        List<Command> due =
                FleetSync.pendingCommands(
                        view.rows(), workers, out, accelerators, us.name(), us.incarnation());
        due.stream()
                .limit(MOST_AT_ONCE)
                .forEach(
                        c -> {
                            asking++;
                            sharing.submit(
                                    c,
                                    WITHIN_MICROS,
                                    reply -> {
                                        asking--;
                                        if (reply.decided() && reply.moment() != null) {
                                            decidedFence =
                                                    Math.max(decidedFence, reply.moment().fence());
                                        }
                                    });
                        });
    }
}
