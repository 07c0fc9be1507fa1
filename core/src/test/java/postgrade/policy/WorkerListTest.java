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

/** Lists of workers that are old, empty or missing. */
class WorkerListTest extends PolicyFixture {

    @Test
    void listIsRequestedAtTheStartAndAgainAfterAnError() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(settings().pollsWorkerList(true).build(), 1, actions);
        d.workersUpdated(
                0, WorkerListUpdateType.CACHED, List.of(worker("s1", WorkerPhase.READY, 0)));
        assertEquals(1, actions.count("watch"));
        d.workersUpdated(1, WorkerListUpdateType.FAILED, List.of());
        assertEquals(1, actions.count("timer ask"));
        d.timerFired(SECOND, "ask");
        assertEquals(2, actions.count("watch"));
        assertEquals(
                "s1", actions.sentTo(submit(d, SECOND, "safe")), "the old list stays in force");
    }

    /**
     * A restarted gateway knows only its last list: what the new one no longer holds is not sent
     * to.
     */
    @Test
    void restartedDispatcherFollowsTheFirstCurrentList() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(settings().pollsWorkerList(true).build(), 1, actions);
        d.workersUpdated(
                0,
                WorkerListUpdateType.CACHED,
                List.of(worker("s1", WorkerPhase.READY, 0), worker("s2", WorkerPhase.READY, 0)));
        d.workersUpdated(
                SECOND,
                WorkerListUpdateType.FULL,
                List.of(worker("s2", WorkerPhase.DRAINING, 0), worker("s3", WorkerPhase.READY, 0)));
        for (int i = 0; i < 6; i++) {
            assertEquals("s3", actions.sentTo(submit(d, SECOND, "safe")));
        }
    }

    /** A cut-off zone or a full connection table must not shut the workers for a whole warm-up. */
    @Test
    void unreachableWorkerIsEjectedButNotInSlowStart() {
        PolicySettings s = settings().slowStart(0.1, 20 * SECOND).overload(2, SECOND).build();
        TokenBucketDispatchPolicy d = newPolicy(s, "s1", "s2", "s3");
        serveJobs(d, 20, IDLE_REPORT);
        String id = submit(d, SECOND, "safe");
        String cut = actions.sentTo(id);
        d.attemptFinished(SECOND, id, 0, AttemptOutcome.UNREACHABLE, false, LoadReport.NONE);
        for (int i = 0; i < 6; i++) {
            assertNotEquals(cut, actions.sentTo(submit(d, SECOND, "safe")));
        }
        String trial = "";
        for (int i = 0; i < 9 && !actions.sentTo(trial).equals(cut); i++) {
            trial = submit(d, 4 * SECOND, "safe");
        }
        d.attemptFinished(4 * SECOND, trial, 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        int before = actions.recorded.size();
        for (int i = 0; i < 24; i++) {
            submit(d, 4 * SECOND, "safe");
        }
        long sent =
                actions.recorded.stream()
                        .skip(before)
                        .filter(l -> l.startsWith("send") && l.endsWith(cut))
                        .count();
        assertTrue(sent >= 8, "its full part again: " + sent);
    }

    @Test
    void sameSeedAndEventsGiveTheSameActions() {
        List<String> first = recordActions(5);
        assertEquals(first, recordActions(5));
        assertNotEquals(first, recordActions(6));
    }

    private List<String> recordActions(long seed) {
        RecordingActions mine = new RecordingActions();
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(
                        settings().tenants(List.of(new Tenant("t", 3))).build(), seed, mine);
        d.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                IntStream.range(0, 7)
                        .mapToObj(i -> worker("s" + i, WorkerPhase.READY, 0))
                        .toList());
        for (int i = 0; i < 200; i++) {
            d.jobArrived(
                    i * 50 * MS,
                    new Job("x" + i, i % 3 == 0 ? "unsafe" : "safe", "t", null, 5 * SECOND, 1, 0));
            d.attemptFinished(
                    i * 50 * MS + 1,
                    "x" + i / 2,
                    0,
                    i % 5 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    i % 5 != 0,
                    IDLE_REPORT);
            d.timerFired(i * 50 * MS + 2, "sweep");
        }
        return mine.recorded;
    }
}
