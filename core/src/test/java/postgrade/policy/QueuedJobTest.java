package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/**
 * Jobs queued at a worker, which are cancelled, moved or presumed lost, and the selection of
 * workers by queueing delay and service time.
 */
class QueuedJobTest extends PolicyFixture {

    /**
     * After a burst on 60 unevenly loaded dispatchers, queues hold jobs that are late before they
     * start.
     */
    @Test
    void queuedJobThatCannotBeInTimeIsCancelledAndRejected() {
        PolicySettings settings = settings().workersReportStart(true).dispatcherCount(100).build();
        TokenBucketDispatchPolicy policy = newPolicy(settings, "s1", "s2");
        for (int i = 0; i < 40; i++) {
            policy.attemptFinished(
                    100 * MS,
                    submit(policy, 0, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    LoadReport.NONE);
        }
        String safe = submit(policy, SECOND, "safe");
        String notRepeatable = submit(policy, SECOND, "unsafe");
        String runs = submit(policy, SECOND, "safe");
        policy.attemptStarted(SECOND, runs, 0);
        policy.timerFired(1400 * MS, "sweep");
        assertEquals(0, actions.count("cancel"), "the objective is a second");
        policy.timerFired(1900 * MS, "sweep");
        assertEquals("cancel " + safe + " 0", actions.last("cancel"));
        assertEquals(0, actions.count("cancel " + notRepeatable) + actions.count("cancel " + runs));
        policy.attemptFinished(
                1910 * MS, safe, 0, AttemptOutcome.CANCELLED, false, LoadReport.NONE);
        assertEquals(1, actions.count("reject " + safe));
        assertEquals(1, actions.count("send " + safe));
    }

    /** Moving after 40 ms would take jobs out of queues in which they would have been in time. */
    @Test
    void queuedRepeatableJobMovesAfterHalfItsObjectiveIfAnotherWorkerHasCapacity() {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(100)
                                .build(),
                        "s1",
                        "s2");
        serveJobs(policy, 20, IDLE_REPORT);
        String id = submit(policy, 0, "safe");
        policy.timerFired(450 * MS, "sweep");
        assertEquals(0, actions.count("cancel " + id), "the objective of the class is a second");
        String first = actions.sentTo(id);
        policy.timerFired(500 * MS, "sweep");
        assertEquals(1, actions.count("cancel " + id));
        policy.attemptFinished(501 * MS, id, 0, AttemptOutcome.CANCELLED, false, LoadReport.NONE);
        assertNotEquals(first, actions.sentTo(id));
        String notRepeatable = submit(policy, 600 * MS, "unsafe");
        policy.timerFired(2 * SECOND, "sweep");
        assertEquals(0, actions.count("cancel " + notRepeatable));
    }

