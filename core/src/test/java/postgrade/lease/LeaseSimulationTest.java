package postgrade.lease;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/**
 * Runs the simulation over many seeds of faults, and shows that each mechanism is needed: without
 * it some seeds fail.
 */
public class LeaseSimulationTest {

    private static final LeaseTimes TIMES = LeaseTimes.DEFAULT;
    private static final int SEEDS = Integer.getInteger("postgrade.seeds", 60);

    private static int countFailingSeeds(int seeds, LeaseTimes logTimes) {
        int failing = 0;
        for (int seed = 0; seed < seeds; seed++) {
            LeaseSimulation simulation = new LeaseSimulation(seed, logTimes, TIMES);
            simulation.run(60);
            failing += simulation.violations.isEmpty() ? 0 : 1;
        }
        return failing;
    }

    @Test
    public void noAcceleratorIsUsedForTwoHoldersAndNoGrantExpiresEarly() {
        long grants = 0;
        long expiries = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            LeaseSimulation simulation = new LeaseSimulation(seed, TIMES, TIMES);
            simulation.run(60);
            assertEquals("seed " + seed, List.of(), simulation.violations);
            grants += simulation.grants;
            expiries += simulation.expiries;
        }
        assertTrue(grants + " grants", grants > 4L * SEEDS);
        assertTrue(expiries + " expiries", expiries > 2L * SEEDS);
    }

    @Test
    public void seedsFailWithoutGracePeriod() {
        assertTrue(countFailingSeeds(20, new LeaseTimes(100_000, 50_000, 1.03, 0)) > 10);
    }

    @Test
    public void seedsFailWhenCommitDelayIsLeftOutOfInequality() {
        assertTrue(countFailingSeeds(100, new LeaseTimes(1_545_000, 1_500_000, 1.03, 0)) > 0);
    }
}
