package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.Job;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/** Worker lists that are outdated, empty or missing. */
class WorkerListTest extends PolicyFixture {

    @Test
    void listIsRequestedAtTheStartAndAgainAfterAnError() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(settings().pollsWorkerList(true).build(), 1, actions);
        policy.workersUpdated(
                0, WorkerListUpdateType.CACHED, List.of(worker("s1", WorkerPhase.READY, 0)));
        assertEquals(1, actions.count("watch"));
        policy.workersUpdated(1, WorkerListUpdateType.FAILED, List.of());
        assertEquals(1, actions.count("timer ask"));
        policy.timerFired(SECOND, "ask");
        assertEquals(2, actions.count("watch"));
        assertEquals(
                "s1",
                actions.sentTo(submit(policy, SECOND, "safe")),
                "the old list stays in force");
    }

    /**
     * A restarted dispatcher knows only a cached list; workers missing from the first current list
     * get no jobs.
     */
    @Test
    void restartedDispatcherFollowsTheFirstCurrentList() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(settings().pollsWorkerList(true).build(), 1, actions);
        policy.workersUpdated(
                0,
                WorkerListUpdateType.CACHED,
                List.of(worker("s1", WorkerPhase.READY, 0), worker("s2", WorkerPhase.READY, 0)));
        policy.workersUpdated(
                SECOND,
                WorkerListUpdateType.FULL,
                List.of(worker("s2", WorkerPhase.DRAINING, 0), worker("s3", WorkerPhase.READY, 0)));
        for (int i = 0; i < 6; i++) {
            assertEquals("s3", actions.sentTo(submit(policy, SECOND, "safe")));
        }
    }

    /**
     * A network partition or a full connection table must not exclude workers for a whole slow
     * start.
     */
    @Test
    void unreachableWorkerIsEjectedButNotInSlowStart() {
        PolicySettings settings =
                settings().slowStart(0.1, 20 * SECOND).overload(2, SECOND).build();
        TokenBucketDispatchPolicy policy = newPolicy(settings, "s1", "s2", "s3");
        serveJobs(policy, 20, IDLE_REPORT);
        String id = submit(policy, SECOND, "safe");
        String unreachable = actions.sentTo(id);
        policy.attemptFinished(SECOND, id, 0, AttemptOutcome.UNREACHABLE, false, LoadReport.NONE);
        for (int i = 0; i < 6; i++) {
            assertNotEquals(unreachable, actions.sentTo(submit(policy, SECOND, "safe")));
        }
        String trial = "";
        for (int i = 0; i < 9 && !actions.sentTo(trial).equals(unreachable); i++) {
            trial = submit(policy, 4 * SECOND, "safe");
        }
        policy.attemptFinished(4 * SECOND, trial, 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        int recordedBefore = actions.recorded.size();
        for (int i = 0; i < 24; i++) {
            submit(policy, 4 * SECOND, "safe");
        }
        long sent =
                actions.recorded.stream()
                        .skip(recordedBefore)
                        .filter(action -> action.startsWith("send") && action.endsWith(unreachable))
                        .count();
        assertTrue(sent >= 8, "its full share again: " + sent);
    }

    @Test
    void sameSeedAndEventsGiveTheSameActions() {
        List<String> first = recordActions(5);
        assertEquals(first, recordActions(5));
        assertNotEquals(first, recordActions(6));
    }

    private List<String> recordActions(long seed) {
        RecordingActions actions = new RecordingActions();
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(
                        settings().tenants(List.of(new Tenant("t", 3))).build(), seed, actions);
        policy.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                IntStream.range(0, 7)
                        .mapToObj(i -> worker("s" + i, WorkerPhase.READY, 0))
                        .toList());
        for (int i = 0; i < 200; i++) {
            policy.jobArrived(
                    i * 50 * MS,
                    new Job("x" + i, i % 3 == 0 ? "unsafe" : "safe", "t", null, 5 * SECOND, 1, 0));
            policy.attemptFinished(
                    i * 50 * MS + 1,
                    "x" + i / 2,
                    0,
                    i % 5 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    i % 5 != 0,
                    IDLE_REPORT);
            policy.timerFired(i * 50 * MS + 2, "sweep");
        }
        return actions.recorded;
    }
}
