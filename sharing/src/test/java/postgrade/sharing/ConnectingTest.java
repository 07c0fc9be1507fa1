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
import postgrade.sharing.pace.Connecting;

/** New connections to workers are paced, and no job waits for one longer than to the next look. */
public class ConnectingTest {

    private static final int WORKERS = 16;

    /**
     * As the host keeps connections for 4 s, two processes at twice steady make one each in 2 s at
     * a worker.
     */
    private static final long KEPT = 4_000_000;

    private final FakeHost host = new FakeHost("a");
    private final Connecting connecting = new Connecting(host, 2, Set.of("confirm"));
    private int jobs;

    private static WorkerInfo worker(int i) {
        return new WorkerInfo("w" + i, "a", "m", 0, WorkerPhase.READY, 1, 0);
    }

    private Job job(String jobClass) {
        return new Job("j" + jobs++, jobClass, "t", null, 1, 1, 0);
    }

    private double part(Job job, int w) {
        return connecting.usableShare(host.nowMicros() * 1000, job, worker(w));
    }

    /** A job every 10 ms goes to some worker that is able for it, as the module would send it. */
    private List<Long> connects(long micros) {
        host.run(10 * KEPT); // A process that starts slowly: while nobody is served no gate opens.
        List<Long> times = new ArrayList<>();
        for (long t = 0; t < micros; t += 10_000) {
            host.run(10_000);
            Job job = job("price");
            for (int i = 0; i < WORKERS; i++) {
                int w = (jobs + i) % WORKERS;
                if (part(job, w) > 0) {
                    if (!host.connected.contains("w" + w)) {
                        connecting.mayConnect("w" + w, true);
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
    public void allWorkersAreConnectedToButNoFasterThanItsPartOfThePace() {
        List<Long> times = connects(KEPT);
        assertEquals("all in the end", WORKERS, times.size());
        int most = 0;
        for (long from : times) {
            most =
                    Math.max(
                            most,
                            (int)
                                    times.stream()
                                            .filter(t -> t >= from && t < from + KEPT / 8)
                                            .count());
        }
        // A quarter of the time between two at a worker brings a quarter of the workers, about; by
        // phases, one more or two.
        assertTrue("at most " + most, most <= WORKERS / 4 + 3);
        assertTrue("only the first had to be", connecting.forced() <= 1);
    }

    @Test
    public void aJobWaitsForItOnceAndOnlyWhereAnotherWorkerCanTakeIt() {
        Job first = job("price");
        assertEquals("there is no other", 1, part(first, 0), 0);
        connecting.mayConnect("w0", true);
        host.connected.add("w0");
        int shut = 1;
        while (part(job("price"), shut) > 0) {
            assertTrue("the gates of most are shut at first", ++shut < WORKERS);
        }
        Job second = job("price");
        assertEquals(1, part(second, 0), 0);
        assertEquals(0, part(second, shut), 0);
        assertEquals(
                "what is bound to some workers waits for none", 1, part(job("confirm"), shut), 0);
        host.run(50_000);
        assertEquals("at the next look it goes anywhere", 1, part(second, shut), 0);
        host.calls = 2;
        assertEquals("those connected have enough", 1, part(job("price"), shut), 0);
    }

    @Test
    public void whatHadToBeOpenedIsMadeUpFor() {
        connecting.mayConnect("w1", false);
        host.run(KEPT);
        assertTrue(connecting.mayConnect("w1", true));
        assertFalse(connecting.mayConnect("w1", true));
        host.run(KEPT / 2);
        assertFalse("one is owed", connecting.mayConnect("w1", false));
        host.run(KEPT / 2);
        assertTrue(connecting.mayConnect("w1", false));
    }
}
