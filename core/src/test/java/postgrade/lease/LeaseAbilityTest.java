package postgrade.lease;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Before;
import org.junit.Test;
import postgrade.Dispatcher.Effect;
import postgrade.Dispatcher.Job;
import postgrade.Dispatcher.Phase;
import postgrade.Dispatcher.Worker;
import postgrade.shared.Command;
import postgrade.shared.Machine;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.View;

/**
 * What the module is told of reservations: a view that is too old takes away a privilege, and never
 * an answer.
 */
public class LeaseAbilityTest {

    private static final Worker HALF = new Worker("w-1", "zagreb", "box", 0, Phase.READY, 1, 0);
    private static final Worker FREE = new Worker("w-2", "zagreb", "box", 0, Phase.READY, 1, 0);
    private static final Worker PLAIN = new Worker("w-9", "zagreb", "till", 0, Phase.READY, 1, 0);
    private static final long FRESH = 1_000_000_000L;
    private static final long OLD = FRESH + Times.USUAL.viewBoundMicros() * 1000 + 1000;

    private final Machine machine = new Machine(1, List.of(new LeasePart(Times.USUAL)));
    private long index;
    private View view = View.NONE;
    private long fence;

    private LeaseAbility ability(boolean lends) {
        return new LeaseAbility(
                () -> view,
                Times.USUAL,
                new LeaseAbility.Rules(
                        Set.of("replan"),
                        Map.of(
                                "replan",
                                Effect.KEYED,
                                "slot-check",
                                Effect.SAFE,
                                "order-confirm",
                                Effect.UNSAFE),
                        lends));
    }

    private static Job job(String jobClass, String tenant, double seconds) {
        return new Job("j", jobClass, tenant, null, (long) (seconds * 1e9), 1, 0);
    }

    private void ask(String verb, Object... args) {
        fence =
                machine.apply(++index, new Command("", "n", 1, "lease", verb, Row.of(args)))
                        .fields()
                        .whole("fence", 0);
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
        view = new View(machine.moment(), Rows.of(index, machine.save().rows()), FRESH / 1000);
    }

    @Test
    public void theHoldersJobsGoToItsOwnFirstAndOthersSeeTheWorkerSmaller() {
        LeaseAbility a = ability(false);
        assertEquals(1, a.part(FRESH, job("replan", "ana", 1), HALF), 0);
        assertEquals(LeaseAbility.ELSEWHERE, a.part(FRESH, job("replan", "ana", 1), FREE), 0);
        assertEquals(0.5, a.part(FRESH, job("replan", "ivo", 1), HALF), 0);
        assertEquals(1, a.part(FRESH, job("replan", "ivo", 1), FREE), 0);
        assertEquals(0.5, a.part(FRESH, job("slot-check", "ana", 1), HALF), 0);
        assertEquals(1, a.part(FRESH, job("slot-check", "ana", 1), PLAIN), 0);
        assertEquals("3=" + fence, a.fenceFor(FRESH, "replan", "ana", "w-1"));
        assertNull(a.fenceFor(FRESH, "replan", "ivo", "w-1"));
        assertNull(a.fenceFor(FRESH, "slot-check", "ana", "w-1"));
    }

    @Test
    public void anOldViewTakesThePrivilegeAndMakesNoWorkerUnable() {
        LeaseAbility a = ability(true);
        ask("acquire", "holder", "eva", "kind", "box", "accelerators", 6, "ttlMs", 3000);
        view = new View(machine.moment(), Rows.of(index, machine.save().rows()), FRESH / 1000);
        assertEquals("all of it is others'", 0, a.part(FRESH, job("replan", "ivo", 1), FREE), 0);
        assertEquals(LeaseAbility.LEAST, a.part(OLD, job("replan", "ivo", 1), FREE), 0);
        assertEquals(LeaseAbility.LEAST, a.part(FRESH, job("slot-check", "ivo", 1), FREE), 0);
        assertEquals(LeaseAbility.LEAST, a.part(OLD, job("replan", "ana", 1), HALF), 0);
        assertNull(a.fenceFor(OLD, "replan", "ana", "w-1"));
        view = View.NONE;
        assertEquals(1, a.part(FRESH, job("replan", "ivo", 1), FREE), 0);
    }

    @Test
    public void whatMustNotRunTwiceIsNeverLimitedAndCannotReserve() {
        ask("acquire", "holder", "eva", "kind", "box", "accelerators", 6, "ttlMs", 3000);
        view = new View(machine.moment(), Rows.of(index, machine.save().rows()), FRESH / 1000);
        for (long at : new long[] {FRESH, OLD}) {
            assertEquals(1, ability(true).part(at, job("order-confirm", "ivo", 1), HALF), 0);
        }
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new LeaseAbility.Rules(
                                Set.of("order-confirm"),
                                Map.of("order-confirm", Effect.UNSAFE),
                                false));
    }

    @Test
    public void lentIsWhatEndsBeforeTheHoldersFirstJobAndMayBeRepeated() {
        LeaseAbility a = ability(true);
        assertEquals(1, a.part(FRESH, job("slot-check", "ivo", 50), HALF), 0);
        assertEquals(0.5, a.part(FRESH, job("slot-check", "ivo", 60), HALF), 0);
        assertEquals(0.5, a.part(FRESH, job("replan", "ivo", 1), HALF), 0);
        assertEquals(0.5, a.part(OLD, job("slot-check", "ivo", 1), HALF), 0);
    }

    @Test
    public void discoveryTellsWhatIsThereAndALateListUndoesNothing() {
        Machine fresh = new Machine(1, List.of(new LeasePart(Times.USUAL)));
        var perKind = new Fleet.Accelerators(Map.of("box", 4), 1);
        Worker back = new Worker("w-1", "zagreb", "box", 0, Phase.READY, 1, 9_000_000);
        Worker leaving = new Worker("w-2", "zagreb", "box", 0, Phase.DRAINING, 1, 0);
        for (List<Worker> list :
                List.of(
                        List.of(HALF, FREE, PLAIN),
                        List.of(back, leaving, PLAIN),
                        List.of(HALF, FREE, PLAIN))) {
            Fleet.due(fresh.rows(), list, Set.of(), perKind, "n", 1)
                    .forEach(c -> fresh.apply(++index, c));
        }
        List<Unit> units = new Book(fresh.rows()).units();
        assertEquals(
                List.of("w-1 9 READY", "w-2 0 DRAINING"),
                units.stream().map(u -> u.worker() + " " + u.start() + " " + u.state()).toList());
        assertEquals(
                0,
                Fleet.due(fresh.rows(), List.of(back, leaving), Set.of(), perKind, "n", 1).size());
        assertEquals(
                "all are missing from the list",
                2,
                Fleet.due(fresh.rows(), List.of(), Set.of(), perKind, "n", 1).size());
    }
}
