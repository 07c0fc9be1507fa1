package postgrade.sharing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.Test;
import postgrade.policy.api.Job;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.sharing.pacing.ConnectionPacing;

/** New connections to workers are paced, and no job waits for one longer than to the next look. */
public class ConnectionPacingTest {

    private static final int WORKERS = 16;

    /**
     * As the host keeps connections for 4 s, two processes at twice steady make one each in 2 s at
     * a worker.
     */
    private static final long MAX_IDLE_MICROS = 4_000_000;

    private final FakeHost host = new FakeHost("a");
    private final ConnectionPacing pacing = new ConnectionPacing(host, 2, Set.of("confirm"));
    private int jobs;

    private static WorkerInfo worker(int i) {
        return new WorkerInfo("w" + i, "a", "m", 0, WorkerPhase.READY, 1, 0);
    }

    private Job job(String jobClass) {
        return new Job("j" + jobs++, jobClass, "t", null, 1, 1, 0);
    }

    private double usableShare(Job job, int w) {
        return pacing.usableShare(host.nowMicros() * 1000, job, worker(w));
    }

    /** A job every 10 ms goes to some worker that is able for it, as the module would send it. */
    private List<Long> connectTimes(long micros) {
        host.run(
                10
                        * MAX_IDLE_MICROS); // A process that starts slowly: while nobody is served
                                            // no gate opens.
        List<Long> times = new ArrayList<>();
        for (long t = 0; t < micros; t += 10_000) {
            host.run(10_000);
            Job job = job("price");
            for (int i = 0; i < WORKERS; i++) {
                int w = (jobs + i) % WORKERS;
                if (usableShare(job, w) > 0) {
                    if (!host.connected.contains("w" + w)) {
                        pacing.mayConnect("w" + w, true);
                        host.connected.add("w" + w);
                        times.add(host.nowMicros());
                    }
                    break;
                }
            }
        }
        return times;
    }

    @Test
    public void connectsToAllWorkersWithinItsShareOfTheRate() {
        List<Long> times = connectTimes(MAX_IDLE_MICROS);
        assertEquals("all in the end", WORKERS, times.size());
        int maxWithinWindow = 0;
        for (long from : times) {
            maxWithinWindow =
                    Math.max(
                            maxWithinWindow,
                            (int)
                                    times.stream()
                                            .filter(
                                                    t ->
                                                            t >= from
                                                                    && t
                                                                            < from
                                                                                    + MAX_IDLE_MICROS
                                                                                            / 8)
                                            .count());
        }
        // A quarter of the time between two at a worker brings a quarter of the workers, about; by
        // phases, one more or two.
        assertTrue("at most " + maxWithinWindow, maxWithinWindow <= WORKERS / 4 + 3);
        assertTrue("only the first had to be", pacing.forcedCount() <= 1);
    }

    @Test
    public void jobWaitsForAGateOnceAndOnlyIfAnotherWorkerCanServeIt() {
        Job first = job("price");
        assertEquals("there is no other", 1, usableShare(first, 0), 0);
        pacing.mayConnect("w0", true);
        host.connected.add("w0");
        int gatedWorker = 1;
        while (usableShare(job("price"), gatedWorker) > 0) {
            assertTrue("the gates of most are shut at first", ++gatedWorker < WORKERS);
        }
        Job second = job("price");
        assertEquals(1, usableShare(second, 0), 0);
        assertEquals(0, usableShare(second, gatedWorker), 0);
        assertEquals(
                "what is bound to some workers waits for none",
                1,
                usableShare(job("confirm"), gatedWorker),
                0);
        host.run(50_000);
        assertEquals("at the next look it goes anywhere", 1, usableShare(second, gatedWorker), 0);
        host.callsPerConnection = 2;
        assertEquals("those connected have enough", 1, usableShare(job("price"), gatedWorker), 0);
    }

    @Test
    public void forcedConnectionsDelayLaterOnes() {
        pacing.mayConnect("w1", false);
        host.run(MAX_IDLE_MICROS);
        assertTrue(pacing.mayConnect("w1", true));
        assertFalse(pacing.mayConnect("w1", true));
        host.run(MAX_IDLE_MICROS / 2);
        assertFalse("one is owed", pacing.mayConnect("w1", false));
        host.run(MAX_IDLE_MICROS / 2);
        assertTrue(pacing.mayConnect("w1", false));
    }
}
