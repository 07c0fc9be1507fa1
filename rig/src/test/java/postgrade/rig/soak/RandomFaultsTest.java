package postgrade.rig.soak;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.Test;
import postgrade.rig.jobs.ExchangeFault;
import postgrade.rig.jobs.ExchangeFault.Kind;
import postgrade.rig.jobs.FaultSelector.Exchange;

/** The fault that the soak selects for an exchange, and whether the fault was injected. */
public class RandomFaultsTest {

    private static final int REQUESTS = 1000;

    private static ExchangeFault select(RandomFaults faults, int request, boolean isJob) {
        return faults.select(new Exchange(0, "w1", "request-" + request, isJob, 0));
    }

    /** Guards against a soak in which no cancellation ever overtakes its job. */
    @Test
    public void cancellationOvertakesItsJobExactlyWhenTheJobIsHeld() {
        RandomFaults faults = new RandomFaults(7, Map.of(Kind.OVERTAKEN, 100.0));
        int held = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Kind jobFault = select(faults, i, true).kind();
            assertEquals(jobFault, select(faults, i, false).kind());
            held += jobFault == Kind.OVERTAKEN ? 1 : 0;
        }
        assertTrue("" + held, held > REQUESTS / 20);
    }

    /**
     * Guards against a run that counts as clean though its fault was selected and never injected.
     */
    @Test
    public void frequentlySelectedFaultCountsOnlyOnceInjected() {
        RandomFaults faults =
                new RandomFaults(7, Map.of(Kind.STALE_ANSWER, 50.0, Kind.LOST_ANSWER, 5.0));
        for (int i = 0; i < REQUESTS; i++) {
            select(faults, i, true);
        }
        assertEquals(List.of(Kind.STALE_ANSWER), faults.frequentButNotInjected());
        faults.faultInjected(Kind.STALE_ANSWER);
        assertEquals(List.of(), faults.frequentButNotInjected());
        assertEquals(Map.of(Kind.STALE_ANSWER, 1L), faults.counts());
    }

    /** Guards against a run that counts as clean though a signal was ignored. */
    @Test
    public void faultThatCouldNotBeInjectedMakesTheResultUnclean() {
        SoakResult result =
                new SoakResult(
                        SoakPlan.of(1),
                        1,
                        1,
                        1,
                        Map.of(),
                        List.of("HUP n1 @2.0: not heard"),
                        0,
                        List.of());
        assertTrue(result.summary(), !result.isClean());
        assertTrue(result.summary(), result.summary().contains("NOT CLEAN"));
        assertTrue(result.summary(), result.summary().contains("could not be put: HUP n1"));
    }
}
