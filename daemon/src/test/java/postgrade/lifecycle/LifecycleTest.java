package postgrade.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.OptionalLong;
import org.junit.Before;
import org.junit.Test;
import postgrade.lifecycle.Lifecycle.State;

public class LifecycleTest {

    private static final long SECOND = 1_000_000;
    private static final long BEGIN = 100 * SECOND;
    private final Lifecycle lifecycle = new Lifecycle();

    @Before
    public void start() {
        assertFalse("not ready before it listens", lifecycle.isReady());
        lifecycle.markStarted();
        assertTrue(lifecycle.isReady());
        assertFalse(
                lifecycle.closesIdleConnections(BEGIN)
                        || lifecycle.closesAfterAnswer(BEGIN)
                        || lifecycle.mayExit(BEGIN));
    }

    @Test
    public void standbyClosesConnectionsAfterReadinessHasPropagatedAndIsEmptyBefore4s() {
        lifecycle.enterStandby(BEGIN);
        assertFalse(lifecycle.isReady());
        assertTrue("call-backs still arrive", lifecycle.acceptsConnections());
        assertFalse(
                "the load balancer sends clients for 0.3 s more",
                lifecycle.closesAfterAnswer(BEGIN + 3 * SECOND / 10));
        assertTrue(lifecycle.closesAfterAnswer(BEGIN + 4 * SECOND / 10));
        assertTrue(lifecycle.closesIdleConnections(BEGIN + SECOND));
        assertEquals(OptionalLong.empty(), lifecycle.forcedAnswerCutoff(BEGIN + 3 * SECOND));
        assertTrue(
                "4 s after the call none of the jobs of the last 2 s is held",
                lifecycle.forcedAnswerCutoff(BEGIN + 39 * SECOND / 10).getAsLong()
                        <= BEGIN + 2 * SECOND);
        assertFalse("standby does not exit", lifecycle.mayExit(BEGIN + 60 * SECOND));
        lifecycle.enterStandby(BEGIN + 3 * SECOND);
        assertTrue(
                "told again, the first call's time counts",
                lifecycle.closesIdleConnections(BEGIN + 3 * SECOND));
        assertTrue(lifecycle.leaveStandby());
        assertTrue(lifecycle.isReady());
        assertFalse(lifecycle.closesIdleConnections(BEGIN + 60 * SECOND));
    }

    @Test
    public void stopKeepsServingUntilShortlyBeforeSigkill() {
        lifecycle.stop(BEGIN, 10 * SECOND, false);
        assertEquals(State.STOPPING, lifecycle.state());
        assertFalse(lifecycle.isReady());
        assertFalse(lifecycle.leaveStandby());
        assertFalse(lifecycle.closesIdleConnections(BEGIN + 2 * SECOND));
        assertTrue(
                lifecycle.closesIdleConnections(BEGIN + 24 * SECOND / 10)
                        && lifecycle.mayExit(BEGIN + 24 * SECOND / 10));
        assertEquals(
                BEGIN + 7 * SECOND / 10,
                lifecycle.forcedAnswerCutoff(BEGIN + 35 * SECOND / 10).getAsLong());
        Lifecycle shortDeadline = new Lifecycle();
        shortDeadline.stop(BEGIN, 2 * SECOND, false);
        assertTrue(
                "SIGKILL follows a shorter deadline sooner",
                shortDeadline.closesIdleConnections(BEGIN + 14 * SECOND / 10));
        Lifecycle veryShortDeadline = new Lifecycle();
        veryShortDeadline.stop(BEGIN, 3 * SECOND / 10, false);
        assertFalse(
                "new connections still arrive",
                veryShortDeadline.closesIdleConnections(BEGIN + 4 * SECOND / 10)
                        || veryShortDeadline.mayExit(BEGIN + 4 * SECOND / 10));
        assertTrue(veryShortDeadline.mayExit(BEGIN + 5 * SECOND / 10));
        assertEquals(
                "in time before SIGKILL",
                BEGIN + 7 * SECOND / 10,
                veryShortDeadline.forcedAnswerCutoff(BEGIN + 7 * SECOND / 10).getAsLong());
    }

    @Test
    public void closingCannotBeUndoneAndExitsBeforeSigkill() {
        lifecycle.stop(BEGIN, 10 * SECOND, true);
        lifecycle.beginClosing();
        lifecycle.setSuccessor(false);
        assertEquals(State.CLOSING, lifecycle.state());
        assertFalse(
                lifecycle.acceptsConnections() || lifecycle.isReady() || lifecycle.leaveStandby());
        assertFalse(lifecycle.mustExit(BEGIN + 36 * SECOND / 10));
        assertTrue(lifecycle.mustExit(BEGIN + 37 * SECOND / 10));
    }

    @Test
    public void stopInStandbyAppliesBothSchedules() {
        lifecycle.enterStandby(BEGIN);
        lifecycle.stop(BEGIN + SECOND, 10 * SECOND, false);
        assertEquals(State.STOPPING, lifecycle.state());
        assertTrue(lifecycle.closesIdleConnections(BEGIN + SECOND));
        assertTrue(lifecycle.mayExit(BEGIN + SECOND));
        assertEquals(
                BEGIN + 17 * SECOND / 10,
                lifecycle.forcedAnswerCutoff(BEGIN + SECOND + 35 * SECOND / 10).getAsLong());
    }

    @Test
    public void withSuccessorThePairStaysReadyAndThisProcessStopsAccepting() {
        lifecycle.stop(BEGIN, 10 * SECOND, true);
        assertEquals(State.HANDING_OVER, lifecycle.state());
        assertTrue(lifecycle.isReady());
        assertFalse(lifecycle.acceptsConnections());
        assertTrue(lifecycle.closesAfterAnswer(BEGIN));
        assertFalse(lifecycle.closesIdleConnections(BEGIN + SECOND / 2));
        assertTrue(lifecycle.mayExit(BEGIN + SECOND));
        lifecycle.setSuccessor(false);
        assertEquals(State.STOPPING, lifecycle.state());
        assertTrue(lifecycle.acceptsConnections());
        assertFalse(lifecycle.isReady());
    }
}