    @Test
    void queuedJobStaysWithTheOnlyWorker() {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(100)
                                .build(),
                        "s1");
        serveJobs(policy, 20, IDLE_REPORT);
        String id = submit(policy, 0, "safe");
        policy.timerFired(500 * MS, "sweep");
        assertEquals(0, actions.count("cancel " + id));
    }

    /**
     * Without the limit a quarter of the attempts were moves of jobs whose cancelled first attempt
     * ran nevertheless.
     */
    @ParameterizedTest
    @CsvSource({"2, 0", "20, 2", "200, 6"})
    void fewDispatchersMoveFewJobs(int dispatchers, int moves) {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(dispatchers)
                                .build(),
                        "s1",
                        "s2",
                        "s3",
                        "s4",
                        "s5",
                        "s6",
                        "s7");
        serveJobs(policy, 40, IDLE_REPORT);
        for (int i = 0; i < 6; i++) {
            submit(policy, 0, "safe");
        }
        policy.timerFired(500 * MS, "sweep");
        assertEquals(moves, actions.count("cancel"));
    }

    @Test
    void failingWorkersAreEjectedButNeverMostOfThemAndAreRetried() {
        TokenBucketDispatchPolicy policy =
                newPolicy(settings().build(), "s1", "s2", "s3", "s4", "s5");
        List<String> held =
                IntStream.range(0, 20).mapToObj(i -> submit(policy, 0, "unsafe")).toList();
        for (String id : held) {
            boolean fails = actions.sentTo(id).equals("s1");
            policy.attemptFinished(
                    100 * MS,
                    id,
                    0,
                    fails ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    !fails,
                    LoadReport.NONE);
        }
        for (int i = 0; i < 10; i++) {
            assertNotEquals("s1", actions.sentTo(submit(policy, 150 * MS, "safe")));
        }
        String trial = "";
        for (int i = 0; i < 10 && !actions.sentTo(trial).equals("s1"); i++) {
            trial = submit(policy, 10 * SECOND, "safe");
        }
        assertEquals("s1", actions.sentTo(trial), "tried again");
        policy.attemptFinished(10 * SECOND, trial, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        for (int i = 0; i < 10; i++) {
            assertNotEquals(
                    "s1",
                    actions.sentTo(submit(policy, 10 * SECOND, "safe")),
                    "one more failure is enough");
        }

        TokenBucketDispatchPolicy all = newPolicy(settings().build(), "s1", "s2", "s3", "s4", "s5");
        for (int i = 0; i < 100; i++) {
            all.attemptFinished(
                    i, submit(all, i, "unsafe"), 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        }
        assertFalse(
                actions.sentTo(submit(all, 101, "unsafe")).isEmpty(), "some worker always remains");
    }

    /** Many dispatchers without jobs in flight must not all select the same fast worker. */
    @Test
    void idleWorkersAreSelectedAtRandomRatherThanTheFastestByAllDispatchers() {
        Set<String> chosen = new TreeSet<>();
        for (int seed = 0; seed < 20; seed++) {
            TokenBucketDispatchPolicy policy =
                    new TokenBucketDispatchPolicy(settings().build(), seed, actions);
            policy.workersUpdated(
                    0,
                    WorkerListUpdateType.FULL,
                    List.of(
                            worker("b1", WorkerPhase.READY, 0),
                            worker("s2", WorkerPhase.READY, 0)));
            String a = submit(policy, 0, "safe");
            String b = submit(policy, 0, "safe");
            long fast = actions.sentTo(a).equals("b1") ? 1 : 10;
            policy.attemptFinished(
                    fast * 100 * MS, a, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
            policy.attemptFinished(
                    (11 - fast) * 100 * MS, b, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
            chosen.add(actions.sentTo(submit(policy, 2 * SECOND, "safe")));
        }
        assertEquals(Set.of("b1", "s2"), chosen);
    }

    /** A worker that fails fast costs jobs that must not run twice long before it is ejected. */
    @Test
    void oneFailureDivertsJobsThatMustNotRunTwice() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        String failed = submit(policy, 0, "safe");
        policy.attemptFinished(MS, failed, 0, AttemptOutcome.ERROR, true, LoadReport.NONE);
        long sentThere = 0;
        for (int i = 0; i < 20; i++) {
            String id = submit(policy, (2 + i) * MS, "unsafe");
            sentThere += actions.sentTo(id).equals(actions.sentTo(failed)) ? 1 : 0;
            policy.attemptFinished(
                    (2 + i) * MS, id, 0, AttemptOutcome.NOT_SENT, true, LoadReport.NONE);
        }
        assertTrue(sentThere <= 3, "sent to the failing worker: " + sentThere);
    }

    /**
     * Other dispatchers fill the queue of a worker; the queueing delay of own jobs is the only sign
     * of it.
     */
    @Test
    void workerWithQueueingDelayGetsFewerJobsForAWhile() {
        TokenBucketDispatchPolicy policy =
                newPolicy(settings().workersReportStart(true).build(), "s1", "s2");
        String first = submit(policy, 0, "safe");
        policy.attemptStarted(MS, submit(policy, 0, "safe"), 0);
        policy.attemptStarted(600 * MS, first, 0);
        for (int i = 0; i < 2; i++) {
            policy.attemptFinished(
                    700 * MS, "j" + i, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        for (int i = 0; i < 40; i++) {
            long nowNs = 700 * MS + i * 10 * MS;
            String id = submit(policy, nowNs, "safe");
            policy.attemptStarted(nowNs + MS, id, 0);
            policy.attemptFinished(
                    nowNs + 2 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        String slow = actions.sentTo(first);
        long sentThere =
                actions.recorded.stream()
                        .filter(action -> action.startsWith("send") && action.endsWith(slow))
                        .count();
        assertTrue(sentThere < 25, "sent to the worker with queued jobs: " + sentThere);
    }

    /**
     * While one dispatcher restarts, the other carries all traffic. It must not reject jobs as if
     * the first one held as many.
     */
    @Test
    void otherDispatchersAreAssumedToHoldLessWhileNoJobIsQueued() {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings()
                                .workersReportStart(true)
                                .dispatcherCount(2)
                                .tenants(List.of(new Tenant("t", 1)))
                                .build(),
                        "s1",
                        "s2");
        long nowNs = 0;
        for (int i = 0; i < 400; i++) {
            nowNs += 100 * MS;
            String id = submit(policy, nowNs, "safe");
            policy.attemptStarted(nowNs + MS, id, 0);
            policy.attemptFinished(
                    nowNs + 900 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long before = actions.count("reject");
        for (int i = 0; i < 12; i++) {
            String id = submit(policy, nowNs + 950 * MS, "safe", "t", null);
            policy.attemptStarted(nowNs + 951 * MS, id, 0);
            policy.attemptFinished(
                    nowNs + 951 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        assertEquals(before, actions.count("reject"), "beyond its quota, but there is capacity");
    }

    /**
     * Workers of one kind may differ in speed by a factor of four and must not all get the same
     * number of jobs.
     */
    @Test
    void fastWorkerOfAKindGetsMoreJobsThanASlowOne() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        long nowNs = 0;
        for (int i = 0; i < 60; i++) {
            nowNs += 3 * SECOND;
            String id = submit(policy, nowNs, "safe");
            long ran = actions.sentTo(id).equals("s1") ? SECOND : SECOND / 4;
            policy.attemptFinished(
                    nowNs + ran, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        nowNs += 10 * SECOND;
        long before = actions.sendsTo("s2"::equals);
        for (int i = 0; i < 10; i++) {
            submit(policy, nowNs, "safe");
        }
        long fast = actions.sendsTo("s2"::equals) - before;
        assertTrue(fast >= 6 && fast < 10, "sent to the fast worker: " + fast);
    }

    @Test
    void implausibleReportsDoNotAttractJobs() {
        for (LoadReport implausible :
                List.of(
                        new LoadReport(-5, 0, 0, 0),
                        new LoadReport(1e12, 0, 0, 0),
                        LoadReport.NONE,
                        new LoadReport(Double.POSITIVE_INFINITY, 0, 0, 0))) {
            actions.recorded.clear();
            TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
            String id = submit(policy, 0, "safe");
            String reporter = actions.sentTo(id);
            policy.attemptFinished(1, id, 0, AttemptOutcome.SERVED, true, implausible);
            for (int i = 0; i < 8; i++) {
                submit(policy, 2, "safe");
            }
            long sentThere =
                    actions.recorded.stream()
                            .filter(
                                    action ->
                                            action.startsWith("send") && action.endsWith(reporter))
                            .count();
            assertTrue(sentThere <= 5, implausible + ": " + sentThere);
        }
    }
}
