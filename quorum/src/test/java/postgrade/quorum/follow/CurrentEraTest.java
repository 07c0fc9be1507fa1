package postgrade.quorum.follow;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import postgrade.quorum.engine.FaultStatus;

public class CurrentEraTest {

    @Test
    public void earlierEraIsRejected() {
        FaultStatus faultStatus = new FaultStatus("o");
        CurrentEra currentEra = new CurrentEra(faultStatus);
        assertTrue(currentEra.accept("a", "1-aa"));
        assertTrue(currentEra.accept("b", "2-bb"));
        assertFalse(currentEra.accept("a", "1-aa"));
        assertEquals("a is still in era 1, era 2 has begun", faultStatus.current());
        assertEquals(2, currentEra.era());
    }

    @Test
    public void otherLogOfSameEraIsRejected() {
        FaultStatus faultStatus = new FaultStatus("o");
        CurrentEra currentEra = new CurrentEra(faultStatus);
        assertTrue(currentEra.accept("a", "3-aa"));
        assertFalse(currentEra.accept("b", "3-bb"));
        assertEquals("two eras 3 at once: b is in another", faultStatus.current());
        assertFalse("a group without an era", currentEra.accept("c", ""));
        assertTrue(currentEra.accept("a", "3-aa"));
    }
}
