package postgrade.recovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import postgrade.recovery.ThunderingHerdLimits.LoadKind;
import postgrade.recovery.ThunderingHerdLimits.SteadyRates;

/**
 * When most processes restart at once, others are not overloaded and clients do not all retry
 * together.
 */
public class ThunderingHerdTest {

    private static final SteadyRates STEADY = new SteadyRates(10, 40, 5, 2, 8);
    private static final int PROCESSES = 20;

    /** The maximum over any second for all processes that start together, and the total. */
    private static int[] peak(
            LoadKind kind, int processes, int alive, String worker, long durationMicros) {
        List<Long> times = new ArrayList<>();
        for (int index = 0; index < processes; index++) {
            Pacer pacer =
                    new ThunderingHerdLimits(STEADY, 2, PROCESSES, index)
                            .pacer(0, kind, alive, worker);
            for (long t = 0; t < durationMicros; t += 1000) {
                if (pacer.tryAcquire(t)) {
                    times.add(t);
                }
            }
        }
        int max = 0;
        for (long from : times) {
            max =
                    Math.max(
                            max,
                            (int)
                                    times.stream()
                                            .filter(t -> t >= from && t < from + 1_000_000)
                                            .count());
        }
        return new int[] {max, times.size()};
    }

    @Test
    public void totalRateStaysWithinMultipleInEverySecond() {
        for (LoadKind kind : LoadKind.values()) {
            for (String worker : List.of("", "w1", "w2")) {
                int[] peak = peak(kind, PROCESSES, 0, worker, 10_000_000);
                double steady = new ThunderingHerdLimits(STEADY, 2, PROCESSES, 0).steady().of(kind);
                assertTrue(kind + " " + peak[0], peak[0] <= 2 * steady + 1);
                assertTrue(kind + " continues at its rate", peak[1] >= 2 * steady * 10 - PROCESSES);
            }
        }
    }

    @Test
    public void fewerLiveProcessesMayEachDoMore() {
        assertTrue(
                peak(LoadKind.PULL, 5, 5, "", 5_000_000)[1]
                        > 3 * peak(LoadKind.PULL, 5, 20, "", 5_000_000)[1]);
        assertEquals(
                4,
                new ThunderingHerdLimits(STEADY, 2, PROCESSES, 0).perSecond(LoadKind.PULL, 0),
                0);
        assertEquals(
                16,
                new ThunderingHerdLimits(STEADY, 2, PROCESSES, 0).perSecond(LoadKind.PULL, 5),
                0);
    }

    @Test
    public void pacerReportsWaitUntilNextPermit() {
        Pacer pacer = new Pacer(0, 2, 0.5);
        assertEquals(250_000, pacer.waitMicros(0));
        assertTrue(pacer.tryAcquire(250_000));
        assertEquals(500_000, pacer.waitMicros(250_000));
        pacer.setRate(250_000, 4);
        assertEquals(250_000, pacer.waitMicros(250_000));
        pacer.setRate(250_000, 0);
        assertEquals(Long.MAX_VALUE, pacer.waitMicros(300_000));
    }

    @Test
    public void admissionGrowsAsWorkersAcceptAndShrinksWhenFull() {
        AdmissionRamp ramp = new AdmissionRamp(0, 0.1);
        assertEquals(0.1, ramp.admittedShare(0), 0);
        assertEquals("unchanged while no answers arrive", 0.1, ramp.admittedShare(500_000), 0);
        long t = 500_000;
        for (; ramp.admittedShare(t) < 0.5; t += 100_000) {
            ramp.recordAnswer(false);
        }
        double before = ramp.admittedShare(t);
        ramp.recordAnswer(true);
        ramp.recordAnswer(false);
        assertTrue(ramp.admittedShare(t + 100_000) < before);
        for (t += 200_000; ramp.admittedShare(t) < 1; t += 100_000) {
            ramp.recordAnswer(false);
        }
        assertTrue("t " + t, t < 3_000_000);
        ramp.recordAnswer(true);
        assertEquals(1, ramp.admittedShare(t + 500_000), 0);
    }

    @Test
    public void admittedShareIsSelectedByRequestId() {
        AdmissionRamp ramp = new AdmissionRamp(0, 0.3);
        int admitted = 0;
        for (int i = 0; i < 10_000; i++) {
            admitted += ramp.admits(0, Integer.toHexString(i * 7919)) ? 1 : 0;
        }
        assertEquals(3000, admitted, 150);
    }

    @Test
    public void rejectedClientsRetrySpreadOverSpareCapacity() {
        long spread = RetryAfterSpread.spreadMicros(5000, 1000);
        assertEquals(5_000_000, spread);
        int[] perSecond = new int[6];
        for (int i = 0; i < 5000; i++) {
            long after =
                    RetryAfterSpread.retryAfterMicros("id" + i, 7, 500_000, spread, 10_000_000);
            assertEquals(
                    after,
                    RetryAfterSpread.retryAfterMicros("id" + i, 7, 500_000, spread, 10_000_000));
            perSecond[(int) ((after - 500_000) / 1_000_000)]++;
        }
        for (int second = 0; second < 5; second++) {
            assertEquals(1000, perSecond[second], 120);
        }
        assertEquals(0, perSecond[5]);
        assertTrue(
                RetryAfterSpread.retryAfterMicros("x", 7, 20_000_000, Long.MAX_VALUE, 1_000_000)
                        <= 1_000_000);
    }

    /**
     * With a hundred requests per second and a capacity of 150, rejected requests have the
     * remaining 50 per second to retry within.
     */
    @Test
    public void retrySpreadUsesCapacityLeftByOrdinaryDemand() {
        RecentDemand demand = new RecentDemand();
        for (long t = 0; t < 5_000_000; t += 10_000) {
            demand.recordRequest(t, t % 20_000 == 0);
        }
        assertEquals(1e6, demand.spreadMicros(150), 0.05e6);
        assertEquals(
                "more spare capacity, shorter spread", 0.25e6, demand.spreadMicros(300), 0.02e6);
        assertEquals("at least a tenth counts as spare", 5e6, demand.spreadMicros(100), 0.2e6);
        demand.recordRequest(20_000_000, true);
        assertTrue("old rejections have decayed", demand.spreadMicros(150) < 20_000);
    }
}
