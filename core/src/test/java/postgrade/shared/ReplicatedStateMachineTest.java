package postgrade.shared;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.Test;
import postgrade.shared.Answer.Status;

/**
 * Guarantees that all parts rely on: one effect per request id, time that advances by the log only,
 * and the same state from a snapshot as from changes.
 */
public class ReplicatedStateMachineTest {

    /** Counts by name; a name is removed when its count passes ten. */
    private static final StatePart COUNTER =
            new StatePart() {
                @Override
                public String name() {
                    return "count";
                }

                @Override
                public Answer apply(Rows rows, Moment at, Command command) {
                    String key = command.args().text("name");
                    long by = command.args().integer("by", 1, 10);
                    Row previous = rows.get("count", key);
                    long now = by + (previous == null ? 0 : previous.integer("n"));
                    if (now > 10) {
                        rows.remove("count", key);
                    } else {
                        rows.put("count", key, Row.of("n", now));
                    }
                    return Answer.done("counted", Row.of("n", now, "fence", at.fence()));
                }
            };

    private final ReplicatedStateMachine machine = new ReplicatedStateMachine(1, List.of(COUNTER));
    private long index;

    private Answer count(String id, String name, Object by) {
        return machine.apply(
                ++index, new Command(id, "a", 1, "count", "add", Row.of("name", name, "by", by)));
    }

    @Test
    public void repeatedRequestTakesEffectOnceAndGetsFirstAnswer() {
        Answer first = count("r1", "x", 3);
        assertEquals(first, count("r1", "x", 3));
        assertEquals("3", machine.rows().get("count", "x").text("n"));
        ReplicatedStateMachine restored = new ReplicatedStateMachine(1, List.of(COUNTER));
        restored.restore(machine.snapshot());
        assertEquals(
                first,
                restored.apply(
                        ++index,
                        new Command("r1", "a", 1, "count", "add", Row.of("name", "x", "by", 3))));
        assertEquals("3", restored.rows().get("count", "x").text("n"));
    }

    @Test
    public void requestIdReusedForAnotherCallIsRejected() {
        count("r1", "x", 3);
        assertEquals(Status.CONFLICT, count("r1", "x", 4).status());
        assertEquals("3", machine.rows().get("count", "x").text("n"));
    }

    @Test
    public void invalidCommandNamesFieldAndChangesNothing() {
        assertEquals(Answer.faulty("by must lie between 1 and 10"), count("", "x", 11));
        assertEquals(Answer.faulty("by must be a whole number"), count("", "x", "many"));
        assertNull(machine.rows().get("count", "x"));
        assertEquals(
                Status.UNKNOWN,
                machine.apply(++index, new Command("", "a", 1, "nothing", "add", Row.EMPTY))
                        .status());
    }

    @Test
    public void timeAdvancesByLogOnlyInBoundedSteps() {
        count("", "x", 1);
        assertEquals(0, machine.moment().micros());
        machine.apply(++index, ReplicatedStateMachine.advance("a", 1, 400_000));
        machine.apply(
                ++index,
                ReplicatedStateMachine.advance(
                        "a", 1, 50 * ReplicatedStateMachine.MAX_ADVANCE_MICROS));
        machine.apply(++index, ReplicatedStateMachine.advance("a", 1, -5));
        assertEquals(
                400_000 + ReplicatedStateMachine.MAX_ADVANCE_MICROS, machine.moment().micros());
    }

    @Test
    public void answersAreEvictedAfterTenMinutesOfLogTime() {
        count("r1", "x", 1);
        for (int i = 0; i < 600; i++) {
            machine.apply(
                    ++index,
                    ReplicatedStateMachine.advance(
                            "a", 1, ReplicatedStateMachine.MAX_ADVANCE_MICROS));
        }
        assertEquals(0, machine.rows().count("request"));
    }

