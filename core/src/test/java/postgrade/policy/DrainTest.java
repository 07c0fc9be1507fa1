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

/** No new jobs are sent to a draining worker. */
class DrainTest extends PolicyFixture {

    @Test
    void drainingGoneAndUnlistedWorkersGetNoJobs() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3", "s4");
        policy.workersUpdated(
                1,
                WorkerListUpdateType.DELTA,
                List.of(worker("s1", WorkerPhase.DRAINING, 0), worker("s2", WorkerPhase.GONE, 0)));
        for (int i = 0; i < 8; i++) {
            String to = actions.sentTo(submit(policy, 2, "safe"));
            assertTrue(to.equals("s3") || to.equals("s4"), to);
        }
        policy.workersUpdated(
                3, WorkerListUpdateType.FULL, List.of(worker("s3", WorkerPhase.READY, 0)));
        for (int i = 0; i < 8; i++) {
            assertEquals("s3", actions.sentTo(submit(policy, 4, "safe")));
        }
    }

    /**
     * A list that wrongly reports all workers as gone must not exclude a fleet that is still
     * serving.
     */
    @Test
    void unlistedWorkersStayInUseAndDrainedOnesExcludedIfOnlyDrainingExcludes() {
        TokenBucketDispatchPolicy policy =
                newPolicy(settings().keepsUnlistedWorkers(true).build(), "s1", "s2", "s3");
        policy.workersUpdated(
                1, WorkerListUpdateType.DELTA, List.of(worker("s1", WorkerPhase.DRAINING, 0)));
        policy.workersUpdated(
                2,
                WorkerListUpdateType.DELTA,
                List.of(worker("s2", WorkerPhase.GONE, 0), worker("s9", WorkerPhase.GONE, 0)));
        policy.workersUpdated(3, WorkerListUpdateType.FULL, List.of());
        Set<String> to = new TreeSet<>();
        for (int i = 0; i < 8; i++) {
            to.add(actions.sentTo(submit(policy, 4, "safe")));
        }
        assertEquals(Set.of("s2", "s3"), to, "listed before and not drained");
        policy.workersUpdated(
                5, WorkerListUpdateType.FULL, List.of(worker("s1", WorkerPhase.READY, 0)));
        assertNotEquals(
                "s1",
                actions.sentTo(submit(policy, 6, "safe")),
                "an outdated list does not undo the drain");
        policy.workersUpdated(
                7, WorkerListUpdateType.FULL, List.of(worker("s1", WorkerPhase.READY, 6)));
        assertEquals("s1", actions.sentTo(submit(policy, 8, "safe")), "a restart does");
    }

    /** A worker that is no longer listed and repeatedly refuses connections is removed. */
    @Test
    void unlistedWorkerThatIsUnreachableIsRemoved() {
        TokenBucketDispatchPolicy policy =
                newPolicy(settings().keepsUnlistedWorkers(true).build(), "s1", "s2", "s3");
        policy.workersUpdated(
                1,
                WorkerListUpdateType.FULL,
                List.of(worker("s2", WorkerPhase.READY, 0), worker("s3", WorkerPhase.READY, 0)));
        for (int round = 1; round <= 40; round++) {
            long nowNs = round * 2 * SECOND;
            for (int i = 0; i < 4; i++) {
                String id = submit(policy, nowNs, "safe");
                boolean dead = actions.sentTo(id).equals("s1");
                policy.attemptFinished(
                        nowNs,
                        id,
                        0,
                        dead ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SERVED,
                        !dead,
                        LoadReport.NONE);
            }
        }
        policy.workersUpdated(100 * SECOND, WorkerListUpdateType.DELTA, List.of());
        long before = actions.sendsTo("s1"::equals);
        for (int i = 0; i < 30; i++) {
            submit(policy, 200 * SECOND, "safe");
        }
        assertEquals(before, actions.sendsTo("s1"::equals));
    }
}
