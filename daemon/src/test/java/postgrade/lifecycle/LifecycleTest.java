package postgrade.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.OptionalLong;
import org.junit.Before;
import org.junit.Test;
import postgrade.lifecycle.Lifecycle.State;

public class LifecycleTest {

    private static final long S = 1_000_000;
    private static final long T = 100 * S;
    private final Lifecycle life = new Lifecycle();

    @Before
    public void start() {
        assertFalse("not before it listens", life.ready());
        life.started();
        assertTrue(life.ready());
        assertFalse(life.leaves(T) || life.endsConnections(T) || life.mayEnd(T));
    }

    @Test
    public void standbyLetsTheFrontFindOutThenTurnsConsumersAwayAndIsEmptyBefore4s() {
        life.standby(T);
        assertFalse(life.ready());
        assertTrue("call-backs come there", life.accepts());
        assertFalse("the front sends for 0.3 s more", life.endsConnections(T + 3 * S / 10));
        assertTrue(life.endsConnections(T + 4 * S / 10));
        assertTrue(life.leaves(T + S));
        assertEquals(OptionalLong.empty(), life.concludesSince(T + 3 * S));
        assertTrue(
                "4 s after the call none of the last 2 s is held",
                life.concludesSince(T + 39 * S / 10).getAsLong() <= T + 2 * S);
        assertFalse("it does not exit", life.mayEnd(T + 60 * S));
        life.standby(T + 3 * S);
        assertTrue("told again, the first call's time counts", life.leaves(T + 3 * S));
        assertTrue(life.active());
        assertTrue(life.ready());
        assertFalse(life.leaves(T + 60 * S));
    }

    @Test
    public void aStopServesOnUntilSigkillIsNear() {
        life.stop(T, 10 * S, false);
        assertEquals(State.STOPPING, life.state());
        assertFalse(life.ready());
        assertFalse(life.active());
        assertFalse(life.leaves(T + 2 * S));
        assertTrue(life.leaves(T + 24 * S / 10) && life.mayEnd(T + 24 * S / 10));
        assertEquals(T + 7 * S / 10, life.concludesSince(T + 35 * S / 10).getAsLong());
        Lifecycle brief = new Lifecycle();
        brief.stop(T, 2 * S, false);
        assertTrue("SIGKILL follows a shorter deadline sooner", brief.leaves(T + 14 * S / 10));
        Lifecycle briefest = new Lifecycle();
        briefest.stop(T, 3 * S / 10, false);
        assertFalse(
                "new connections still come",
                briefest.leaves(T + 4 * S / 10) || briefest.mayEnd(T + 4 * S / 10));
        assertTrue(briefest.mayEnd(T + 5 * S / 10));
        assertEquals(
                "in time before SIGKILL",
                T + 7 * S / 10,
                briefest.concludesSince(T + 7 * S / 10).getAsLong());
    }

    @Test
    public void onceItClosesNothingBringsItBackAndSigkillIsNotWaitedFor() {
        life.stop(T, 10 * S, true);
        life.closing();
        life.successor(false);
        assertEquals(State.CLOSING, life.state());
        assertFalse(life.accepts() || life.ready() || life.active());
        assertFalse(life.mustEnd(T + 36 * S / 10));
        assertTrue(life.mustEnd(T + 37 * S / 10));
    }

    @Test
    public void inStandbyAStopKeepsBothTimetables() {
        life.standby(T);
        life.stop(T + S, 10 * S, false);
        assertEquals(State.STOPPING, life.state());
        assertTrue(life.leaves(T + S));
        assertTrue(life.mayEnd(T + S));
        assertEquals(T + 17 * S / 10, life.concludesSince(T + S + 35 * S / 10).getAsLong());
    }

    @Test
    public void withASuccessorThePairStaysReadyAndThisProcessAcceptsNoMore() {
        life.stop(T, 10 * S, true);
        assertEquals(State.HANDING_OVER, life.state());
        assertTrue(life.ready());
        assertFalse(life.accepts());
        assertTrue(life.endsConnections(T));
        assertFalse(life.leaves(T + S / 2));
        assertTrue(life.mayEnd(T + S));
        life.successor(false);
        assertEquals(State.STOPPING, life.state());
        assertTrue(life.accepts());
        assertFalse(life.ready());
    }
}
