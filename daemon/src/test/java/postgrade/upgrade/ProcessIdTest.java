package postgrade.upgrade;

import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Which of two processes of one dispatcher is the later one. */
public class ProcessIdTest {

    private static final long HOUR_NS = 3_600_000_000_000L;

    @Test
    public void theLaterProcessComesLaterWhateverTheWallClockSaysMeanwhile() {
        assertTrue(
                Upgrade.processId(HOUR_NS, 900).compareTo(Upgrade.processId(HOUR_NS + 1_000_000, 5))
                        < 0);
        assertTrue(
                "of one millisecond",
                Upgrade.processId(HOUR_NS, 5).compareTo(Upgrade.processId(HOUR_NS, 900)) < 0);
    }

    @Test
    public void aProcessOfAnEarlierVersionComesBeforeOneOfOurs() {
        String earlier = String.format("%015d-%010d", System.currentTimeMillis(), 7);
        assertTrue(earlier.compareTo(Upgrade.processId(1_000_000, 5)) < 0);
    }
}
