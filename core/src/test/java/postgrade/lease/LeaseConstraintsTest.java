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
 * Reservations in the choice of workers: a view that is too old removes a privilege but never costs
 * an answer.
 */
public class LeaseConstraintsTest {

    private static final WorkerInfo HALF_RESERVED =
            new WorkerInfo("w-1", "zagreb", "box", 0, WorkerPhase.READY, 1, 0);
    private static final WorkerInfo UNRESERVED =
            new WorkerInfo("w-2", "zagreb", "box", 0, WorkerPhase.READY, 1, 0);
    private static final WorkerInfo WITHOUT_ACCELERATORS =
            new WorkerInfo("w-9", "zagreb", "till", 0, WorkerPhase.READY, 1, 0);
    private static final long FRESH_NS = 1_000_000_000L;
    private static final long STALE_NS =
            FRESH_NS + LeaseTimes.DEFAULT.viewBoundMicros() * 1000 + 1000;

    private final ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
    private long index;
    private View view = View.NONE;
    private long fence;

    private LeaseConstraints constraints(boolean lends) {
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

    private void apply(String verb, Object... args) {
        fence =
                machine.apply(++index, new Command("", "n", 1, "lease", verb, Row.of(args)))
                        .fields()
                        .integer("fence", 0);
    }

    @Before
    public void reserveHalfOfOneWorkerNeededInAMinute() {
        apply(
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
        apply(
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
        apply(
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
                        FRESH_NS / 1000);
    }

    @Test
    public void holderPrefersOwnAcceleratorsAndOthersSeeReducedWorker() {
        LeaseConstraints constraints = constraints(false);
        assertEquals(
                1, constraints.usableShare(FRESH_NS, job("replan", "ana", 1), HALF_RESERVED), 0);
        assertEquals(
                LeaseConstraints.OTHER_WORKER_FACTOR,
                constraints.usableShare(FRESH_NS, job("replan", "ana", 1), UNRESERVED),
                0);
        assertEquals(
                0.5, constraints.usableShare(FRESH_NS, job("replan", "ivo", 1), HALF_RESERVED), 0);
        assertEquals(1, constraints.usableShare(FRESH_NS, job("replan", "ivo", 1), UNRESERVED), 0);
        assertEquals(
                0.5,
                constraints.usableShare(FRESH_NS, job("slot-check", "ana", 1), HALF_RESERVED),
                0);
        assertEquals(
                1,
                constraints.usableShare(
                        FRESH_NS, job("slot-check", "ana", 1), WITHOUT_ACCELERATORS),
                0);
        assertEquals("3=" + fence, constraints.fenceFor(FRESH_NS, "replan", "ana", "w-1"));
        assertNull(constraints.fenceFor(FRESH_NS, "replan", "ivo", "w-1"));
        assertNull(constraints.fenceFor(FRESH_NS, "slot-check", "ana", "w-1"));
    }

    @Test
    public void staleViewRemovesPrivilegeButDisablesNoWorker() {
        LeaseConstraints constraints = constraints(true);
        apply("acquire", "holder", "eva", "kind", "box", "accelerators", 6, "ttlMs", 3000);
        view =
                new View(
                        machine.moment(),
                        Rows.fromSnapshot(index, machine.snapshot().rows()),
                        FRESH_NS / 1000);
        assertEquals(
                "all accelerators are reserved by others",
                0,
                constraints.usableShare(FRESH_NS, job("replan", "ivo", 1), UNRESERVED),
                0);
        assertEquals(
                LeaseConstraints.MIN_USABLE_SHARE,
                constraints.usableShare(STALE_NS, job("replan", "ivo", 1), UNRESERVED),
                0);
        assertEquals(
                LeaseConstraints.MIN_USABLE_SHARE,
                constraints.usableShare(FRESH_NS, job("slot-check", "ivo", 1), UNRESERVED),
                0);
        assertEquals(
                LeaseConstraints.MIN_USABLE_SHARE,
                constraints.usableShare(STALE_NS, job("replan", "ana", 1), HALF_RESERVED),
                0);
        assertNull(constraints.fenceFor(STALE_NS, "replan", "ana", "w-1"));
        view = View.NONE;
        assertEquals(1, constraints.usableShare(FRESH_NS, job("replan", "ivo", 1), UNRESERVED), 0);
    }

    @Test
    public void nonIdempotentJobsAreNeverLimitedAndCannotReserve() {
        apply("acquire", "holder", "eva", "kind", "box", "accelerators", 6, "ttlMs", 3000);
        view =
                new View(
                        machine.moment(),
                        Rows.fromSnapshot(index, machine.snapshot().rows()),
                        FRESH_NS / 1000);
        for (long at : new long[] {FRESH_NS, STALE_NS}) {
            assertEquals(
                    1,
                    constraints(true)
                            .usableShare(at, job("order-confirm", "ivo", 1), HALF_RESERVED),
                    0);
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
    public void idempotentJobsEndingBeforeHoldersFirstJobMayBorrow() {
        LeaseConstraints constraints = constraints(true);
        assertEquals(
                1,
                constraints.usableShare(FRESH_NS, job("slot-check", "ivo", 50), HALF_RESERVED),
                0);
        assertEquals(
                0.5,
                constraints.usableShare(FRESH_NS, job("slot-check", "ivo", 60), HALF_RESERVED),
                0);
        assertEquals(
                0.5, constraints.usableShare(FRESH_NS, job("replan", "ivo", 1), HALF_RESERVED), 0);
        assertEquals(
                0.5,
                constraints.usableShare(STALE_NS, job("slot-check", "ivo", 1), HALF_RESERVED),
                0);
    }

    @Test
    public void staleDiscoveryListUndoesNothing() {
        ReplicatedStateMachine fresh =
                new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
        var perKind = new FleetSync.AcceleratorConfig(Map.of("box", 4), 1);
        WorkerInfo restarted =
                new WorkerInfo("w-1", "zagreb", "box", 0, WorkerPhase.READY, 1, 9_000_000);
        WorkerInfo leaving = new WorkerInfo("w-2", "zagreb", "box", 0, WorkerPhase.DRAINING, 1, 0);
        for (List<WorkerInfo> list :
                List.of(
                        List.of(HALF_RESERVED, UNRESERVED, WITHOUT_ACCELERATORS),
                        List.of(restarted, leaving, WITHOUT_ACCELERATORS),
                        List.of(HALF_RESERVED, UNRESERVED, WITHOUT_ACCELERATORS))) {
            FleetSync.pendingCommands(fresh.rows(), list, Set.of(), perKind, "n", 1)
                    .forEach(command -> fresh.apply(++index, command));
        }
        List<ReservableWorker> workers = new ReservationTable(fresh.rows()).workers();
        assertEquals(
                List.of("w-1 9 READY", "w-2 0 DRAINING"),
                workers.stream()
                        .map(
                                worker ->
                                        worker.worker()
                                                + " "
                                                + worker.start()
                                                + " "
                                                + worker.state())
                        .toList());
        assertEquals(
                0,
                FleetSync.pendingCommands(
                                fresh.rows(),
                                List.of(restarted, leaving),
                                Set.of(),
                                perKind,
                                "n",
                                1)
                        .size());
        assertEquals(
                "all workers are missing from the list",
                2,
                FleetSync.pendingCommands(fresh.rows(), List.of(), Set.of(), perKind, "n", 1)
                        .size());
    }
}
