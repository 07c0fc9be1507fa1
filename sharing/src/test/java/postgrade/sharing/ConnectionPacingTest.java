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

/**
 * New connections to workers are limited in rate, and no job waits for one longer than until the
 * policy's next decision.
 */
public class ConnectionPacingTest {

    private static final int WORKERS = 16;

    /**
     * The host keeps idle connections for 4 s, so two processes at twice the steady rate open one
     * connection each in 2 s per worker.
     */
    private static final long IDLE_MICROS = 4_000_000;

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

    /**
     * Sends a job every 10 ms to a worker that may take it, as the policy would, and returns the
     * times of new connections.
     */
    private List<Long> connectTimes(long micros) {
        // A process that starts slowly: no gate opens before the first request.
        host.run(10 * IDLE_MICROS);
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
        List<Long> times = connectTimes(IDLE_MICROS);
        assertEquals("all workers are connected", WORKERS, times.size());
        int peak = 0;
        for (long from : times) {
            peak =
                    Math.max(
                            peak,
                            (int)
                                    times.stream()
                                            .filter(t -> t >= from && t < from + IDLE_MICROS / 8)
                                            .count());
        }
        // A quarter of the interval per worker allows about a quarter of the workers; the phases
        // add one or two.
        assertTrue("at most " + peak, peak <= WORKERS / 4 + 3);
        assertTrue("only the first was forced", pacing.forcedCount() <= 1);
    }

    @Test
    public void jobWaitsForAGateOnceAndOnlyIfAnotherWorkerCanServeIt() {
        Job first = job("price");
        assertEquals("no other worker is connected", 1, usableShare(first, 0), 0);
        pacing.mayConnect("w0", true);
        host.connected.add("w0");
        int gatedWorker = 1;
        while (usableShare(job("price"), gatedWorker) > 0) {
            assertTrue("the gates of most workers are closed at first", ++gatedWorker < WORKERS);
        }
        Job second = job("price");
        assertEquals(1, usableShare(second, 0), 0);
        assertEquals(0, usableShare(second, gatedWorker), 0);
        assertEquals(
                "a job of an exempt class never waits",
                1,
                usableShare(job("confirm"), gatedWorker),
                0);
        host.run(50_000);
        assertEquals(
                "at the next decision any worker may take it",
                1,
                usableShare(second, gatedWorker),
                0);
        host.callsPerConnection = 2;
        assertEquals(
                "the connected worker has no spare capacity",
                1,
                usableShare(job("price"), gatedWorker),
                0);
    }

    @Test
    public void forcedConnectionsDelayLaterOnes() {
        pacing.mayConnect("w1", false);
        host.run(IDLE_MICROS);
        assertTrue(pacing.mayConnect("w1", true));
        assertFalse(pacing.mayConnect("w1", true));
        host.run(IDLE_MICROS / 2);
        assertFalse(
                "the forced connection counts against the rate", pacing.mayConnect("w1", false));
        host.run(IDLE_MICROS / 2);
        assertTrue(pacing.mayConnect("w1", false));
    }
}
