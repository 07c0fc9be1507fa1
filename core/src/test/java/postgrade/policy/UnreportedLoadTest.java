package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.Tenant;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/** Decisions when workers report no load. */
class UnreportedLoadTest extends PolicyFixture {

    /**
     * If all workers counted as the same size, those with few slots would be full and the others
     * half idle.
     */
    @Test
    void withoutReportsJobsFollowTheAnnouncedWeights() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(settings().build(), 7, actions);
        policy.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "small", 0, WorkerPhase.READY, 1, 0),
                        new WorkerInfo("s2", "z", "large", 0, WorkerPhase.READY, 3, 0)));
        for (int i = 0; i < 40; i++) {
            submit(policy, 1, "safe");
        }
        long large = actions.sendsTo("s2"::equals);
        assertTrue(large >= 28 && large <= 32, large + " of 40");
    }

    /**
     * With one job at a time, a dispatcher has no jobs in flight when it selects a worker. If the
     * new job itself counted as load, the largest worker would always be the least loaded and the
     * rest idle.
     */
    @Test
    void withNoOwnJobsInFlightJobsGoInProportionToSize() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(settings().dispatcherCount(14).build(), 7, actions);
        policy.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "small", 0, WorkerPhase.READY, 1, 0),
                        new WorkerInfo("s2", "z", "large", 0, WorkerPhase.READY, 3, 0)));
        for (int i = 0; i < 400; i++) {
            String id = submit(policy, i * MS, "safe");
            policy.attemptFinished(i * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long small = actions.sendsTo("s1"::equals);
        assertTrue(
                small >= 70 && small <= 130,
                small + " of 400 to the worker of a quarter of the size");
    }

    /**
     * Without reports every worker seems to have the same size, and each dispatcher has too few
     * jobs at any one worker to learn its queueing delay. The mean queueing delay of a kind reveals
     * kinds whose workers are smaller than announced, and reduces the size that they are weighted
     * by.
     */
    @Test
    void kindWithQueueingDelayGetsFewerJobs() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(
                        settings().dispatcherCount(14).workersReportStart(true).build(),
                        7,
                        actions);
        List<WorkerInfo> fleet = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            fleet.add(
                    new WorkerInfo(
                            (i % 2 == 0 ? "small-" : "large-") + i,
                            "z",
                            i % 2 == 0 ? "small" : "large",
                            0,
                            WorkerPhase.READY,
                            1,
                            0));
        }
        policy.workersUpdated(0, WorkerListUpdateType.FULL, fleet);
        for (int i = 0; i < 400; i++) {
            long nowNs =
                    i * 300 * MS; // Each worker gets one job of this dispatcher about every 20 s.
            String id = submit(policy, nowNs, "safe");
            long waitNs = actions.sentTo(id).startsWith("small") ? 20 * MS : 2 * MS;
            policy.attemptStarted(nowNs + waitNs, id, 0);
            policy.attemptFinished(
                    nowNs + waitNs + MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long small = actions.sendsTo(id -> id.startsWith("small-"));
        // 176 if a worker's queueing delay decays to zero; 153 if the delay of the kind only
        // reduces the size.
        assertTrue(small <= 40, small + " of 400 to the kind with ten times the queueing delay");
    }

    /**
     * The queue of a new worker is empty, whatever the queueing delay at older workers of its kind.
     */
    @Test
    void workerInSlowStartDoesNotInheritTheQueueingDelayOfItsKind() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(
                        settings()
                                .workersReportStart(true)
                                .slowStart(0.5, 100 * SECOND)
                                .overload(3, SECOND)
                                .build(),
                        7,
                        actions);
        policy.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(new WorkerInfo("old", "z", "k", 0, WorkerPhase.READY, 1, 0)));
        for (int i = 0; i < 40; i++) {
            long nowNs = i * 100 * MS;
            String id = submit(policy, nowNs, "safe");
            policy.attemptStarted(nowNs + 20 * MS, id, 0);
            policy.attemptFinished(
                    nowNs + 21 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        policy.workersUpdated(
                4 * SECOND,
                WorkerListUpdateType.DELTA,
                List.of(new WorkerInfo("new", "z", "k", 0, WorkerPhase.READY, 1, 4 * SECOND)));
        long toNew = 0;
        for (int i = 0; i < 40; i++) {
            long nowNs = 10 * SECOND + i * SECOND;
            String id = submit(policy, nowNs, "safe");
            boolean inSlowStart = actions.sentTo(id).equals("new");
            toNew += inSlowStart ? 1 : 0;
            policy.attemptStarted(nowNs + (inSlowStart ? 0 : 20 * MS), id, 0);
            policy.attemptFinished(
                    nowNs + 21 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        assertTrue(toNew >= 10, toNew + " of 40 to the worker in slow start");
    }

    /**
     * A worker without an announced weight counts as one of mean size, not as one of size zero that
     * gets no jobs.
     */
    @Test
    void workerWithoutWeightCountsAsMeanSize() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(settings().build(), 7, actions);
        policy.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "std", 0, WorkerPhase.READY, 0, 0),
                        new WorkerInfo("s2", "z", "std", 0, WorkerPhase.READY, 4, 0)));
        for (int i = 0; i < 20; i++) {
            submit(policy, 1, "safe");
        }
        assertEquals(10, actions.sendsTo("s1"::equals));
    }

    /**
     * Without reports, a fleet full of other dispatchers' jobs must not seem free to jobs beyond
     * the quota.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "20, false"})
    void withoutReportsOtherDispatchersAreAssumedToHoldAsMuch(
            int dispatchers, boolean excessIsSent) {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings()
                                .dispatcherCount(dispatchers)
                                .tenants(List.of(new Tenant("t", 1), new Tenant("u", 150)))
                                .build(),
                        "s1",
                        "s2");
        for (long nowNs = SECOND; nowNs < 4 * SECOND; nowNs += 100 * MS) {
            policy.attemptFinished(
                    nowNs + 90 * MS,
                    submit(policy, nowNs, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    LoadReport.NONE);
        }
        for (int i = 0; i < 5; i++) {
            policy.attemptFinished(
                    4 * SECOND,
                    submit(policy, 4 * SECOND, "safe", "t", null),
                    0,
                    AttemptOutcome.RESET,
                    true,
                    LoadReport.NONE);
        }
        String excess = submit(policy, 4 * SECOND, "safe", "t", null);
        assertEquals(excessIsSent, !actions.sentTo(excess).isEmpty());
    }
}
