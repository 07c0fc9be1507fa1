package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/** Nothing new goes to a worker that drains. */
class DrainTest extends PolicyFixture {

    @Test
    void drainingGoneAndUnlistedWorkersGetNoJobs() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3", "s4");
        d.workersUpdated(
                1,
                WorkerListUpdateType.DELTA,
                List.of(worker("s1", WorkerPhase.DRAINING, 0), worker("s2", WorkerPhase.GONE, 0)));
        for (int i = 0; i < 8; i++) {
            String to = actions.sentTo(submit(d, 2, "safe"));
            assertTrue(to.equals("s3") || to.equals("s4"), to);
        }
        d.workersUpdated(3, WorkerListUpdateType.FULL, List.of(worker("s3", WorkerPhase.READY, 0)));
        for (int i = 0; i < 8; i++) {
            assertEquals("s3", actions.sentTo(submit(d, 4, "safe")));
        }
    }

    /**
     * Day prairie-clips rough-2: a list that called all workers gone shut a fleet that went on
     * serving.
     */
    @Test
    void unlistedWorkersStayInUseAndDrainedOnesExcludedIfOnlyDrainingExcludes() {
        TokenBucketDispatchPolicy d =
                newPolicy(settings().keepsUnlistedWorkers(true).build(), "s1", "s2", "s3");
        d.workersUpdated(
                1, WorkerListUpdateType.DELTA, List.of(worker("s1", WorkerPhase.DRAINING, 0)));
        d.workersUpdated(
                2,
                WorkerListUpdateType.DELTA,
                List.of(worker("s2", WorkerPhase.GONE, 0), worker("s9", WorkerPhase.GONE, 0)));
        d.workersUpdated(3, WorkerListUpdateType.FULL, List.of());
        Set<String> to = new TreeSet<>();
        for (int i = 0; i < 8; i++) {
            to.add(actions.sentTo(submit(d, 4, "safe")));
        }
        assertEquals(Set.of("s2", "s3"), to, "named once and not drained");
        d.workersUpdated(5, WorkerListUpdateType.FULL, List.of(worker("s1", WorkerPhase.READY, 0)));
        assertNotEquals(
                "s1",
                actions.sentTo(submit(d, 6, "safe")),
                "an older list does not undo the drain");
        d.workersUpdated(7, WorkerListUpdateType.FULL, List.of(worker("s1", WorkerPhase.READY, 6)));
        assertEquals("s1", actions.sentTo(submit(d, 8, "safe")), "a new start does");
    }

    /**
     * Own attempts outweigh the list: what is dropped and refuses connections time after time is
     * forgotten.
     */
    @Test
    void unlistedWorkerThatIsUnreachableIsRemoved() {
        TokenBucketDispatchPolicy d =
                newPolicy(settings().keepsUnlistedWorkers(true).build(), "s1", "s2", "s3");
        d.workersUpdated(
                1,
                WorkerListUpdateType.FULL,
                List.of(worker("s2", WorkerPhase.READY, 0), worker("s3", WorkerPhase.READY, 0)));
        for (int round = 1; round <= 40; round++) {
            long nowNs = round * 2 * SECOND;
            for (int i = 0; i < 4; i++) {
                String id = submit(d, nowNs, "safe");
                boolean dead = actions.sentTo(id).equals("s1");
                d.attemptFinished(
                        nowNs,
                        id,
                        0,
                        dead ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SERVED,
                        !dead,
                        LoadReport.NONE);
            }
        }
        d.workersUpdated(100 * SECOND, WorkerListUpdateType.DELTA, List.of());
        long before = actions.sendsTo("s1"::equals);
        for (int i = 0; i < 30; i++) {
            submit(d, 200 * SECOND, "safe");
        }
        assertEquals(before, actions.sendsTo("s1"::equals));
    }
}
