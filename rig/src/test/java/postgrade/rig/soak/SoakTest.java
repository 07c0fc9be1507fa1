package postgrade.rig.soak;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import postgrade.rig.KeptFolder;

/**
 * A short soak: seeds that between them have each kind of fault often, all signals and a crowd of
 * idle clients. {@code bench/soak} runs more, and judges times more exactly.
 */
public class SoakTest {

    @Rule public final KeptFolder folder = new KeptFolder("soak");

    private void assertRulesHold(long seed) throws Exception {
        SoakResult result = Soak.run(seed, SoakLimits.LENIENT, folder.path());
        assertEquals(List.of(), result.violations());
        assertTrue(result.summary(), result.isClean());
    }

    /** Resets within messages, lost answers, repeated answers; kills and reloads. */
    @Test
    public void seed1() throws Exception {
        assertRulesHold(1);
    }

    /** Resets before and after requests and answers, jobs that come late; restarts. */
    @Test
    public void seed2() throws Exception {
        assertRulesHold(2);
    }

    /** Cancellations that overtake their jobs; restarts beside idle clients. */
    @Test
    public void seed6() throws Exception {
        assertRulesHold(6);
    }

    /** Answers of earlier exchanges and late ones; kills and restarts. */
    @Test
    public void seed7() throws Exception {
        assertRulesHold(7);
    }
}
