package postgrade.recovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import postgrade.recovery.Recovery.Bounds;
import postgrade.recovery.Recovery.Observation;

/** The phases of recovery, and what counts as full service. */
public class RecoveryTest {

    private static final Bounds BOUNDS = new Bounds(1_000_000, 5_000_000, 500_000);
    private final Recovery recovery = new Recovery(0, BOUNDS);

    private static Observation observation(
            boolean workersKnown, long viewAge, double admitted, double served) {
        return new Observation(
                true, workersKnown, viewAge, viewAge < 1_000_000, admitted, served, 0.8);
    }

    private RecoveryPhase update(long micros, Observation observation) {
        return recovery.update(micros, observation);
    }

    @Test
    public void phasesAdvanceOneByOneAndKeepTheirTimes() {
        assertEquals(
                RecoveryPhase.EMPTY,
                update(
                        1,
                        new Observation(
                                false, false, Long.MAX_VALUE, false, 0, Double.NaN, Double.NaN)));
        assertEquals(
                RecoveryPhase.REMEMBERING, update(2, observation(false, Long.MAX_VALUE, 0, 0)));
        assertEquals(RecoveryPhase.CATCHING_UP, update(3, observation(true, Long.MAX_VALUE, 0, 0)));
        assertEquals(RecoveryPhase.RAMPING, update(4, observation(true, 900_000, 0.1, 0)));
        assertEquals(
                "the ramp has finished, but less is served than before",
                RecoveryPhase.RAMPING,
                update(600_000, observation(true, 0, 1, 0.75)));
        assertEquals(RecoveryPhase.RAMPING, update(600_001, observation(true, 0, 1, 0.77)));
        assertEquals(
                "service is not yet full for long enough",
                RecoveryPhase.RAMPING,
                update(1_000_000, observation(true, 0, 1, 0.77)));
        assertEquals(RecoveryPhase.FULL, update(1_100_001, observation(true, 0, 1, 0.77)));
        assertEquals(
                List.of("empty", "remembering", "catching up", "ramping", "full"),
                recovery.steps().stream().map(s -> s.phase().text()).toList());
        assertEquals(1_100_001, recovery.steps().get(4).atMicros());
    }

    @Test
    public void processWithoutQuorumServesAfterTimeout() {
        update(0, observation(true, Long.MAX_VALUE, 0, 0));
        assertEquals(
                RecoveryPhase.CATCHING_UP,
                update(4_999_999, observation(true, Long.MAX_VALUE, 0, 0)));
        assertEquals(
                RecoveryPhase.RAMPING, update(5_000_000, observation(true, Long.MAX_VALUE, 0, 0)));
    }

    @Test
    public void fullProcessRampsAgainOnlyAfterFault() {
        update(0, observation(true, 0, 1, 0.8));
        assertEquals(RecoveryPhase.FULL, update(500_000, observation(true, 0, 1, 0.8)));
        assertEquals(
                "a short drop without a fault does not count",
                RecoveryPhase.FULL,
                update(600_000, observation(true, 0, 1, 0.5)));
        recovery.recordFault();
        assertEquals(RecoveryPhase.RAMPING, update(700_000, observation(true, 0, 1, 0.5)));
    }

    @Test
    public void servedWorthBeforeFaultIsTheBaseline() {
        ServedWorth worth = new ServedWorth(0);
        assertTrue(Double.isNaN(worth.recentShare(0)));
        for (long t = 0; t < 60_000_000; t += 10_000) {
            worth.add(t, 2, t / 10_000 % 5 != 0);
        }
        worth.recordFault(60_000_000);
        assertEquals(0.8, worth.baseline(), 0.01);
        for (long t = 60_000_000; t < 80_000_000; t += 10_000) {
            worth.add(t, 2, false);
        }
        worth.recordFault(80_000_000);
        assertEquals("counted from the first fault", 0.8, worth.baseline(), 0.01);
        assertEquals(0, worth.recentShare(80_000_000), 0.01);
    }
}
