package postgrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import postgrade.fleet.model.Fence;
import postgrade.fleet.model.Job;
import postgrade.fleet.model.Listener;
import postgrade.fleet.model.WorkerModel;
import postgrade.fleet.model.WorkerSpec;

class WorkerModelTest {

    private final List<String> heard = new ArrayList<>();

    private final Listener listener =
            new Listener() {
                private void add(long now, String what, Job job) {
                    heard.add(now / 1000 + " " + what + " " + job.id);
                }

                @Override
                public void started(long now, Job job) {
                    add(now, "started", job);
                }

                @Override
                public void progress(long now, Job job, double share) {
                    add(now, "progress", job);
                }

                @Override
                public void done(long now, Job job) {
                    add(now, "done", job);
                }

                @Override
                public void failed(long now, Job job) {
                    add(now, "failed", job);
                }

                @Override
                public void returned(long now, Job job) {
                    add(now, "returned", job);
                }

                @Override
                public void fellOver(long now) {
                    heard.add(now / 1000 + " fell over");
                }
            };

    private WorkerModel worker(int cores, double speed, int queue, boolean cold) {
        return new WorkerModel(
                new WorkerSpec(
                        "m", cores, speed, queue, 0.14, 23_000_000, 3, 2_000_000, true, false),
                0,
                cold,
                1_000_000,
                listener);
    }

    private static Job job(String id, String fence, double ms) {
        return new Job(id, 1, false, ms * 1000, null, true, Fence.of(fence));
    }

    private WorkerModel accelerated(int accelerators) {
        return new WorkerModel(
                new WorkerSpec(
                        "m", 8, 1, 8, 0.14, 23_000_000, 3, 2_000_000, true, false, accelerators),
                0,
                false,
                0,
                listener);
    }

    @Test
    void anOlderGrantIsTurnedAwayUnstartedAndNeverRunsBesideTheLater() {
        WorkerModel w = accelerated(3);
        assertTrue(w.submit(job("old-runs", "3=7", 50)));
        assertTrue(w.submit(job("old-runs-too", "3=7", 100)));
        assertTrue(w.submit(job("old-waits", "3=7", 10)));
        assertTrue(w.submit(job("new", "3=9", 10)));
        assertFalse(w.submit(job("old-late", "3=7", 10)), "a later grant is known");
        assertFalse(
                w.submit(job("old-in-part", "5=8", 10)),
                "one of its accelerators has a later grant");
        assertTrue(w.submit(job("elsewhere", "4=8", 10)));
        w.advance(200_000);
        assertEquals(
                List.of(
                        "0 started old-runs",
                        "0 started old-runs-too",
                        "0 returned old-waits",
                        "0 started elsewhere",
                        "10 done elsewhere",
                        "50 done old-runs",
                        "100 done old-runs-too",
                        "100 started new",
                        "110 done new"),
                heard);
    }

    @Test
    void jobsThatNeedNoAcceleratorAreNotHeldUpAndOneOfNoGrantTakesWhatWasNeverReserved() {
        WorkerModel w = accelerated(2);
        assertTrue(w.submit(job("held", "1=5", 50)));
        assertTrue(w.submit(job("held-too", "1=5", 50)));
        assertTrue(w.submit(job("free", null, 30)));
        assertTrue(w.submit(job("plain", 0, 10)));
        w.advance(10_000);
        assertEquals(
                List.of("0 started held", "0 started free", "0 started plain", "10 done plain"),
                heard);
        w.die();
        w.restart();
        assertTrue(w.submit(job("anew", "1=4", 10)), "a new process remembers no grant");
        assertFalse(w.submit(job("beyond", "4=4", 10)), "it has no third accelerator");
        assertFalse(worker(1, 1, 4, false).submit(job("none", null, 10)));
    }

    private static Job job(String id, int priority, double ms) {
        return new Job(id, priority, priority == 0, ms * 1000, null);
    }

