package postgrade.comeback;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import postgrade.comeback.Stampede.Kind;
import postgrade.comeback.Stampede.Steady;

/** When most come back at once: others are not overrun, and callers do not return together. */
public class StampedeTest {

    private static final Steady STEADY = new Steady(10, 40, 5, 2, 8);
    private static final int PLACES = 20;

    /** The most within any second over all that are there from the start, and how many in all. */
    private static int[] peak(Kind kind, int there, int alive, String worker, long forMicros) {
        List<Long> times = new ArrayList<>();
        for (int place = 0; place < there; place++) {
            Gate gate = new Stampede(STEADY, 2, PLACES, place).gate(0, kind, alive, worker);
            for (long t = 0; t < forMicros; t += 1000) {
                if (gate.take(t)) {
                    times.add(t);
                }
            }
        }
        int most = 0;
        for (long from : times) {
            most =
                    Math.max(
                            most,
                            (int)
                                    times.stream()
                                            .filter(t -> t >= from && t < from + 1_000_000)
                                            .count());
        }
        return new int[] {most, times.size()};
    }

    @Test
    public void allTogetherStayWithinTheMultipleInEverySecond() {
        for (Kind kind : Kind.values()) {
            for (String worker : List.of("", "w1", "w2")) {
                int[] peak = peak(kind, PLACES, 0, worker, 10_000_000);
                double steady = new Stampede(STEADY, 2, PLACES, 0).steady().of(kind);
                assertTrue(kind + " " + peak[0], peak[0] <= 2 * steady + 1);
                assertTrue(kind + " goes on", peak[1] >= 2 * steady * 10 - PLACES);
            }
        }
    }

    @Test
    public void fewerThatLiveMayEachDoMore() {
        assertTrue(
                peak(Kind.PULL, 5, 5, "", 5_000_000)[1]
                        > 3 * peak(Kind.PULL, 5, 20, "", 5_000_000)[1]);
        assertEquals(4, new Stampede(STEADY, 2, PLACES, 0).perSecond(Kind.PULL, 0), 0);
        assertEquals(16, new Stampede(STEADY, 2, PLACES, 0).perSecond(Kind.PULL, 5), 0);
    }

    @Test
    public void aGateTellsWhenItOpens() {
        Gate gate = new Gate(0, 2, 0.5);
        assertEquals(250_000, gate.waitMicros(0));
        assertTrue(gate.take(250_000));
        assertEquals(500_000, gate.waitMicros(250_000));
        gate.pace(250_000, 4);
        assertEquals(250_000, gate.waitMicros(250_000));
        gate.pace(250_000, 0);
        assertEquals(Long.MAX_VALUE, gate.waitMicros(300_000));
    }

    @Test
    public void admissionGrowsAsWorkersTakeAndGoesBackWhenTheyAreFull() {
        Ramp ramp = new Ramp(0, 0.1);
        assertEquals(0.1, ramp.part(0), 0);
        assertEquals("nothing was sent, so nothing is known", 0.1, ramp.part(500_000), 0);
        long t = 500_000;
        for (; ramp.part(t) < 0.5; t += 100_000) {
            ramp.answered(false);
        }
        double before = ramp.part(t);
        ramp.answered(true);
        ramp.answered(false);
        assertTrue(ramp.part(t + 100_000) < before);
        for (t += 200_000; ramp.part(t) < 1; t += 100_000) {
            ramp.answered(false);
        }
        assertTrue("t " + t, t < 3_000_000);
        ramp.answered(true);
        assertEquals(1, ramp.part(t + 500_000), 0);
    }

    @Test
    public void aPartOfTheJobsIsAdmittedByTheirIds() {
        Ramp ramp = new Ramp(0, 0.3);
        int admitted = 0;
        for (int i = 0; i < 10_000; i++) {
            admitted += ramp.admits(0, Integer.toHexString(i * 7919)) ? 1 : 0;
        }
        assertEquals(3000, admitted, 150);
    }

    @Test
    public void refusedCallersComeBackSpreadOverWhatCanBeTakenIn() {
        long width = Returning.widthMicros(5000, 1000);
        assertEquals(5_000_000, width);
        int[] perSecond = new int[6];
        for (int i = 0; i < 5000; i++) {
            long after = Returning.afterMicros("id" + i, 7, 500_000, width, 10_000_000);
            assertEquals(after, Returning.afterMicros("id" + i, 7, 500_000, width, 10_000_000));
            perSecond[(int) ((after - 500_000) / 1_000_000)]++;
        }
        for (int second = 0; second < 5; second++) {
            assertEquals(1000, perSecond[second], 120);
        }
        assertEquals(0, perSecond[5]);
        assertTrue(
                Returning.afterMicros("x", 7, 20_000_000, Long.MAX_VALUE, 1_000_000) <= 1_000_000);
    }

    /**
     * A hundred a second come, a process may take 150: those turned away have the 50 left over to
     * come back within.
     */
    @Test
    public void thoseTurnedAwayComeBackOverWhatIsLeftBesideWhatComesAnyway() {
        Crowd crowd = new Crowd();
        for (long t = 0; t < 5_000_000; t += 10_000) {
            crowd.asked(t, t % 20_000 == 0);
        }
        assertEquals(1e6, crowd.widthMicros(150), 0.05e6);
        assertEquals("more that is left, sooner", 0.25e6, crowd.widthMicros(300), 0.02e6);
        assertEquals("a tenth is taken as left at least", 5e6, crowd.widthMicros(100), 0.2e6);
        crowd.asked(20_000_000, true);
        assertTrue("forgotten by then", crowd.widthMicros(150) < 20_000);
    }
}
