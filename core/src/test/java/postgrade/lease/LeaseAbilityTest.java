package postgrade.lease;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Before;
import org.junit.Test;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.View;

/**
 * What the module is told of reservations: a view that is too old takes away a privilege, and never
 * an answer.
 */
public class LeaseAbilityTest {

    private static final WorkerInfo HALF =
            new WorkerInfo("w-1", "zagreb", "box", 0, WorkerPhase.READY, 1, 0);
    private static final WorkerInfo FREE =
            new WorkerInfo("w-2", "zagreb", "box", 0, WorkerPhase.READY, 1, 0);
    private static final WorkerInfo PLAIN =
            new WorkerInfo("w-9", "zagreb", "till", 0, WorkerPhase.READY, 1, 0);
    private static final long FRESH = 1_000_000_000L;
    private static final long OLD = FRESH + LeaseTimes.DEFAULT.viewBoundMicros() * 1000 + 1000;

    private final ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
    private long index;
    private View view = View.NONE;
    private long fence;

    private LeaseConstraints ability(boolean lends) {
        return new LeaseConstraints(
                () -> view,
                LeaseTimes.DEFAULT,
                new LeaseConstraints.Rules(
                        Set.of("replan"),
                        Map.of(
                                "replan",
                                Idempotency.DEDUPLICATED,
                                "slot-check",
                                Idempotency.IDEMPOTENT,
                                "order-confirm",
                                Idempotency.NOT_IDEMPOTENT),
                        lends));
    }

    private static Job job(String jobClass, String tenant, double seconds) {
        return new Job("j", jobClass, tenant, null, (long) (seconds * 1e9), 1, 0);
    }

    private void ask(String verb, Object... args) {
        fence =
                machine.apply(++index, new Command("", "n", 1, "lease", verb, Row.of(args)))
                        .fields()
                        .integer("fence", 0);
    }

    @Before
    public void anaHoldsHalfOfOneWorkerAndNeedsItInAMinute() {
        ask(
                "unit",
                "worker",
                "w-1",
                "site",
                "zagreb",
                "kind",
                "box",
                "accelerators",
                4,
                "version",
                1);
        ask(
                "unit",
                "worker",
                "w-2",
                "site",
                "zagreb",
                "kind",
                "box",
                "accelerators",
                4,
                "version",
                1);
        ask(
                "acquire",
                "holder",
                "ana",
                "site",
                "zagreb",
                "accelerators",
                2,
                "ttlMs",
                3000,
                "neededInMs",
                60_000);
        view =
                new View(
                        machine.moment(),
                        Rows.fromSnapshot(index, machine.snapshot().rows()),
                        FRESH / 1000);
    }

    @Test
    public void theHoldersJobsGoToItsOwnFirstAndOthersSeeTheWorkerSmaller() {
        LeaseConstraints a = ability(false);
        assertEquals(1, a.usableShare(FRESH, job("replan", "ana", 1), HALF), 0);
        assertEquals(
                LeaseConstraints.ELSEWHERE, a.usableShare(FRESH, job("replan", "ana", 1), FREE), 0);
        assertEquals(0.5, a.usableShare(FRESH, job("replan", "ivo", 1), HALF), 0);
        assertEquals(1, a.usableShare(FRESH, job("replan", "ivo", 1), FREE), 0);
        assertEquals(0.5, a.usableShare(FRESH, job("slot-check", "ana", 1), HALF), 0);
        assertEquals(1, a.usableShare(FRESH, job("slot-check", "ana", 1), PLAIN), 0);
        assertEquals("3=" + fence, a.fenceFor(FRESH, "replan", "ana", "w-1"));
        assertNull(a.fenceFor(FRESH, "replan", "ivo", "w-1"));
        assertNull(a.fenceFor(FRESH, "slot-check", "ana", "w-1"));
    }

