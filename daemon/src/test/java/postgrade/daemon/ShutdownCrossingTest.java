package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** What comes in the very moment in which connections are closed or the process ends. */
public class ShutdownCrossingTest extends ShutdownStage {

    @Test
    public void aRequestOnARestingConnectionInTheMomentItIsClosedIsServed() throws Exception {
        Socket kept = resting("k1");
        Socket other = resting("k2");
        stop(() -> {}, () -> LoopHarness.post(kept, "k3"));
        turns.script.expectEvent("job k3");
        rejectedAndEnded(kept);
        assertEquals("ended, not reset", -1, other.getInputStream().read());
    }

    @Test
    public void whatIsAcceptedUnreadOrInTheBacklogWhenTheProcessWouldEndIsServed()
            throws Exception {
        Socket[] late = new Socket[2];
        stop(() -> late[0] = turns.post("b1"), () -> late[1] = turns.post("b2"));
        rejectedAndEnded(late[0]);
        rejectedAndEnded(late[1]);
    }

    @Test
    public void aConnectionThatHasJustComeIsGivenAMomentForItsRequest() throws Exception {
        Socket[] late = new Socket[1];
        stop(
                () -> late[0] = turns.connect(),
                () ->
                        turns.loop.at(
                                turns.loop.nowMicros(),
                                () -> LoopHarness.post(late[0], "m1"))); // Behind all that is due.
        rejectedAndEnded(late[0]);
    }

    @Test
    public void theProcessEndsOnceItsPeersHaveEndedTheirConnections() throws Exception {
        Socket kept = resting("e1");
        CountDownLatch later = new CountDownLatch(1);
        stop(
                () -> {},
                () ->
                        turns.loop.at(
                                turns.loop.nowMicros() + 25_000,
                                later::countDown)); // Behind the next check.
        assertEquals("told to leave", -1, kept.getInputStream().read());
        assertTrue(
                "it may not have read all", later.await(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
        kept.close();
        turns.awaitEnd();
    }

    @Test
    public void aPeerThatNeverEndsItsConnectionIsNotWaitedForBeyondSigkill() throws Exception {
        Socket kept = resting("n1");
        stop(() -> {}, () -> {});
        CountDownLatch later = new CountDownLatch(1);
        // It is waited for until 0.6 s and one more have passed; SIGKILL may come at 1.5 s.
        turns.interleave(
                KILL_MILLIS - UNTIL_LEAVING_MILLIS,
                () -> {},
                () -> turns.loop.at(turns.loop.nowMicros() + 1, later::countDown));
        turns.awaitEnd();
        assertEquals("ended in that turn", 1, later.getCount());
        assertEquals(-1, kept.getInputStream().read());
    }

    @Test
    public void aRequestThatComesBehindOurEndIsNeverSentOn() throws Exception {
        Socket kept = resting("s1");
        stop(() -> {}, () -> {});
        assertEquals(-1, kept.getInputStream().read());
        LoopHarness.post(kept, "s2");
        kept.close();
        turns.awaitEnd();
        assertTrue("read and dropped", turns.script.events.isEmpty());
    }

    @Test
    public void aRequestBehindTheOneThatEndsItsConnectionIsNeverSentOn() throws Exception {
        Socket kept = resting("p1");
        String job = "POST /api HTTP/1.1\r\nX-Class: price\r\nContent-Length: 0\r\nX-Request-Id: ";
        stop(
                () -> {},
                () ->
                        ScriptedPeer.write(
                                kept, job + "p2\r\n\r\n" + job + "p3\r\n\r\n")); // In one packet.
        turns.script.expectEvent("job p2");
        rejectedAndEnded(kept);
        kept.close();
        turns.awaitEnd();
        assertTrue("dropped", turns.script.events.isEmpty());
    }

    @Test
    public void aRequestThatWouldBeWholeTooLateIsRejectedAndItsRestIsPassedOver() throws Exception {
        Socket half = turns.connect();
        stop(
                () ->
                        ScriptedPeer.write(
                                half,
                                "POST /api HTTP/1.1\r\nX-Request-Id: h1\r\nX-Class: price\r\nContent-Length: 3\r\n\r\n"),
                () -> {});
        rejectedAndEnded(half);
        ScriptedPeer.write(half, "job");
        half.close();
        turns.awaitEnd();
        assertTrue("passed over", turns.script.events.isEmpty());
    }

    @Test
    public void whoSaysNothingIsEndedWithoutLosingWhatComesInThatMoment() throws Exception {
        Socket silent = turns.connect();
        turns.awaitIteration();
        turns.interleave(2_100, () -> {}, () -> LoopHarness.post(silent, "w1")); // It is given 2 s.
        turns.script.expectEvent("job w1");
        assertEquals(429, ScriptedPeer.read(silent).status());
    }

    @Test
    public void anIdleConnectionIsNotClosedForANewOneOverARequestThatHasCome() throws Exception {
        Socket[] idle = new Socket[48]; // All that may be accepted of 64.
        for (int i = 0; i < idle.length; i++) {
            idle[i] = resting("i" + i);
            LoopHarness.post(idle[i], "j" + i); // Past its probation.
            turns.script.expectEvent("job j" + i);
            assertEquals(429, ScriptedPeer.read(idle[i]).status());
        }
        turns.interleave(SWEEPS_MILLIS, () -> {}, () -> {});
        Socket[] fresh = new Socket[1];
        turns.interleave(
                SWEEPS_MILLIS,
                () -> fresh[0] = turns.post("f1"),
                () -> LoopHarness.post(idle[0], "f2"));
        assertEquals("the one that was idle longest", 429, ScriptedPeer.read(idle[0]).status());
        assertEquals(429, ScriptedPeer.read(fresh[0]).status());
        assertEquals("another has gone", -1, idle[1].getInputStream().read());
    }
}
