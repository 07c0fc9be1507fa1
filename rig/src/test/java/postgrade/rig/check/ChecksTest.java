package postgrade.rig.check;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.Test;
import postgrade.rig.check.LogCheck.Applied;
import postgrade.rig.check.RateCheck.AdmittedJob;
import postgrade.rig.check.RateCheck.Limit;
import postgrade.rig.check.ShareCheck.ShareChange;
import postgrade.rig.check.WindowCheck.CalendarVersion;
import postgrade.rig.check.WindowCheck.Span;
import postgrade.rig.check.WindowCheck.StartedJob;

/**
 * Each checker accepts a valid history and finds a violation inserted into it at a place chosen by
 * a seed.
 */
public class ChecksTest {

    private static final int SEEDS = 200;

    @Test
    public void detectsRateExceededAcrossProcesses() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<AdmittedJob> admitted = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                admitted.add(new AdmittedJob(i * 100_000L, "n" + i % 5, "t"));
            }
            Map<String, Limit> limits = Map.of("t", new Limit(10, 6));
            assertEquals(List.of(), RateCheck.check(admitted, limits).breaches());
            long at = random.nextLong(50_000_000);
            for (int i = 0; i < 6; i++) {
                admitted.add(new AdmittedJob(at + i * 1000, "n" + random.nextInt(5), "t"));
            }
            assertTrue("seed " + seed, !RateCheck.check(admitted, limits).breaches().isEmpty());
        }
    }

    @Test
    public void detectsSharesAboveWholeForTooLong() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<ShareChange> changes = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                changes.add(new ShareChange(i, "n" + i, 0.25));
            }
            long death = 10_000_000 + random.nextLong(1_000_000);
            changes.add(new ShareChange(death, "n3", 0));
            changes.add(new ShareChange(death + 100, "n0", 0.5));
            assertEquals(List.of(), ShareCheck.check(changes, 0, 0).breaches());
            List<ShareChange> overlapping = new ArrayList<>(changes);
            overlapping.add(new ShareChange(death + 5000, "n3", 0.25));
            overlapping.add(new ShareChange(death + 5000 + 3_000_000, "n0", 0.25));
            assertEquals(1, ShareCheck.check(overlapping, 0, 0).breaches().size());
            assertEquals(1, ShareCheck.check(overlapping, 0.1, 2_000_000).breaches().size());
            assertEquals(List.of(), ShareCheck.check(overlapping, 0.1, 3_000_000).breaches());
            assertEquals(List.of(), ShareCheck.check(overlapping, 0.25, 0).breaches());
        }
    }

    @Test
    public void detectsStartDuringMaintenanceOfCalendarInForce() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<CalendarVersion> versions =
                    List.of(
                            new CalendarVersion("hall", 0, List.of(new Span(100_000, 200_000))),
                            new CalendarVersion(
                                    "hall",
                                    500_000,
                                    List.of(
                                            new Span(600_000, 700_000),
                                            new Span(150_000, 160_000))));
            List<StartedJob> valid =
                    List.of(
                            new StartedJob(99_999, "hall", "a"),
                            new StartedJob(200_000, "hall", "b"),
                            new StartedJob(150_000, "other", "c"),
                            new StartedJob(599_999, "hall", "d"));
            assertEquals(List.of(), WindowCheck.check(versions, valid, 0));
            List<StartedJob> invalid = new ArrayList<>(valid);
            invalid.add(
                    new StartedJob(
                            (random.nextBoolean() ? 100_000 : 600_000) + random.nextLong(100_000),
                            "hall",
                            "x"));
            assertEquals(
                    List.of("x"),
                    WindowCheck.check(versions, invalid, 0).stream().map(Breach::who).toList());
        }
    }

    @Test
    public void detectsJobSentToWorkerInMaintenance() {
        List<WorkerMaintenanceCheck.StatusChange> statusChanges =
                List.of(
                        new WorkerMaintenanceCheck.StatusChange(1000, "w", true),
                        new WorkerMaintenanceCheck.StatusChange(9000, "w", false));
        List<WorkerMaintenanceCheck.Sent> sent =
                List.of(
                        new WorkerMaintenanceCheck.Sent(900, "n1", "w", "a"),
                        new WorkerMaintenanceCheck.Sent(1100, "n1", "w", "b"),
                        new WorkerMaintenanceCheck.Sent(5000, "n1", "v", "c"),
                        new WorkerMaintenanceCheck.Sent(9001, "n1", "w", "d"));
        assertEquals(List.of(), WorkerMaintenanceCheck.check(statusChanges, sent, 200));
        List<WorkerMaintenanceCheck.Sent> invalid = new ArrayList<>(sent);
        invalid.add(new WorkerMaintenanceCheck.Sent(8999, "n2", "w", "x"));
        assertEquals(
                List.of("x"),
                WorkerMaintenanceCheck.check(statusChanges, invalid, 200).stream()
                        .map(Breach::who)
                        .toList());
    }

    @Test
    public void detectsForkLossDuplicateAndRegressingView() {
        List<Applied> applied = new ArrayList<>();
        for (int n = 0; n < 3; n++) {
            for (int i = 1; i <= 50; i++) {
                applied.add(new Applied("n" + n, 1, 0, i, "d" + i));
            }
        }
        assertEquals(List.of(), LogCheck.agreement(applied));
        for (int seed = 0; seed < SEEDS; seed++) {
            List<Applied> forked = new ArrayList<>(applied);
            int at = 50 + new SplittableRandom(seed).nextInt(100);
            Applied original = forked.get(at);
            forked.set(at, new Applied(original.process(), 1, 0, original.index(), "other"));
            assertEquals("seed " + seed, 1, LogCheck.agreement(forked).size());
        }
        List<LogCheck.Acknowledged> acknowledged =
                List.of(new LogCheck.Acknowledged("a", 0, 1), new LogCheck.Acknowledged("b", 0, 2));
        assertEquals(List.of(), LogCheck.durability(acknowledged, Map.of("a", 1L, "b", 1L)));
        assertEquals(
                List.of("lost", "twice"),
                LogCheck.durability(acknowledged, Map.of("b", 2L)).stream()
                        .map(Breach::what)
                        .toList());
        LogCheck.ObservedView first = new LogCheck.ObservedView("n", 1, 0, 9);
        assertEquals(
                1,
                LogCheck.monotonicViews(List.of(first, new LogCheck.ObservedView("n", 1, 0, 8)))
                        .size());
        assertEquals(
                0,
                LogCheck.monotonicViews(
                                List.of(
                                        first,
                                        new LogCheck.ObservedView("n", 2, 0, 8),
                                        new LogCheck.ObservedView("n", 2, 1, 1)))
                        .size());
    }
}