    @Test
    void jobsRunOnAllCoresAtTheirSpeedAndTheRestWaits() {
        WorkerModel w = worker(2, 2, 1, false);
        assertTrue(
                w.submit(job("a", 0, 100))
                        && w.submit(job("b", 0, 200))
                        && w.submit(job("c", 0, 40)));
        assertFalse(w.submit(job("d", 0, 1)), "its queue is full");
        w.advance(1_000_000);
        assertEquals(
                List.of(
                        "0 started a",
                        "0 started b",
                        "50 done a",
                        "50 started c",
                        "70 done c",
                        "100 done b"),
                heard);
    }

    @Test
    void aJobOfHigherPrioritySuspendsOneThatMayBeRepeatedAndItGoesOnWhereItWas() {
        WorkerModel w = worker(1, 1, 4, false);
        w.submit(job("low", 0, 100));
        w.advance(40_000);
        w.submit(job("high", 1, 30));
        w.submit(job("next", 1, 10));
        w.advance(1_000_000);
        assertEquals(
                List.of(
                        "0 started low",
                        "40 started high",
                        "70 done high",
                        "70 started next",
                        "80 done next",
                        "140 done low"),
                heard);
    }

    @Test
    void aPauseStopsTheWorkAndANeighbourSlowsIt() {
        WorkerModel w = worker(1, 1, 4, false);
        w.submit(job("a", 0, 100));
        w.advance(50_000);
        w.pause(true);
        assertEquals(Long.MAX_VALUE, w.nextMicros());
        w.advance(150_000);
        w.pause(false);
        w.neighbour(0.5);
        w.advance(400_000);
        assertEquals(List.of("0 started a", "250 done a"), heard);
    }

    @Test
    void aDrainingWorkerHandsBackWhatHasNotStartedAndFinishesTheRest() {
        WorkerModel w = worker(1, 1, 4, false);
        w.submit(job("a", 0, 100));
        w.submit(job("b", 0, 100));
        w.drain(true);
        assertFalse(w.submit(job("c", 0, 1)));
        w.advance(1_000_000);
        assertEquals(List.of("0 started a", "0 returned b", "100 done a"), heard);
        assertTrue(w.idle());
    }

    @Test
    void aColdWorkerIsSlowAndFallsOverWhenSentTooMuch() {
        WorkerModel w = worker(1, 1, 100, true);
        w.submit(job("a", 0, 100));
        w.advance(2_000_000);
        assertEquals("started a", heard.get(0).substring(2));
        long doneAt = Long.parseLong(heard.get(heard.size() - 1).split(" ")[0]);
        assertTrue(
                doneAt > 550 && doneAt < 720, "100 ms of work at a seventh of the pace: " + doneAt);
        heard.clear();
        for (int i = 0; i < 30 && !w.isDown(); i++) {
            w.submit(job("x" + i, 0, 100));
        }
        assertTrue(w.isDown());
        assertTrue(heard.contains("2000 fell over"), heard.toString());
        assertFalse(w.submit(job("y", 0, 1)));
    }

    @Test
    void aJobThatIsGivenUpIsGoneAndAnotherTakesItsPlace() {
        WorkerModel w = worker(1, 1, 4, false);
        w.submit(job("a", 0, 100));
        w.submit(job("b", 0, 10));
        w.advance(20_000);
        assertTrue(w.giveUp("a"));
        assertFalse(w.giveUp("a"));
        w.advance(1_000_000);
        assertEquals(List.of("0 started a", "20 started b", "30 done b"), heard);
    }

    @Test
    void aFailureComesAfterItsWorkAndAnotherSubmissionOfAJobIsTurnedAway() {
        WorkerModel w = worker(1, 1, 4, false);
        Job a = job("a", 0, 100);
        w.submit(a);
        assertFalse(w.submit(job("a", 0, 5)), "one id, one job");
        w.failAfter(a, 3000);
        w.advance(100_000);
        assertEquals(List.of("0 started a", "3 failed a"), heard);
    }
}
