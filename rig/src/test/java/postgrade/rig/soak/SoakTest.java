package postgrade.rig.soak;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import postgrade.rig.KeptFolder;

/**
 * A short soak whose seeds together inject every kind of fault frequently, all signals and many
 * idle clients. A full soak runs more seeds and applies stricter time limits.
 */
public class SoakTest {

    @Rule public final KeptFolder folder = new KeptFolder("soak");

    private void assertRulesHold(long seed) throws Exception {
        SoakResult result = Soak.run(seed, SoakLimits.LENIENT, folder.path());
        assertEquals(List.of(), result.violations());
        assertTrue(result.summary(), result.isClean());
    }

    /** Resets within messages, lost answers and repeated answers; kills and reloads. */
    @Test
    public void seed1() throws Exception {
        assertRulesHold(1);
    }

    /** Resets before and after requests and answers, and delayed jobs; restarts. */
    @Test
    public void seed2() throws Exception {
        assertRulesHold(2);
    }

    /** Cancellations that overtake their jobs; restarts while idle clients are connected. */
    @Test
    public void seed6() throws Exception {
        assertRulesHold(6);
    }

    /** Stale answers of earlier exchanges and delayed answers; kills and restarts. */
    @Test
    public void seed7() throws Exception {
        assertRulesHold(7);
    }
}
