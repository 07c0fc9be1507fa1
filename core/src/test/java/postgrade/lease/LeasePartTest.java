package postgrade.lease;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.Before;
import org.junit.Test;
import postgrade.shared.Answer;
import postgrade.shared.Answer.Status;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;

/**
 * Reservations as the log decides them: who is granted what, in which order, and when a grant ends.
 */
public class LeasePartTest {

    private static final long GRACE_MS = LeaseTimes.DEFAULT.graceMicros() / 1000;

    private final ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
    private long index;

    private Answer apply(String verb, Object... args) {
        return machine.apply(++index, new Command("", "n1", 1, "lease", verb, Row.of(args)));
    }

    private Answer acquire(String holder, int accelerators, Object... more) {
        return apply(
                "acquire",
                (Object[])
                        Row.of(
                                        "holder",
                                        holder,
                                        "site",
                                        "zagreb",
                                        "accelerators",
                                        accelerators,
                                        "ttlMs",
                                        3000)
                                .with(more)
                                .values()
                                .entrySet()
                                .stream()
                                .flatMap(e -> java.util.stream.Stream.of(e.getKey(), e.getValue()))
                                .toArray());
    }

    private Answer call(String verb, String holder, long fence, Object... more) {
        return apply(
                verb,
                (Object[])
                        Row.of("holder", holder, "site", "zagreb", "fence", fence)
                                .with(more)
                                .values()
                                .entrySet()
                                .stream()
                                .flatMap(e -> java.util.stream.Stream.of(e.getKey(), e.getValue()))
                                .toArray());
    }

    private void advance(long ms) {
        for (long remaining = ms; remaining > 0; remaining -= 100) {
            machine.apply(
                    ++index,
                    ReplicatedStateMachine.advance("n1", 1, 1000 * Math.min(100, remaining)));
        }
    }

    private static long fence(Answer answer) {
        return answer.fields().integer("fence");
    }

    private String state(String holder) {
        return ReservationCommands.list(machine.rows(), machine.moment().micros()).stream()
                .filter(fields -> fields.get("holder").equals(holder))
                .map(fields -> fields.get("state"))
                .findFirst()
                .orElse("none");
    }

    @Before
    public void twoWorkersWithFourAcceleratorsEach() {
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
    }

    @Test
    public void grantsAreLimitedToCapacityWithoutOverlap() {
        assertEquals("w-1=f,w-2=1", acquire("ana", 5).fields().text("allotment"));
        assertEquals("w-2=e", acquire("ivo", 3).fields().text("allotment"));
        assertEquals("waiting", acquire("eva", 1).fields().text("state"));
        assertEquals(Status.CONFLICT, acquire("eve", 1, "wait", 0).status());
        assertEquals(Answer.conflict("accelerators must be at most 8 here"), acquire("max", 9));
        assertEquals(
                Answer.faulty("site or kind must be named"),
                apply("acquire", "holder", "x", "accelerators", 1, "ttlMs", 3000));
        assertEquals(
                Answer.faulty("ttlMs must lie between 2000 and 3600000"),
                acquire("x", 1, "ttlMs", 1));
    }

    @Test
    public void unrenewedGrantExpiresAndRestsBeforeNextGrant() {
        long fence = fence(acquire("ana", 8));
        for (int i = 0; i < 20; i++) {
            advance(2800);
            assertEquals(Status.DONE, call("renew", "ana", fence).status());
        }
        acquire("ivo", 1);
        for (int i = 0; i < 30; i++) {
            advance(100);
            assertEquals("granted", state("ana"));
            call("renew", "ivo", 0);
        }
        advance(100);
        assertEquals("none", state("ana"));
        assertEquals(Status.UNKNOWN, call("renew", "ana", fence).status());
        call("renew", "ivo", 0);
        advance(GRACE_MS - 100);
        assertEquals("waiting", state("ivo"));
        advance(100);
        assertEquals("granted", state("ivo"));
    }

    @Test
    public void releasedAcceleratorsRestAndFenceOnlyGrows() {
        long fence = fence(acquire("ana", 8));
        acquire("ivo", 8, "ttlMs", 60_000);
        assertEquals(Status.DONE, call("release", "ana", fence).status());
        assertEquals("had ended", call("release", "ana", fence).text());
        advance(GRACE_MS);
        assertEquals("waiting", state("ivo"));
        advance(100);
        assertTrue(fence(acquire("ivo", 8)) > fence);
        assertEquals(Status.UNKNOWN, call("release", "ana", fence).status());
    }

    @Test
    public void queueIsServedInOrderWithoutOvertaking() {
        long fence = fence(acquire("ana", 6));
        acquire("ivo", 4, "ttlMs", 60_000);
        acquire("eva", 1, "ttlMs", 60_000);
        assertEquals("two are free but held back for ivo", "waiting", state("eva"));
        assertEquals("2", acquire("eva", 1, "ttlMs", 60_000).fields().text("place"));
        call("release", "ana", fence);
        advance(GRACE_MS + 100);
        assertEquals("granted", state("ivo"));
        assertEquals("granted", state("eva"));
    }

