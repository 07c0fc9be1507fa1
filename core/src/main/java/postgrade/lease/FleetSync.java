package postgrade.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.lease.ReservableWorker.State;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.shared.Command;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * Keeps the workers in the replicated state in line with discovery, by naming the commands to
 * submit. The leader calls this. If two processes with different lists submit commands this does no
 * harm, because starts and states only advance.
 */
public final class FleetSync {

    /**
     * The configured accelerators.
     *
     * @param perKind accelerators per worker, for each kind that has any
     * @param version of this configuration
     */
    public record AcceleratorConfig(Map<String, Integer> perKind, long version) {}

    private FleetSync() {}

    /**
     * The commands to submit.
     *
     * @param workers the complete list as discovery has it
     * @param outOfService workers that operators have taken out of service
     */
    public static List<Command> pendingCommands(
            Rows rows,
            Collection<WorkerInfo> workers,
            Set<String> outOfService,
            AcceleratorConfig config,
            String from,
            long incarnation) {
        Map<String, ReservableWorker> known = new HashMap<>();
        new ReservationTable(rows).workers().forEach(worker -> known.put(worker.worker(), worker));
        List<Command> commands = new ArrayList<>();
        for (WorkerInfo worker : workers) {
            Integer count = config.perKind.get(worker.kind());
            ReservableWorker knownWorker = known.remove(worker.id());
            if (knownWorker == null && count == null) {
                continue;
            }
            long accelerators = count == null ? 0 : count;
            boolean differs =
                    knownWorker == null
                            || knownWorker.accelerators() != accelerators
                            || !knownWorker.site().equals(worker.zone())
                            || !knownWorker.kind().equals(worker.kind());
            if (differs && (knownWorker == null || config.version > knownWorker.version())) {
                commands.add(
                        new Command(
                                "",
                                from,
                                incarnation,
                                LeasePart.NAME,
                                "unit",
                                Row.of(
                                        "worker",
                                        worker.id(),
                                        "site",
                                        worker.zone(),
                                        "kind",
                                        worker.kind(),
                                        "accelerators",
                                        accelerators,
                                        "version",
                                        config.version)));
            }
            State state =
                    worker.phase() == WorkerPhase.GONE
                            ? State.GONE
                            : outOfService.contains(worker.id())
                                    ? State.OUT
                                    : worker.phase() == WorkerPhase.DRAINING
                                            ? State.DRAINING
                                            : State.READY;
            addPresence(
                    commands,
                    knownWorker,
                    worker.id(),
                    worker.startedNs() / 1_000_000,
                    state,
                    from,
                    incarnation);
        }
        known.values()
                .forEach(
                        worker ->
                                addPresence(
                                        commands,
                                        worker,
                                        worker.worker(),
                                        worker.start(),
                                        State.GONE,
                                        from,
                                        incarnation));
        return commands;
    }

    private static void addPresence(
            List<Command> commands,
            ReservableWorker knownWorker,
            String worker,
            long start,
            State state,
            String from,
            long incarnation) {
        long knownStart = knownWorker == null ? 0 : knownWorker.start();
        State knownState = knownWorker == null ? State.READY : knownWorker.state();
        if (start > knownStart || start == knownStart && state.compareTo(knownState) > 0) {
            commands.add(
                    new Command(
                            "",
                            from,
                            incarnation,
                            LeasePart.NAME,
                            "presence",
                            Row.of("worker", worker, "start", start, "state", state)));
        }
    }
}
