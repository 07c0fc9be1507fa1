package postgrade.upgrade;

import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** The order of the ids of two processes of one dispatcher. */
public class ProcessIdTest {

    private static final long HOUR_NS = 3_600_000_000_000L;

    @Test
    public void aLaterProcessSortsLaterRegardlessOfTheWallClock() {
        assertTrue(
                UpgradeCoordinator.processId(HOUR_NS, 900)
                                .compareTo(UpgradeCoordinator.processId(HOUR_NS + 1_000_000, 5))
                        < 0);
        assertTrue(
                "within one millisecond",
                UpgradeCoordinator.processId(HOUR_NS, 5)
                                .compareTo(UpgradeCoordinator.processId(HOUR_NS, 900))
                        < 0);
    }

    @Test
    public void aProcessOfAnEarlierVersionSortsFirst() {
        String earlier = String.format("%015d-%010d", System.currentTimeMillis(), 7);
        assertTrue(earlier.compareTo(UpgradeCoordinator.processId(1_000_000, 5)) < 0);
    }
}
