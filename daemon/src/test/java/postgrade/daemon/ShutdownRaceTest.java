package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * Requests and connections that arrive at the very moment at which connections are closed or the
 * process exits.
 */
public class ShutdownRaceTest extends ShutdownTestBase {

    @Test
    public void requestOnAnIdleConnectionThatIsBeingClosedIsServed() throws Exception {
        Socket kept = idleConnection("k1");
        Socket other = idleConnection("k2");
        stopAndHold(() -> {}, () -> LoopHarness.post(kept, "k3"));
        harness.script.expectEvent("job k3");
        assertRejectedAndClosed(kept);
        assertEquals("ended, not reset", -1, other.getInputStream().read());
    }

    @Test
    public void requestsUnreadOrInTheBacklogAtExitAreServed() throws Exception {
        Socket[] late = new Socket[2];
        stopAndHold(() -> late[0] = harness.post("b1"), () -> late[1] = harness.post("b2"));
        assertRejectedAndClosed(late[0]);
        assertRejectedAndClosed(late[1]);
    }

    @Test
    public void newConnectionGetsAShortTimeForItsRequest() throws Exception {
        Socket[] late = new Socket[1];
        stopAndHold(
                () -> late[0] = harness.connect(),
                () ->
                        // After everything that is due.
                        harness.loop.at(
                                harness.loop.nowMicros(), () -> LoopHarness.post(late[0], "m1")));
        assertRejectedAndClosed(late[0]);
    }

    @Test
    public void processExitsOncePeersHaveClosedTheirConnections() throws Exception {
        Socket kept = idleConnection("e1");
        CountDownLatch later = new CountDownLatch(1);
        stopAndHold(
                () -> {},
                () ->
                        // After the next check.
                        harness.loop.at(harness.loop.nowMicros() + 25_000, later::countDown));
        assertEquals("told to leave by the end of output", -1, kept.getInputStream().read());
        assertTrue(
                "the process waits, as the peer may not have read all",
                later.await(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
        kept.close();
        harness.awaitEnd();
    }

    @Test
    public void peerThatNeverClosesIsNotWaitedForBeyondSigkill() throws Exception {
        Socket kept = idleConnection("n1");
        stopAndHold(() -> {}, () -> {});
        CountDownLatch later = new CountDownLatch(1);
        // It is waited for until 0.6 s and this interval have passed; SIGKILL may come at 1.5 s.
        harness.interleave(
                KILL_MILLIS - CLOSE_IDLE_MILLIS,
                () -> {},
                () -> harness.loop.at(harness.loop.nowMicros() + 1, later::countDown));
        harness.awaitEnd();
        assertEquals("ended in that iteration", 1, later.getCount());
        assertEquals(-1, kept.getInputStream().read());
    }

    @Test
    public void requestAfterTheEndOfOutputIsNeverForwarded() throws Exception {
        Socket kept = idleConnection("s1");
        stopAndHold(() -> {}, () -> {});
        assertEquals(-1, kept.getInputStream().read());
        LoopHarness.post(kept, "s2");
        kept.close();
        harness.awaitEnd();
        assertTrue("read and dropped", harness.script.events.isEmpty());
    }

    @Test
    public void requestPipelinedBehindTheLastOneIsNeverForwarded() throws Exception {
        Socket kept = idleConnection("p1");
        String job = "POST /api HTTP/1.1\r\nX-Class: price\r\nContent-Length: 0\r\nX-Request-Id: ";
        stopAndHold(
                () -> {},
                () ->
                        ScriptedPeer.write(
                                // In one packet.
                                kept, job + "p2\r\n\r\n" + job + "p3\r\n\r\n"));
        harness.script.expectEvent("job p2");
        assertRejectedAndClosed(kept);
        kept.close();
        harness.awaitEnd();
        assertTrue("dropped", harness.script.events.isEmpty());
    }

    @Test
    public void incompleteRequestNearExitIsRejectedAndItsRestDiscarded() throws Exception {
        Socket half = harness.connect();
        stopAndHold(
                () ->
                        ScriptedPeer.write(
                                half,
                                "POST /api HTTP/1.1\r\nX-Request-Id: h1\r\nX-Class: price\r\nContent-Length: 3\r\n\r\n"),
                () -> {});
        assertRejectedAndClosed(half);
        ScriptedPeer.write(half, "job");
        half.close();
        harness.awaitEnd();
        assertTrue("dropped", harness.script.events.isEmpty());
    }

    @Test
    public void silentConnectionIsClosedWithoutLosingARequestThatArrivesThen() throws Exception {
        Socket silent = harness.connect();
        harness.awaitIteration();
        // The time-out is 2 s.
        harness.interleave(2_100, () -> {}, () -> LoopHarness.post(silent, "w1"));
        harness.script.expectEvent("job w1");
        assertEquals(429, ScriptedPeer.read(silent).status());
    }

    @Test
    public void idleConnectionWithAnUnreadRequestIsNotEvictedForANewOne() throws Exception {
        Socket[] idle = new Socket[48]; // The accepted share of 64 sockets.
        for (int i = 0; i < idle.length; i++) {
            idle[i] = idleConnection("i" + i);
            LoopHarness.post(idle[i], "j" + i); // The second valid request ends the probation.
            harness.script.expectEvent("job j" + i);
            assertEquals(429, ScriptedPeer.read(idle[i]).status());
        }
        harness.interleave(TWO_SWEEPS_MILLIS, () -> {}, () -> {});
        Socket[] fresh = new Socket[1];
        harness.interleave(
                TWO_SWEEPS_MILLIS,
                () -> fresh[0] = harness.post("f1"),
                () -> LoopHarness.post(idle[0], "f2"));
        assertEquals(
                "the connection that was idle longest", 429, ScriptedPeer.read(idle[0]).status());
        assertEquals(429, ScriptedPeer.read(fresh[0]).status());
        assertEquals("another one is gone, evicted", -1, idle[1].getInputStream().read());
    }
}
