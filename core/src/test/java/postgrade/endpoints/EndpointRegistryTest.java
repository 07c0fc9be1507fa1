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

    private final EndpointRegistry registry = new EndpointRegistry();

    private static WorkerInfo worker(String id, WorkerPhase phase, long startedNs) {
        return new WorkerInfo(id, "a", "m", 0, phase, 1, startedNs);
    }

    private WorkerPhase updateAndGetPhase(boolean complete, WorkerPhase phase, long startedNs) {
        return registry.update(complete, List.of(worker("w", phase, startedNs))).get(0).phase();
    }

    @Test
    public void disabledWorkerDrainsWhateverDiscoveryLists() {
        assertEquals(WorkerPhase.READY, updateAndGetPhase(true, WorkerPhase.READY, 0));
        assertTrue(registry.disable(10, "w"));
        assertFalse("disabling twice has no further effect", registry.disable(20, "w"));
        assertEquals(WorkerPhase.DRAINING, registry.worker("w").phase());
        assertEquals(WorkerPhase.DRAINING, updateAndGetPhase(true, WorkerPhase.READY, 0));
        assertEquals(WorkerPhase.GONE, updateAndGetPhase(false, WorkerPhase.GONE, 0));
        assertNull(registry.worker("w"));
        assertTrue("known although not listed", registry.knows("w"));
        assertEquals(WorkerPhase.DRAINING, updateAndGetPhase(false, WorkerPhase.READY, 15));
        assertTrue(registry.enable(30, "w"));
        assertEquals(WorkerPhase.READY, registry.worker("w").phase());
        assertFalse(registry.enable(40, "w"));
        assertFalse(registry.knows("x"));
    }

    @Test
    public void enablingDoesNotOverrideDrainFromDiscovery() {
        updateAndGetPhase(true, WorkerPhase.DRAINING, 0);
        registry.disable(10, "w");
        registry.enable(20, "w");
        assertEquals(WorkerPhase.DRAINING, registry.worker("w").phase());
    }

    @Test
    public void reenabledWorkerStartsAtEnablingUnlessListHasLaterStart() {
        updateAndGetPhase(true, WorkerPhase.READY, 5);
        registry.disable(10, "w");
        registry.enable(30, "w");
        assertEquals(
                "the list has not reported its start yet", 30, registry.worker("w").startedNs());
        updateAndGetPhase(true, WorkerPhase.READY, 5);
        assertEquals(
                "an old list does not restore the earlier start",
                30,
                registry.worker("w").startedNs());
        updateAndGetPhase(true, WorkerPhase.READY, 22);
        assertEquals("the listed start", 22, registry.worker("w").startedNs());
        registry.disable(40, "w");
        registry.enable(50, "w");
        assertEquals(50, registry.worker("w").startedNs());
    }
}
