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

/** Which failures eject a worker. */
class OutlierDetectionTest extends PolicyFixture {

    /** Incident i3632c1: a full worker holds few of ours, so fewest in flight fed it. */
    @Test
    void workerThatAnsweredFullCountsAsFull() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        serveJobs(d, 20, IDLE_REPORT);
        String id = submit(d, 0, "safe", null, "k");
        String full = actions.sentTo(id);
        d.attemptFinished(1, id, 0, AttemptOutcome.FULL, false, LoadReport.NONE);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(full, actions.sentTo(submit(d, 2, "safe", null, "k")));
        }
    }

    /**
     * Repeats of jobs that may have run must not feed a jam: while nothing is served they come to
     * an end.
     */
    @Test
    void retriesAreBoundedByTheRetryBudget() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3", "s4");
        for (int i = 0; i < 200; i++) {
            String id = submit(d, i * 50 * MS, "safe");
            d.attemptFinished(i * 50 * MS + 1, id, 0, AttemptOutcome.RESET, false, IDLE_REPORT);
            d.jobAbandoned(i * 50 * MS + 2, id);
            d.attemptFinished(i * 50 * MS + 3, id, 1, AttemptOutcome.CANCELLED, true, IDLE_REPORT);
        }
        assertEquals(
                208,
                actions.count("send"),
                "the whole budget, and no more while nothing is served");
    }

    /**
     * Incident i824a42: long jobs within their share filled the fleet, and cheap ones found it
     * full.
     */
    @Test
    void costlyJobWithinItsQuotaLeavesATenthOfTheFleetFree() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        for (int i = 0; i < 10; i++) {
            d.attemptFinished(
                    200 * MS, submit(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
            d.attemptFinished(
                    2 * SECOND,
                    submit(d, 0, "unsafe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    IDLE_REPORT);
        }
        long now = 9 * SECOND;
        d.workerProbed(now, "s1", true, FULL_REPORT);
        d.workerProbed(now, "s2", true, new LoadReport(1, 0, 0, 0));
        String costly = submit(d, now, "unsafe");
        assertEquals(0, actions.count("send " + costly), "one of sixteen slots is free");
        assertEquals(1, actions.count("send " + submit(d, now, "safe")));
        d.workerProbed(now, "s1", true, IDLE_REPORT);
        d.timerFired(now + 50 * MS, "sweep");
        assertEquals(1, actions.count("send " + costly));
    }

    /**
     * Day caerdydd-main rough-2: a first job that ran for no time made its class free, and all of
     * it was refused.
     */
    @Test
    void jobThatTookNoTimeDoesNotDistortItsClass() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1");
        d.attemptFinished(0, submit(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        for (int i = 0; i < 5; i++) {
            assertEquals(1, actions.count("send " + submit(d, SECOND, "safe")));
        }
    }

    /**
     * A second job under an id in hand must not take the first one's place, nor bring a second
     * answer.
     */
    @Test
    void idInFlightIsNotAcceptedTwice() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        String id = submit(d, 0, "unsafe");
        d.jobArrived(1, new Job(id, "safe", null, null, SECOND, 1, 0));
        d.attemptFinished(2, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        d.timerFired(2 * SECOND, "sweep");
        assertEquals(1, actions.count("send " + id));
        assertEquals(
                1,
                actions.count("fail " + id) + actions.count("refuse " + id),
                "the first job's one answer");
    }

    /** Day cnx-scooter-core overload: long jobs filled the queues while short ones waited. */
    @Test
    void costlyJobWaitsForFreeCapacityAndCheapOnesDoNot() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1");
        for (int i = 0; i < 3; i++) {
            d.attemptFinished(
                    100 * MS, submit(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_REPORT);
            d.attemptFinished(
                    3 * SECOND,
                    submit(d, 0, "unsafe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    FULL_REPORT);
        }
        long now = 13 * SECOND;
        d.workerProbed(now, "s1", true, FULL_REPORT);
        String costly = submit(d, now, "unsafe");
        assertEquals(0, actions.count("send " + costly));
        String cheap = submit(d, now, "safe");
        assertEquals(1, actions.count("send " + cheap));
        d.attemptFinished(now + MS, cheap, 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        d.timerFired(now + 50 * MS, "sweep");
        assertEquals(1, actions.count("send " + costly));
    }

    /**
     * Incident if06dc5: one tenant's jobs failed everywhere, and the workers were ejected for it.
     */
    @Test
    void failuresOfOneTenantsJobsDoNotCountAgainstTheWorkers() {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings()
                                .tenants(List.of(new Tenant("bad", 1000), new Tenant("good", 1000)))
                                .build(),
                        "s1",
                        "s2",
                        "s3",
                        "s4");
        for (int i = 0; i < 400; i++) {
            String good = submit(d, i * 100 * MS, "safe", "good", null);
            String bad = submit(d, i * 100 * MS, "safe", "bad", null);
            d.attemptFinished(i * 100 * MS, bad, 0, AttemptOutcome.ERROR, true, LoadReport.NONE);
            d.attemptFinished(i * 100 * MS, good, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long before = actions.count("send");
        String bad = submit(d, 40 * SECOND, "safe", "bad", null);
        d.attemptFinished(40 * SECOND, bad, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals(
                before + 1, actions.count("send"), "no further attempt for what fails everywhere");
        Set<String> open = new TreeSet<>();
        for (int i = 0; i < 4; i++) {
            open.add(actions.sentTo(submit(d, 40 * SECOND, "safe", "good", null)));
        }
        assertEquals(4, open.size(), "no worker is ejected");
    }

    /**
     * Incident i9b503f: one job went from worker to worker and each died of it, with all that it
     * held.
     */
    @Test
    void jobWhoseConnectionsWereResetTwiceIsNotSentAThirdTime() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(d, 0, "safe");
        d.attemptFinished(1, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, actions.count("send " + id), "the first may be an innocent one");
        d.attemptFinished(2, id, 1, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, actions.count("send " + id));
        assertEquals(1, actions.count("refuse " + id));
    }

    /**
     * Incident id90802: workers that lost a few jobs seemed to hold them and stood idle; late
     * starts undo it.
     */
    @Test
    void jobThatNeverStartsIsPresumedLost() {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings().workersReportStart(true).allowsCancellation(false).build(),
                        "s1",
                        "s2");
        for (int i = 0; i < 9; i++) {
            String id = submit(d, i * 3 * SECOND, "unsafe");
            d.attemptStarted(i * 3 * SECOND + MS, id, 0);
            d.timerFired(i * 3 * SECOND + 2 * SECOND, "sweep");
            d.attemptFinished(
                    i * 3 * SECOND + 2 * SECOND,
                    id,
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    LoadReport.NONE);
        }
        long nowNs = 40 * SECOND;
        String lost = submit(d, nowNs, "unsafe");
        String other = submit(d, nowNs, "unsafe");
        d.attemptStarted(nowNs, other, 0);
        d.timerFired(nowNs + 5 * SECOND, "sweep");
        assertEquals(
                actions.sentTo(lost),
                actions.sentTo(submit(d, nowNs + 5 * SECOND, "safe")),
                "it holds none now");
        d.attemptStarted(nowNs + 6 * SECOND, lost, 0);
        d.attemptFinished(
                nowNs + 6 * SECOND, other, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        assertEquals(
                actions.sentTo(other),
                actions.sentTo(submit(d, nowNs + 6 * SECOND, "safe")),
                "it does again");
    }

    /**
     * Incident id90802: four workers that turned jobs away held none, so they drew half of all
     * attempts.
     */
    @Test
    void workerThatAnsweredFullAttractsNoJobsForHoldingTheFewest() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        String id = submit(d, 0, "safe");
        String full = actions.sentTo(id);
        d.attemptFinished(MS, id, 0, AttemptOutcome.FULL, false, LoadReport.NONE);
        for (int i = 0; i < 3; i++) {
            assertNotEquals(full, actions.sentTo(submit(d, 2 * MS, "safe")));
        }
        assertEquals(
                full,
                actions.sentTo(submit(d, 2 * SECOND, "safe")),
                "a job there may have ended since");
    }
}
