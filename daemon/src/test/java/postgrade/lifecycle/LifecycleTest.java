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
        assertFalse("not before it listens", life.isReady());
        life.markStarted();
        assertTrue(life.isReady());
        assertFalse(life.closesIdleConnections(T) || life.closesAfterAnswer(T) || life.mayExit(T));
    }

    @Test
    public void standbyLetsTheFrontFindOutThenTurnsConsumersAwayAndIsEmptyBefore4s() {
        life.enterStandby(T);
        assertFalse(life.isReady());
        assertTrue("call-backs come there", life.acceptsConnections());
        assertFalse("the front sends for 0.3 s more", life.closesAfterAnswer(T + 3 * S / 10));
        assertTrue(life.closesAfterAnswer(T + 4 * S / 10));
        assertTrue(life.closesIdleConnections(T + S));
        assertEquals(OptionalLong.empty(), life.forcedAnswerCutoff(T + 3 * S));
        assertTrue(
                "4 s after the call none of the last 2 s is held",
                life.forcedAnswerCutoff(T + 39 * S / 10).getAsLong() <= T + 2 * S);
        assertFalse("it does not exit", life.mayExit(T + 60 * S));
        life.enterStandby(T + 3 * S);
        assertTrue(
                "told again, the first call's time counts", life.closesIdleConnections(T + 3 * S));
        assertTrue(life.leaveStandby());
        assertTrue(life.isReady());
        assertFalse(life.closesIdleConnections(T + 60 * S));
    }

    @Test
    public void aStopServesOnUntilSigkillIsNear() {
        life.stop(T, 10 * S, false);
        assertEquals(State.STOPPING, life.state());
        assertFalse(life.isReady());
        assertFalse(life.leaveStandby());
        assertFalse(life.closesIdleConnections(T + 2 * S));
        assertTrue(life.closesIdleConnections(T + 24 * S / 10) && life.mayExit(T + 24 * S / 10));
        assertEquals(T + 7 * S / 10, life.forcedAnswerCutoff(T + 35 * S / 10).getAsLong());
        Lifecycle brief = new Lifecycle();
        brief.stop(T, 2 * S, false);
        assertTrue(
                "SIGKILL follows a shorter deadline sooner",
                brief.closesIdleConnections(T + 14 * S / 10));
        Lifecycle briefest = new Lifecycle();
        briefest.stop(T, 3 * S / 10, false);
        assertFalse(
                "new connections still come",
                briefest.closesIdleConnections(T + 4 * S / 10) || briefest.mayExit(T + 4 * S / 10));
        assertTrue(briefest.mayExit(T + 5 * S / 10));
        assertEquals(
                "in time before SIGKILL",
                T + 7 * S / 10,
                briefest.forcedAnswerCutoff(T + 7 * S / 10).getAsLong());
    }

    @Test
    public void onceItClosesNothingBringsItBackAndSigkillIsNotWaitedFor() {
        life.stop(T, 10 * S, true);
        life.beginClosing();
        life.setSuccessor(false);
        assertEquals(State.CLOSING, life.state());
        assertFalse(life.acceptsConnections() || life.isReady() || life.leaveStandby());
        assertFalse(life.mustExit(T + 36 * S / 10));
        assertTrue(life.mustExit(T + 37 * S / 10));
    }

    @Test
    public void inStandbyAStopKeepsBothTimetables() {
        life.enterStandby(T);
        life.stop(T + S, 10 * S, false);
        assertEquals(State.STOPPING, life.state());
        assertTrue(life.closesIdleConnections(T + S));
        assertTrue(life.mayExit(T + S));
        assertEquals(T + 17 * S / 10, life.forcedAnswerCutoff(T + S + 35 * S / 10).getAsLong());
    }

    @Test
    public void withASuccessorThePairStaysReadyAndThisProcessAcceptsNoMore() {
        life.stop(T, 10 * S, true);
        assertEquals(State.HANDING_OVER, life.state());
        assertTrue(life.isReady());
        assertFalse(life.acceptsConnections());
        assertTrue(life.closesAfterAnswer(T));
        assertFalse(life.closesIdleConnections(T + S / 2));
        assertTrue(life.mayExit(T + S));
        life.setSuccessor(false);
        assertEquals(State.STOPPING, life.state());
        assertTrue(life.acceptsConnections());
        assertFalse(life.isReady());
    }
}