    @Test
    public void unrenewedQueueEntryExpires() {
        long fence = fence(acquire("ana", 8, "ttlMs", 60_000));
        acquire("ivo", 8);
        acquire("eva", 8, "ttlMs", 60_000);
        advance(3100);
        assertEquals("none", state("ivo"));
        call("release", "ana", fence);
        advance(GRACE_MS + 100);
        assertEquals("granted", state("eva"));
    }

    @Test
    public void requestBeyondPresentWorkersBlocksNobody() {
        apply("presence", "worker", "w-2", "start", 5, "state", "DRAINING");
        acquire("ivo", 8);
        assertEquals("waiting", state("ivo"));
        acquire("eva", 4);
        assertEquals("granted", state("eva"));
    }

    @Test
    public void staleFenceAndOlderIncarnationAreRejected() {
        long first = fence(acquire("ana", 4, "incarnation", 1));
        assertEquals(
                "a repeated request keeps its grant",
                first,
                fence(acquire("ana", 4, "incarnation", 1)));
        assertEquals(Status.DONE, call("renew", "ana", first, "incarnation", 1).status());
        assertEquals(Status.DONE, call("renew", "ana", first, "incarnation", 1).status());
        long second = fence(acquire("ana", 4, "incarnation", 2));
        assertTrue(second > first);
        assertEquals(
                Answer.conflict("incarnation is below 2, which has come since"),
                call("renew", "ana", first, "incarnation", 1));
        assertEquals(
                Answer.conflict("fence is not that of the present grant"),
                call("renew", "ana", first, "incarnation", 2));
        assertEquals(Status.CONFLICT, call("release", "ana", first, "incarnation", 2).status());
        assertEquals(Status.CONFLICT, acquire("ana", 4, "incarnation", 1).status());
        assertEquals(Status.CONFLICT, acquire("ana", 3, "incarnation", 2).status());
        assertEquals("granted", state("ana"));
        assertEquals(Status.DONE, call("release", "ana", 0, "force", 1).status());
        assertEquals("none", state("ana"));
    }

    @Test
    public void kindLimitBoundsReservations() {
        apply("part", "kind", "box", "perMille", 500, "version", 1);
        assertEquals(Answer.conflict("accelerators must be at most 4 here"), acquire("max", 5));
        acquire("ana", 3);
        acquire("ivo", 2);
        assertEquals("granted", state("ana"));
        assertEquals("waiting", state("ivo"));
        assertEquals(
                Status.CONFLICT,
                apply("part", "kind", "box", "perMille", 900, "version", 1).status());
        apply("part", "kind", "box", "perMille", 900, "version", 2);
        assertEquals("granted", state("ivo"));
    }

    @Test
    public void absentWorkerStaysGrantedAndLostAcceleratorsAreTakenBack() {
        acquire("ana", 4, "ttlMs", 60_000);
        long ivo = fence(acquire("ivo", 4, "ttlMs", 60_000));
        apply("presence", "worker", "w-2", "start", 0, "state", "GONE");
        apply("presence", "worker", "w-2", "start", 7, "state", "READY");
        assertEquals("the worker has restarted", ivo, fence(acquire("ivo", 4, "ttlMs", 60_000)));
        assertEquals(
                Status.CONFLICT,
                apply("presence", "worker", "w-2", "start", 0, "state", "DRAINING").status());
        apply(
                "unit",
                "worker",
                "w-2",
                "site",
                "zagreb",
                "kind",
                "box",
                "accelerators",
                1,
                "version",
                2);
        assertEquals("w-2=1", acquire("ivo", 4, "ttlMs", 60_000).fields().text("allotment"));
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
                3);
        acquire("eva", 3, "ttlMs", 60_000);
        assertEquals("the accelerators rest first", "waiting", state("eva"));
        advance(GRACE_MS + 100);
        assertEquals("granted", state("eva"));
        apply(
                "unit",
                "worker",
                "w-1",
                "site",
                "zagreb",
                "kind",
                "box",
                "accelerators",
                0,
                "version",
                2);
        assertEquals("none", state("ana"));
        assertEquals(
                Status.CONFLICT,
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
                                2)
                        .status());
    }

    @Test
    public void restoredSnapshotContinuesIdentically() {
        long fence = fence(acquire("ana", 8));
        acquire("ivo", 2, "ttlMs", 60_000);
        advance(500);
        ReplicatedStateMachine restored =
                new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
        restored.restore(machine.snapshot());
        for (int i = 0; i < 60; i++) {
            Command step =
                    i == 7
                            ? ReservationCommands.command(
                                    "release",
                                    "r",
                                    "n2",
                                    1,
                                    Map.of("holder", "ana", "site", "zagreb", "fence", "" + fence))
                            : ReplicatedStateMachine.advance("n1", 1, 100_000);
            machine.apply(++index, step);
            restored.apply(index, step);
        }
        assertEquals(
                ReservationCommands.list(machine.rows(), 0),
                ReservationCommands.list(restored.rows(), 0));
        assertEquals("granted", state("ivo"));
    }
}
