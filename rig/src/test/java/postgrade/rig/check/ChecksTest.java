package postgrade.rig.check;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.Test;
import postgrade.rig.check.LogCheck.Applied;
import postgrade.rig.check.RateCheck.Limit;
import postgrade.rig.check.RateCheck.Taken;
import postgrade.rig.check.ShareCheck.Took;
import postgrade.rig.check.WindowCheck.Span;
import postgrade.rig.check.WindowCheck.Started;
import postgrade.rig.check.WindowCheck.Version;

/**
 * Each checker passes a clean history, and finds a violation put into it at a place that a seed
 * names.
 */
public class ChecksTest {

    private static final int SEEDS = 200;

    @Test
    public void moreThanTheRateOverAllProcessesIsFound() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Taken> taken = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                taken.add(new Taken(i * 100_000L, "n" + i % 5, "t"));
            }
            Map<String, Limit> limits = Map.of("t", new Limit(10, 6));
            assertEquals(List.of(), RateCheck.judge(taken, limits).breaches());
            long at = random.nextLong(50_000_000);
            for (int i = 0; i < 6; i++) {
                taken.add(new Taken(at + i * 1000, "n" + random.nextInt(5), "t"));
            }
            assertTrue("seed " + seed, !RateCheck.judge(taken, limits).breaches().isEmpty());
        }
    }

    @Test
    public void aDoubledShareIsFoundOnceItLastsTooLong() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Took> took = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                took.add(new Took(i, "n" + i, 0.25));
            }
            long death = 10_000_000 + random.nextLong(1_000_000);
            took.add(new Took(death, "n3", 0));
            took.add(new Took(death + 100, "n0", 0.5));
            assertEquals(List.of(), ShareCheck.judge(took, 0, 0).breaches());
            List<Took> bad = new ArrayList<>(took);
            bad.add(new Took(death + 5000, "n3", 0.25));
            bad.add(new Took(death + 5000 + 3_000_000, "n0", 0.25));
            assertEquals(1, ShareCheck.judge(bad, 0, 0).breaches().size());
            assertEquals(1, ShareCheck.judge(bad, 0.1, 2_000_000).breaches().size());
            assertEquals(List.of(), ShareCheck.judge(bad, 0.1, 3_000_000).breaches());
            assertEquals(List.of(), ShareCheck.judge(bad, 0.25, 0).breaches());
        }
    }

    @Test
    public void aStartInsideMaintenanceByTheVersionInForceIsFound() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Version> versions =
                    List.of(
                            new Version("hall", 0, List.of(new Span(100_000, 200_000))),
                            new Version(
                                    "hall",
                                    500_000,
                                    List.of(
                                            new Span(600_000, 700_000),
                                            new Span(150_000, 160_000))));
            List<Started> fine =
                    List.of(
                            new Started(99_999, "hall", "a"),
                            new Started(200_000, "hall", "b"),
                            new Started(150_000, "other", "c"),
                            new Started(599_999, "hall", "d"));
            assertEquals(List.of(), WindowCheck.judge(versions, fine, 0));
            List<Started> bad = new ArrayList<>(fine);
            bad.add(
                    new Started(
                            (random.nextBoolean() ? 100_000 : 600_000) + random.nextLong(100_000),
                            "hall",
                            "x"));
            assertEquals(
                    List.of("x"),
                    WindowCheck.judge(versions, bad, 0).stream().map(Breach::who).toList());
        }
    }

    @Test
    public void aSendToAWorkerTakenOutIsFound() {
        List<OutCheck.Told> told =
                List.of(new OutCheck.Told(1000, "w", true), new OutCheck.Told(9000, "w", false));
        List<OutCheck.Sent> sent =
                List.of(
                        new OutCheck.Sent(900, "n1", "w", "a"),
                        new OutCheck.Sent(1100, "n1", "w", "b"),
                        new OutCheck.Sent(5000, "n1", "v", "c"),
                        new OutCheck.Sent(9001, "n1", "w", "d"));
        assertEquals(List.of(), OutCheck.judge(told, sent, 200));
        List<OutCheck.Sent> bad = new ArrayList<>(sent);
        bad.add(new OutCheck.Sent(8999, "n2", "w", "x"));
        assertEquals(
                List.of("x"), OutCheck.judge(told, bad, 200).stream().map(Breach::who).toList());
    }

    @Test
    public void aForkALossADoubleAndAStepBackAreFound() {
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
            Applied was = forked.get(at);
            forked.set(at, new Applied(was.process(), 1, 0, was.index(), "other"));
            assertEquals("seed " + seed, 1, LogCheck.agreement(forked).size());
        }
        List<LogCheck.Told> told =
                List.of(new LogCheck.Told("a", 0, 1), new LogCheck.Told("b", 0, 2));
        assertEquals(List.of(), LogCheck.durable(told, Map.of("a", 1L, "b", 1L)));
        assertEquals(
                List.of("lost", "twice"),
                LogCheck.durable(told, Map.of("b", 2L)).stream().map(Breach::what).toList());
        LogCheck.Viewed first = new LogCheck.Viewed("n", 1, 0, 9);
        assertEquals(1, LogCheck.forward(List.of(first, new LogCheck.Viewed("n", 1, 0, 8))).size());
        assertEquals(
                0,
                LogCheck.forward(
                                List.of(
                                        first,
                                        new LogCheck.Viewed("n", 2, 0, 8),
                                        new LogCheck.Viewed("n", 2, 1, 1)))
                        .size());
    }
}
