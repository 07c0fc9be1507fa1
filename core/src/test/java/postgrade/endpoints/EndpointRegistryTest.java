package postgrade.endpoints;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;

public class EndpointRegistryTest {

    private final EndpointRegistry roster = new EndpointRegistry();

    private static WorkerInfo worker(String id, WorkerPhase phase, long born) {
        return new WorkerInfo(id, "a", "m", 0, phase, 1, born);
    }

    private WorkerPhase told(boolean whole, WorkerPhase phase, long born) {
        return roster.update(whole, List.of(worker("w", phase, born))).get(0).phase();
    }

    @Test
    public void outHoldsThroughWhateverIsListed() {
        assertEquals(WorkerPhase.READY, told(true, WorkerPhase.READY, 0));
        assertTrue(roster.disable(10, "w"));
        assertFalse("twice is as once", roster.disable(20, "w"));
        assertEquals(WorkerPhase.DRAINING, roster.worker("w").phase());
        assertEquals(WorkerPhase.DRAINING, told(true, WorkerPhase.READY, 0));
        assertEquals(WorkerPhase.GONE, told(false, WorkerPhase.GONE, 0));
        assertNull(roster.worker("w"));
        assertTrue("still known, though no list names it", roster.knows("w"));
        assertEquals(WorkerPhase.DRAINING, told(false, WorkerPhase.READY, 15));
        assertTrue(roster.enable(30, "w"));
        assertEquals(WorkerPhase.READY, roster.worker("w").phase());
        assertFalse(roster.enable(40, "w"));
        assertFalse(roster.knows("x"));
    }

    @Test
    public void discoverysOwnDrainHoldsToo() {
        told(true, WorkerPhase.DRAINING, 0);
        roster.disable(10, "w");
        roster.enable(20, "w");
        assertEquals(WorkerPhase.DRAINING, roster.worker("w").phase());
    }

    @Test
    public void oneThatIsBackIsColdFromThenOnUnlessItsStartWasTold() {
        told(true, WorkerPhase.READY, 5);
        roster.disable(10, "w");
        roster.enable(30, "w");
        assertEquals("its start is not told yet", 30, roster.worker("w").startedNs());
        told(true, WorkerPhase.READY, 5);
        assertEquals("an old list does not make it warm", 30, roster.worker("w").startedNs());
        told(true, WorkerPhase.READY, 22);
        assertEquals("the true start", 22, roster.worker("w").startedNs());
        roster.disable(40, "w");
        roster.enable(50, "w");
        assertEquals(50, roster.worker("w").startedNs());
    }
}