    @Test
    public void anOldViewTakesThePrivilegeAndMakesNoWorkerUnable() {
        LeaseConstraints a = ability(true);
        ask("acquire", "holder", "eva", "kind", "box", "accelerators", 6, "ttlMs", 3000);
        view =
                new View(
                        machine.moment(),
                        Rows.fromSnapshot(index, machine.snapshot().rows()),
                        FRESH / 1000);
        assertEquals(
                "all of it is others'", 0, a.usableShare(FRESH, job("replan", "ivo", 1), FREE), 0);
        assertEquals(LeaseConstraints.LEAST, a.usableShare(OLD, job("replan", "ivo", 1), FREE), 0);
        assertEquals(
                LeaseConstraints.LEAST, a.usableShare(FRESH, job("slot-check", "ivo", 1), FREE), 0);
        assertEquals(LeaseConstraints.LEAST, a.usableShare(OLD, job("replan", "ana", 1), HALF), 0);
        assertNull(a.fenceFor(OLD, "replan", "ana", "w-1"));
        view = View.NONE;
        assertEquals(1, a.usableShare(FRESH, job("replan", "ivo", 1), FREE), 0);
    }

    @Test
    public void whatMustNotRunTwiceIsNeverLimitedAndCannotReserve() {
        ask("acquire", "holder", "eva", "kind", "box", "accelerators", 6, "ttlMs", 3000);
        view =
                new View(
                        machine.moment(),
                        Rows.fromSnapshot(index, machine.snapshot().rows()),
                        FRESH / 1000);
        for (long at : new long[] {FRESH, OLD}) {
            assertEquals(1, ability(true).usableShare(at, job("order-confirm", "ivo", 1), HALF), 0);
        }
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new LeaseConstraints.Rules(
                                Set.of("order-confirm"),
                                Map.of("order-confirm", Idempotency.NOT_IDEMPOTENT),
                                false));
    }

    @Test
    public void lentIsWhatEndsBeforeTheHoldersFirstJobAndMayBeRepeated() {
        LeaseConstraints a = ability(true);
        assertEquals(1, a.usableShare(FRESH, job("slot-check", "ivo", 50), HALF), 0);
        assertEquals(0.5, a.usableShare(FRESH, job("slot-check", "ivo", 60), HALF), 0);
        assertEquals(0.5, a.usableShare(FRESH, job("replan", "ivo", 1), HALF), 0);
        assertEquals(0.5, a.usableShare(OLD, job("slot-check", "ivo", 1), HALF), 0);
    }

    @Test
    public void discoveryTellsWhatIsThereAndALateListUndoesNothing() {
        ReplicatedStateMachine fresh =
                new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
        var perKind = new FleetSync.AcceleratorConfig(Map.of("box", 4), 1);
        WorkerInfo back =
                new WorkerInfo("w-1", "zagreb", "box", 0, WorkerPhase.READY, 1, 9_000_000);
        WorkerInfo leaving = new WorkerInfo("w-2", "zagreb", "box", 0, WorkerPhase.DRAINING, 1, 0);
        for (List<WorkerInfo> list :
                List.of(
                        List.of(HALF, FREE, PLAIN),
                        List.of(back, leaving, PLAIN),
                        List.of(HALF, FREE, PLAIN))) {
            FleetSync.pendingCommands(fresh.rows(), list, Set.of(), perKind, "n", 1)
                    .forEach(c -> fresh.apply(++index, c));
        }
        List<Unit> units = new Book(fresh.rows()).units();
        assertEquals(
                List.of("w-1 9 READY", "w-2 0 DRAINING"),
                units.stream().map(u -> u.worker() + " " + u.start() + " " + u.state()).toList());
        assertEquals(
                0,
                FleetSync.pendingCommands(
                                fresh.rows(), List.of(back, leaving), Set.of(), perKind, "n", 1)
                        .size());
        assertEquals(
                "all are missing from the list",
                2,
                FleetSync.pendingCommands(fresh.rows(), List.of(), Set.of(), perKind, "n", 1)
                        .size());
    }
}