    /**
     * Eviction as a machine that scans all its answers does it; replicas of both kinds must hold
     * the same answers.
     */
    private static void evictByFullScan(Map<String, Long> answers, long before, long now) {
        if (now / 10_000_000 > before / 10_000_000 || answers.size() > 10_000) {
            List<Map.Entry<String, Long>> oldestFirst = new ArrayList<>(answers.entrySet());
            oldestFirst.sort(Map.Entry.comparingByValue());
            int excess = oldestFirst.size() - 10_000;
            for (int i = 0;
                    i < oldestFirst.size()
                            && (i < excess || now - oldestFirst.get(i).getValue() >= 600_000_000);
                    i++) {
                answers.remove(oldestFirst.get(i).getKey());
            }
        }
    }

    @Test
    public void evictionMatchesFullScan() {
        ReplicatedStateMachine replica = machine;
        Map<String, Long> answers = new TreeMap<>();
        Random random = new Random(7);
        int maxRetained = 0;
        int steps = 0;
        // Many at one moment first, up to the bound; then so few that the oldest reach the age
        // limit.
        for (int i = 0; i < 13_000; i++) {
            String id = Integer.toHexString(random.nextInt());
            replica.apply(
                    ++index, new Command(id, "a", 1, "count", "add", Row.of("name", "x", "by", 1)));
            answers.putIfAbsent(id, replica.moment().micros());
            if (random.nextInt(i < 10_500 ? 40 : 3) == 0) {
                long before = replica.moment().micros();
                replica.apply(
                        ++index,
                        ReplicatedStateMachine.advance(
                                "a", 1, ReplicatedStateMachine.MAX_ADVANCE_MICROS));
                evictByFullScan(answers, before, replica.moment().micros());
                maxRetained = Math.max(maxRetained, answers.size());
                if (++steps % 16 == 0) {
                    assertEquals(answers.keySet(), replica.rows().ofPart("request").keySet());
                }
            }
            if (i == 6000 || i == 11_000) {
                ReplicatedStateMachine restored = new ReplicatedStateMachine(1, List.of(COUNTER));
                restored.restore(replica.snapshot());
                replica = restored;
            }
        }
        assertEquals(answers.keySet(), replica.rows().ofPart("request").keySet());
        assertEquals(10_000, maxRetained);
        assertTrue("no answer reached the age limit", answers.size() < 9000);
    }

    @Test
    public void followerApplyingChangesMatchesMachine() {
        count("", "x", 1);
        count("", "y", 9);
        Rows follower = Rows.fromSnapshot(index, machine.snapshot().rows());
        long seenIndex = index;
        count("", "y", 9); // Removes the row.
        count("", "x", 1);
        count("", "z", 1);
        follower = follower.withChanges(index, machine.rows().changesSince(seenIndex));
        assertEquals(machine.rows().ofPart("count"), follower.ofPart("count"));
        assertTrue(machine.rows().changesSince(index).isEmpty());
    }

    @Test
    public void rowRemovedAndPutAgainIsPresent() {
        count("", "x", 1);
        Rows follower = Rows.fromSnapshot(index, machine.snapshot().rows());
        long seenIndex = index;
        count("", "x", 10);
        count("", "x", 2);
        assertEquals(
                machine.rows().ofPart("count"),
                follower.withChanges(index, machine.rows().changesSince(seenIndex))
                        .ofPart("count"));
    }

    @Test
    public void removalOfRowNeverSeenByFollowerIsIgnored() {
        Rows follower = new Rows();
        count("", "x", 10);
        count("", "x", 1);
        long seenIndex = index;
        follower = follower.withChanges(seenIndex, machine.rows().changesSince(0));
        assertTrue(follower.ofPart("count").isEmpty());
        count("", "x", 10);
        assertEquals(
                machine.rows().ofPart("count"),
                follower.withChanges(index, machine.rows().changesSince(seenIndex))
                        .ofPart("count"));
    }

    @Test
    public void followerFarBehindNeedsFullState() {
        long seenIndex = index;
        for (int i = 0; i < 5000; i++) {
            count("", "n" + i, 10);
            count("", "n" + i, 1);
        }
        assertNull(machine.rows().changesSince(seenIndex));
    }

    @Test
    public void fencesOfLaterEraExceedAllEarlierOnes() {
        assertTrue(new Moment(2, 1, 0).fence() > new Moment(1, 1L << 39, 0).fence());
        assertTrue(new Moment(1, 8, 0).after(new Moment(1, 7, 5)));
    }
}
