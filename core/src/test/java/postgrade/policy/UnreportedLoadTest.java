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

/** Decisions where workers report no load. */
class UnreportedLoadTest extends PolicyFixture {

    /**
     * Incident ia1e7e7: with all sizes equal the workers with few slots were full and the others
     * half idle.
     */
    @Test
    void withoutReportsJobsFollowTheAnnouncedWeights() {
        TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(settings().build(), 7, actions);
        d.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "small", 0, WorkerPhase.READY, 1, 0),
                        new WorkerInfo("s2", "z", "large", 0, WorkerPhase.READY, 3, 0)));
        for (int i = 0; i < 40; i++) {
            submit(d, 1, "safe");
        }
        long large = actions.sendsTo("s2"::equals);
        assertTrue(large >= 28 && large <= 32, large + " of 40");
    }

    /**
     * Day join+vast: one job at a time, each over before the next, leaves a gateway none of its
     * jobs anywhere. The job itself counted as load, so the largest worker was always least loaded
     * and the rest idle.
     */
    @Test
    void withNoOwnJobsInFlightJobsGoInProportionToSize() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(settings().dispatcherCount(14).build(), 7, actions);
        d.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "small", 0, WorkerPhase.READY, 1, 0),
                        new WorkerInfo("s2", "z", "large", 0, WorkerPhase.READY, 3, 0)));
        for (int i = 0; i < 400; i++) {
            String id = submit(d, i * MS, "safe");
            d.attemptFinished(i * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long small = actions.sendsTo("s1"::equals);
        assertTrue(
                small >= 70 && small <= 130,
                small + " of 400 to the worker of a quarter of the size");
    }

    /**
     * Day herd+vast: without reports every worker looks of one size, and each gateway sees too few
     * of its own jobs at any one worker to learn its queue. The wait before start, learnt over all
     * workers of a kind, shows the kind whose workers are smaller than announced, and shrinks the
     * size that they are weighed by.
     */
    @Test
    void kindWithQueueingDelayGetsFewerJobs() {
        TokenBucketDispatchPolicy d =
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
        d.workersUpdated(0, WorkerListUpdateType.FULL, fleet);
        for (int i = 0; i < 400; i++) {
            long nowNs =
                    i * 300 * MS; // Each worker hears of one job of ours in some twenty seconds.
            String id = submit(d, nowNs, "safe");
            long waitNs = actions.sentTo(id).startsWith("small") ? 20 * MS : 2 * MS;
            d.attemptStarted(nowNs + waitNs, id, 0);
            d.attemptFinished(
                    nowNs + waitNs + MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long small = actions.sendsTo(w -> w.startsWith("small-"));
        // 176 where a worker's wait fades to none; 153 with the kind's wait in the size alone.
        assertTrue(small <= 40, small + " of 400 to the kind whose jobs wait ten times as long");
    }

    /**
     * Day join+vast: a new worker's queue is empty, whatever its kind's older workers make jobs
     * wait.
     */
    @Test
    void workerInSlowStartDoesNotInheritTheQueueingDelayOfItsKind() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(
                        settings()
                                .workersReportStart(true)
                                .slowStart(0.5, 100 * SECOND)
                                .overload(3, SECOND)
                                .build(),
                        7,
                        actions);
        d.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(new WorkerInfo("old", "z", "k", 0, WorkerPhase.READY, 1, 0)));
        for (int i = 0; i < 40; i++) {
            long nowNs = i * 100 * MS;
            String id = submit(d, nowNs, "safe");
            d.attemptStarted(nowNs + 20 * MS, id, 0);
            d.attemptFinished(nowNs + 21 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        d.workersUpdated(
                4 * SECOND,
                WorkerListUpdateType.DELTA,
                List.of(new WorkerInfo("new", "z", "k", 0, WorkerPhase.READY, 1, 4 * SECOND)));
        long toNew = 0;
        for (int i = 0; i < 40; i++) {
            long nowNs = 10 * SECOND + i * SECOND;
            String id = submit(d, nowNs, "safe");
            boolean cold = actions.sentTo(id).equals("new");
            toNew += cold ? 1 : 0;
            d.attemptStarted(nowNs + (cold ? 0 : 20 * MS), id, 0);
            d.attemptFinished(nowNs + 21 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        assertTrue(toNew >= 10, toNew + " of 40 to the cold worker");
    }

    /**
     * A weight that is not announced makes a worker one of mean size, not one of no size that gets
     * nothing.
     */
    @Test
    void workerWithoutWeightCountsAsMeanSize() {
        TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(settings().build(), 7, actions);
        d.workersUpdated(
                0,
                WorkerListUpdateType.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "std", 0, WorkerPhase.READY, 0, 0),
                        new WorkerInfo("s2", "z", "std", 0, WorkerPhase.READY, 4, 0)));
        for (int i = 0; i < 20; i++) {
            submit(d, 1, "safe");
        }
        assertEquals(10, actions.sendsTo("s1"::equals));
    }

    /**
     * Day dar-index big-2: without reports a fleet full of other gateways' jobs looked free to all
     * excess.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "20, false"})
    void withoutReportsOtherDispatchersAreAssumedToHoldAsMuch(int gateways, boolean excessGoes) {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings()
                                .dispatcherCount(gateways)
                                .tenants(List.of(new Tenant("t", 1), new Tenant("u", 150)))
                                .build(),
                        "s1",
                        "s2");
        for (long nowNs = SECOND; nowNs < 4 * SECOND; nowNs += 100 * MS) {
            d.attemptFinished(
                    nowNs + 90 * MS,
                    submit(d, nowNs, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    LoadReport.NONE);
        }
        for (int i = 0; i < 5; i++) {
            d.attemptFinished(
                    4 * SECOND,
                    submit(d, 4 * SECOND, "safe", "t", null),
                    0,
                    AttemptOutcome.RESET,
                    true,
                    LoadReport.NONE);
        }
        String excess = submit(d, 4 * SECOND, "safe", "t", null);
        assertEquals(excessGoes, !actions.sentTo(excess).isEmpty());
    }
}
