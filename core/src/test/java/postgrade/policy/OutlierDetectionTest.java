package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.Job;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.Tenant;

/** Ejection of failing workers, full workers and the retry budget. */
class OutlierDetectionTest extends PolicyFixture {

    /**
     * A full worker holds few jobs of this dispatcher, so selecting by the fewest in flight would
     * send it even more.
     */
    @Test
    void workerThatAnsweredFullCountsAsFull() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        serveJobs(policy, 20, IDLE_REPORT);
        String id = submit(policy, 0, "safe", null, "k");
        String full = actions.sentTo(id);
        policy.attemptFinished(1, id, 0, AttemptOutcome.FULL, false, LoadReport.NONE);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(full, actions.sentTo(submit(policy, 2, "safe", null, "k")));
        }
    }

    /**
     * Repeats of jobs that may have run must not amplify an overload: while no job is served they
     * cease.
     */
    @Test
    void retriesAreBoundedByTheRetryBudget() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3", "s4");
        for (int i = 0; i < 200; i++) {
            String id = submit(policy, i * 50 * MS, "safe");
            policy.attemptFinished(
                    i * 50 * MS + 1, id, 0, AttemptOutcome.RESET, false, IDLE_REPORT);
            policy.jobAbandoned(i * 50 * MS + 2, id);
            policy.attemptFinished(
                    i * 50 * MS + 3, id, 1, AttemptOutcome.CANCELLED, true, IDLE_REPORT);
        }
        assertEquals(
                208, actions.count("send"), "the whole budget, and no more while no job is served");
    }

    /**
     * Without a reserve, long jobs within their quota fill the fleet and cheap jobs find it full.
     */
    @Test
    void costlyJobWithinItsQuotaLeavesATenthOfTheFleetFree() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        for (int i = 0; i < 10; i++) {
            policy.attemptFinished(
                    200 * MS,
                    submit(policy, 0, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    IDLE_REPORT);
            policy.attemptFinished(
                    2 * SECOND,
                    submit(policy, 0, "unsafe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    IDLE_REPORT);
        }
        long now = 9 * SECOND;
        policy.workerProbed(now, "s1", true, FULL_REPORT);
        policy.workerProbed(now, "s2", true, new LoadReport(1, 0, 0, 0));
        String costly = submit(policy, now, "unsafe");
        assertEquals(0, actions.count("send " + costly), "one of sixteen slots is free");
        assertEquals(1, actions.count("send " + submit(policy, now, "safe")));
        policy.workerProbed(now, "s1", true, IDLE_REPORT);
        policy.timerFired(now + 50 * MS, "sweep");
        assertEquals(1, actions.count("send " + costly));
    }

    /**
     * A first job that takes no time must not make its class appear free of cost, which would get
     * all its jobs rejected.
     */
    @Test
    void jobThatTookNoTimeDoesNotDistortItsClass() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1");
        policy.attemptFinished(
                0, submit(policy, 0, "safe"), 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        for (int i = 0; i < 5; i++) {
            assertEquals(1, actions.count("send " + submit(policy, SECOND, "safe")));
        }
    }

    /**
     * A second job with an id in flight must neither replace the first one nor cause a second
     * answer.
     */
    @Test
    void idInFlightIsNotAcceptedTwice() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        String id = submit(policy, 0, "unsafe");
        policy.jobArrived(1, new Job(id, "safe", null, null, SECOND, 1, 0));
        policy.attemptFinished(2, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        policy.timerFired(2 * SECOND, "sweep");
        assertEquals(1, actions.count("send " + id));
        assertEquals(
                1,
                actions.count("fail " + id) + actions.count("reject " + id),
                "one answer for the first job");
    }

    /** Without this, long jobs fill the queues of an overloaded fleet while short ones wait. */
    @Test
    void costlyJobWaitsForFreeCapacityAndCheapOnesDoNot() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1");
        for (int i = 0; i < 3; i++) {
            policy.attemptFinished(
                    100 * MS,
                    submit(policy, 0, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    FULL_REPORT);
            policy.attemptFinished(
                    3 * SECOND,
                    submit(policy, 0, "unsafe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    FULL_REPORT);
        }
        long now = 13 * SECOND;
        policy.workerProbed(now, "s1", true, FULL_REPORT);
        String costly = submit(policy, now, "unsafe");
        assertEquals(0, actions.count("send " + costly));
        String cheap = submit(policy, now, "safe");
        assertEquals(1, actions.count("send " + cheap));
        policy.attemptFinished(now + MS, cheap, 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        policy.timerFired(now + 50 * MS, "sweep");
        assertEquals(1, actions.count("send " + costly));
    }

    /** Jobs of one tenant that fail at every worker must not get the workers ejected. */
    @Test
    void failuresOfOneTenantsJobsDoNotCountAgainstTheWorkers() {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings()
                                .tenants(List.of(new Tenant("bad", 1000), new Tenant("good", 1000)))
                                .build(),
                        "s1",
                        "s2",
                        "s3",
                        "s4");
        for (int i = 0; i < 400; i++) {
            String good = submit(policy, i * 100 * MS, "safe", "good", null);
            String bad = submit(policy, i * 100 * MS, "safe", "bad", null);
            policy.attemptFinished(
                    i * 100 * MS, bad, 0, AttemptOutcome.ERROR, true, LoadReport.NONE);
            policy.attemptFinished(
                    i * 100 * MS, good, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long before = actions.count("send");
        String bad = submit(policy, 40 * SECOND, "safe", "bad", null);
        policy.attemptFinished(40 * SECOND, bad, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals(
                before + 1,
                actions.count("send"),
                "no further attempt for jobs that fail at every worker");
        Set<String> usedWorkers = new TreeSet<>();
        for (int i = 0; i < 4; i++) {
            usedWorkers.add(actions.sentTo(submit(policy, 40 * SECOND, "safe", "good", null)));
        }
        assertEquals(4, usedWorkers.size(), "no worker is ejected");
    }

    /**
     * A job that crashes its worker must not be sent on from worker to worker, as each crash loses
     * all jobs of the worker.
     */
    @Test
    void jobWhoseConnectionsWereResetTwiceIsNotSentAThirdTime() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(policy, 0, "safe");
        policy.attemptFinished(1, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(
                2, actions.count("send " + id), "the first reset may not be caused by the job");
        policy.attemptFinished(2, id, 1, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, actions.count("send " + id));
        assertEquals(1, actions.count("reject " + id));
    }

    /**
     * Workers that lose jobs would seem to hold them forever and stay idle. A late start report
     * makes the job count again.
     */
    @Test
    void jobThatNeverStartsIsPresumedLost() {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings().workersReportStart(true).allowsCancellation(false).build(),
                        "s1",
                        "s2");
        for (int i = 0; i < 9; i++) {
            String id = submit(policy, i * 3 * SECOND, "unsafe");
            policy.attemptStarted(i * 3 * SECOND + MS, id, 0);
            policy.timerFired(i * 3 * SECOND + 2 * SECOND, "sweep");
            policy.attemptFinished(
                    i * 3 * SECOND + 2 * SECOND,
                    id,
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    LoadReport.NONE);
        }
        long nowNs = 40 * SECOND;
        String lost = submit(policy, nowNs, "unsafe");
        String other = submit(policy, nowNs, "unsafe");
        policy.attemptStarted(nowNs, other, 0);
        policy.timerFired(nowNs + 5 * SECOND, "sweep");
        assertEquals(
                actions.sentTo(lost),
                actions.sentTo(submit(policy, nowNs + 5 * SECOND, "safe")),
                "the lost job no longer counts");
        policy.attemptStarted(nowNs + 6 * SECOND, lost, 0);
        policy.attemptFinished(
                nowNs + 6 * SECOND, other, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        assertEquals(
                actions.sentTo(other),
                actions.sentTo(submit(policy, nowNs + 6 * SECOND, "safe")),
                "it counts again after its start");
    }

    /**
     * Workers that reject jobs hold none and would attract more of them: four such workers got half
     * of all attempts.
     */
    @Test
    void workerThatAnsweredFullAttractsNoJobsForHoldingTheFewest() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        String id = submit(policy, 0, "safe");
        String full = actions.sentTo(id);
        policy.attemptFinished(MS, id, 0, AttemptOutcome.FULL, false, LoadReport.NONE);
        for (int i = 0; i < 3; i++) {
            assertNotEquals(full, actions.sentTo(submit(policy, 2 * MS, "safe")));
        }
        assertEquals(
                full,
                actions.sentTo(submit(policy, 2 * SECOND, "safe")),
                "a job there may have ended since");
    }
}
