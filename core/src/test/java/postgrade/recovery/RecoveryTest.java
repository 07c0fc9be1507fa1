package postgrade.recovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import postgrade.recovery.Recovery.Bounds;
import postgrade.recovery.Recovery.Observation;

/** The phases of coming back, and what counts as full service. */
public class RecoveryTest {

    private static final Bounds BOUNDS = new Bounds(1_000_000, 5_000_000, 500_000);
    private final Recovery recovery = new Recovery(0, BOUNDS);

    private static Observation seen(boolean list, long viewAge, double admitted, double served) {
        return new Observation(true, list, viewAge, viewAge < 1_000_000, admitted, served, 0.8);
    }

    private RecoveryPhase look(long micros, Observation seen) {
        return recovery.update(micros, seen);
    }

    @Test
    public void phasesArePassedOneByOneAndKeptWithTheirTimes() {
        assertEquals(
                RecoveryPhase.EMPTY,
                look(
                        1,
                        new Observation(
                                false, false, Long.MAX_VALUE, false, 0, Double.NaN, Double.NaN)));
        assertEquals(RecoveryPhase.REMEMBERING, look(2, seen(false, Long.MAX_VALUE, 0, 0)));
        assertEquals(RecoveryPhase.CATCHING_UP, look(3, seen(true, Long.MAX_VALUE, 0, 0)));
        assertEquals(RecoveryPhase.RAMPING, look(4, seen(true, 900_000, 0.1, 0)));
        assertEquals(
                "the ramp is over, but less is served",
                RecoveryPhase.RAMPING,
                look(600_000, seen(true, 0, 1, 0.75)));
        assertEquals(RecoveryPhase.RAMPING, look(600_001, seen(true, 0, 1, 0.77)));
        assertEquals(
                "not for long enough",
                RecoveryPhase.RAMPING,
                look(1_000_000, seen(true, 0, 1, 0.77)));
        assertEquals(RecoveryPhase.FULL, look(1_100_001, seen(true, 0, 1, 0.77)));
        assertEquals(
                List.of("empty", "remembering", "catching up", "ramping", "full"),
                recovery.steps().stream().map(s -> s.phase().text()).toList());
        assertEquals(1_100_001, recovery.steps().get(4).atMicros());
    }

    @Test
    public void aProcessWithoutWordFromTheQuorumServesAllTheSame() {
        look(0, seen(true, Long.MAX_VALUE, 0, 0));
        assertEquals(RecoveryPhase.CATCHING_UP, look(4_999_999, seen(true, Long.MAX_VALUE, 0, 0)));
        assertEquals(RecoveryPhase.RAMPING, look(5_000_000, seen(true, Long.MAX_VALUE, 0, 0)));
    }

    @Test
    public void oneThatServedFullyRampsAgainOnlyAfterAFault() {
        look(0, seen(true, 0, 1, 0.8));
        assertEquals(RecoveryPhase.FULL, look(500_000, seen(true, 0, 1, 0.8)));
        assertEquals(
                "a bad moment is no fault",
                RecoveryPhase.FULL,
                look(600_000, seen(true, 0, 1, 0.5)));
        recovery.recordFault();
        assertEquals(RecoveryPhase.RAMPING, look(700_000, seen(true, 0, 1, 0.5)));
    }

    @Test
    public void worthBeforeAFaultIsWhatIsMeasuredAgainst() {
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
