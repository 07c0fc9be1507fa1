package postgrade.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.lease.Unit.State;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.shared.Command;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * Keeps the shared state's workers true to discovery: names the commands that bring the one in line
 * with the other. Whoever leads asks this; that two processes with different lists ask for it does
 * no harm, as starts and states only go on.
 */
public final class FleetSync {

    /**
     * @param perKind accelerators of a worker of each kind that has some @param version of these
     *     figures
     */
    public record AcceleratorConfig(Map<String, Integer> perKind, long version) {}

    private FleetSync() {}

    /**
     * What is to be told.
     *
     * @param workers the whole list as discovery has it
     * @param out workers that operators have taken out
     */
    public static List<Command> pendingCommands(
            Rows rows,
            Collection<WorkerInfo> workers,
            Set<String> out,
            AcceleratorConfig accelerators,
            String from,
            long incarnation) {
        Map<String, Unit> known = new HashMap<>();
        new Book(rows).units().forEach(u -> known.put(u.worker(), u));
        List<Command> due = new ArrayList<>();
        for (WorkerInfo w : workers) {
            Integer count = accelerators.perKind.get(w.kind());
            Unit unit = known.remove(w.id());
            if (unit == null && count == null) {
                continue;
            }
            long now = count == null ? 0 : count;
            boolean differs =
                    unit == null
                            || unit.accelerators() != now
                            || !unit.site().equals(w.zone())
                            || !unit.kind().equals(w.kind());
            if (differs && (unit == null || accelerators.version > unit.version())) {
                due.add(
                        new Command(
                                "",
                                from,
                                incarnation,
                                LeasePart.NAME,
                                "unit",
                                Row.of(
                                        "worker",
                                        w.id(),
                                        "site",
                                        w.zone(),
                                        "kind",
                                        w.kind(),
                                        "accelerators",
                                        now,
                                        "version",
                                        accelerators.version)));
            }
            State state =
                    w.phase() == WorkerPhase.GONE
                            ? State.GONE
                            : out.contains(w.id())
                                    ? State.OUT
                                    : w.phase() == WorkerPhase.DRAINING
                                            ? State.DRAINING
                                            : State.READY;
            presence(due, unit, w.id(), w.startedNs() / 1_000_000, state, from, incarnation);
        }
        known.values()
                .forEach(
                        u ->
                                presence(
                                        due,
                                        u,
                                        u.worker(),
                                        u.start(),
                                        State.GONE,
                                        from,
                                        incarnation));
        return due;
    }

    private static void presence(
            List<Command> due,
            Unit unit,
            String worker,
            long start,
            State state,
            String from,
            long incarnation) {
        long knownStart = unit == null ? 0 : unit.start();
        State knownState = unit == null ? State.READY : unit.state();
        if (start > knownStart || start == knownStart && state.compareTo(knownState) > 0) {
            due.add(
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
