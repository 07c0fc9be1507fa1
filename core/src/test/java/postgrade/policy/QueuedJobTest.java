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

/** Jobs that wait at a worker: cancelled, moved or presumed lost. */
class QueuedJobTest extends PolicyFixture {

    /**
     * Simulated days of 60 uneven gateways: after a burst the queues held jobs that were late
     * before they began.
     */
    @Test
    void queuedJobThatCannotBeInTimeIsCancelledAndRejected() {
        PolicySettings s = settings().workersReportStart(true).dispatcherCount(100).build();
        TokenBucketDispatchPolicy d = newPolicy(s, "s1", "s2");
        for (int i = 0; i < 40; i++) {
            d.attemptFinished(
                    100 * MS,
                    submit(d, 0, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    LoadReport.NONE);
        }
        String safe = submit(d, SECOND, "safe");
        String once = submit(d, SECOND, "unsafe");
        String runs = submit(d, SECOND, "safe");
        d.attemptStarted(SECOND, runs, 0);
        d.timerFired(1400 * MS, "sweep");
        assertEquals(0, actions.count("cancel"), "the aim is a second");
        d.timerFired(1900 * MS, "sweep");
        assertEquals("cancel " + safe + " 0", actions.last("cancel"));
        assertEquals(0, actions.count("cancel " + once) + actions.count("cancel " + runs));
        d.attemptFinished(1910 * MS, safe, 0, AttemptOutcome.CANCELLED, false, LoadReport.NONE);
        assertEquals(1, actions.count("refuse " + safe));
        assertEquals(1, actions.count("send " + safe));
    }

    /**
     * Day nitra-mapy-later big-1: moved after 40 ms, jobs left queues that would have been in time.
     */
    @Test
    void queuedRepeatableJobMovesAfterHalfItsObjectiveIfAnotherWorkerHasCapacity() {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(100)
                                .build(),
                        "s1",
                        "s2");
        serveJobs(d, 20, IDLE_REPORT);
        String id = submit(d, 0, "safe");
        d.timerFired(450 * MS, "sweep");
        assertEquals(0, actions.count("cancel " + id), "the class's aim is a second");
        String first = actions.sentTo(id);
        d.timerFired(500 * MS, "sweep");
        assertEquals(1, actions.count("cancel " + id));
        d.attemptFinished(501 * MS, id, 0, AttemptOutcome.CANCELLED, false, LoadReport.NONE);
        assertNotEquals(first, actions.sentTo(id));
        String once = submit(d, 600 * MS, "unsafe");
        d.timerFired(2 * SECOND, "sweep");
        assertEquals(0, actions.count("cancel " + once));
    }

    @Test
    void queuedJobStaysWithTheOnlyWorker() {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(100)
                                .build(),
                        "s1");
        serveJobs(d, 20, IDLE_REPORT);
        String id = submit(d, 0, "safe");
        d.timerFired(500 * MS, "sweep");
        assertEquals(0, actions.count("cancel " + id));
    }

    /**
     * Day prairie-clips big-2: a quarter of the attempts were moves whose first try ran all the
     * same.
     */
    @ParameterizedTest
    @CsvSource({"2, 0", "20, 2", "200, 6"})
    void fewDispatchersMoveFewJobs(int gateways, int moves) {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(gateways)
                                .build(),
                        "s1",
                        "s2",
                        "s3",
                        "s4",
                        "s5",
                        "s6",
                        "s7");
        serveJobs(d, 40, IDLE_REPORT);
        for (int i = 0; i < 6; i++) {
            submit(d, 0, "safe");
        }
        d.timerFired(500 * MS, "sweep");
        assertEquals(moves, actions.count("cancel"));
    }

    @Test
    void failingWorkersAreEjectedButNeverMostOfThemAndAreRetried() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3", "s4", "s5");
        List<String> held = IntStream.range(0, 20).mapToObj(i -> submit(d, 0, "unsafe")).toList();
        for (String id : held) {
            boolean bad = actions.sentTo(id).equals("s1");
            d.attemptFinished(
                    100 * MS,
                    id,
                    0,
                    bad ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    !bad,
                    LoadReport.NONE);
        }
        for (int i = 0; i < 10; i++) {
            assertNotEquals("s1", actions.sentTo(submit(d, 150 * MS, "safe")));
        }
        String trial = "";
        for (int i = 0; i < 10 && !actions.sentTo(trial).equals("s1"); i++) {
            trial = submit(d, 10 * SECOND, "safe");
        }
        assertEquals("s1", actions.sentTo(trial), "tried again");
        d.attemptFinished(10 * SECOND, trial, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        for (int i = 0; i < 10; i++) {
            assertNotEquals(
                    "s1",
                    actions.sentTo(submit(d, 10 * SECOND, "safe")),
                    "one more failure is enough");
        }

        TokenBucketDispatchPolicy all = newPolicy(settings().build(), "s1", "s2", "s3", "s4", "s5");
        for (int i = 0; i < 100; i++) {
            all.attemptFinished(
                    i, submit(all, i, "unsafe"), 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        }
        assertFalse(
                actions.sentTo(submit(all, 101, "unsafe")).isEmpty(),
                "somewhere to send is always left");
    }

    /** Incident i42769e: many gateways holding nothing anywhere all chose the same fast worker. */
    @Test
    void idleWorkersAreSelectedAtRandomRatherThanTheFastestByAllDispatchers() {
        Set<String> chosen = new TreeSet<>();
        for (int seed = 0; seed < 20; seed++) {
            TokenBucketDispatchPolicy d =
                    new TokenBucketDispatchPolicy(settings().build(), seed, actions);
            d.workersUpdated(
                    0,
                    WorkerListUpdateType.FULL,
                    List.of(
                            worker("b1", WorkerPhase.READY, 0),
                            worker("s2", WorkerPhase.READY, 0)));
            String a = submit(d, 0, "safe");
            String b = submit(d, 0, "safe");
            long fast = actions.sentTo(a).equals("b1") ? 1 : 10;
            d.attemptFinished(fast * 100 * MS, a, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
            d.attemptFinished(
                    (11 - fast) * 100 * MS, b, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
            chosen.add(actions.sentTo(submit(d, 2 * SECOND, "safe")));
        }
        assertEquals(Set.of("b1", "s2"), chosen);
    }

    /**
     * Fast failures: each costs a job that may not be repeated, long before the worker is ejected.
     */
    @Test
    void oneFailureDivertsJobsThatMustNotRunTwice() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        String failed = submit(d, 0, "safe");
        d.attemptFinished(MS, failed, 0, AttemptOutcome.ERROR, true, LoadReport.NONE);
        long there = 0;
        for (int i = 0; i < 20; i++) {
            String id = submit(d, (2 + i) * MS, "unsafe");
            there += actions.sentTo(id).equals(actions.sentTo(failed)) ? 1 : 0;
            d.attemptFinished((2 + i) * MS, id, 0, AttemptOutcome.NOT_SENT, true, LoadReport.NONE);
        }
        assertTrue(there <= 3, "sent there nevertheless: " + there);
    }

    /** Queues that other gateways filled: what waited there is the one sign of them. */
    @Test
    void workerWithQueueingDelayGetsFewerJobsForAWhile() {
        TokenBucketDispatchPolicy d =
                newPolicy(settings().workersReportStart(true).build(), "s1", "s2");
        String first = submit(d, 0, "safe");
        d.attemptStarted(MS, submit(d, 0, "safe"), 0);
        d.attemptStarted(600 * MS, first, 0);
        for (int i = 0; i < 2; i++) {
            d.attemptFinished(700 * MS, "j" + i, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        for (int i = 0; i < 40; i++) {
            long nowNs = 700 * MS + i * 10 * MS;
            String id = submit(d, nowNs, "safe");
            d.attemptStarted(nowNs + MS, id, 0);
            d.attemptFinished(nowNs + 2 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        String slow = actions.sentTo(first);
        long there =
                actions.recorded.stream()
                        .filter(l -> l.startsWith("send") && l.endsWith(slow))
                        .count();
        assertTrue(there < 25, "sent to the one where jobs wait: " + there);
    }

    /**
     * One gateway bore all traffic while the other restarted, and refused as if that held as much
     * again.
     */
    @Test
    void otherDispatchersAreAssumedToHoldLessWhileNoJobIsQueued() {
        TokenBucketDispatchPolicy d =
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
            String id = submit(d, nowNs, "safe");
            d.attemptStarted(nowNs + MS, id, 0);
            d.attemptFinished(
                    nowNs + 900 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long before = actions.count("refuse");
        for (int i = 0; i < 12; i++) {
            String id = submit(d, nowNs + 950 * MS, "safe", "t", null);
            d.attemptStarted(nowNs + 951 * MS, id, 0);
            d.attemptFinished(
                    nowNs + 951 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        assertEquals(before, actions.count("refuse"), "beyond its share, and there is room");
    }

    /** Workers of one kind differed by a factor of four, and each got as many jobs as the next. */
    @Test
    void fastWorkerOfAKindGetsMoreJobsThanASlowOne() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        long nowNs = 0;
        for (int i = 0; i < 60; i++) {
            nowNs += 3 * SECOND;
            String id = submit(d, nowNs, "safe");
            long ran = actions.sentTo(id).equals("s1") ? SECOND : SECOND / 4;
            d.attemptFinished(nowNs + ran, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        nowNs += 10 * SECOND;
        long before = actions.sendsTo("s2"::equals);
        for (int i = 0; i < 10; i++) {
            submit(d, nowNs, "safe");
        }
        long fast = actions.sendsTo("s2"::equals) - before;
        assertTrue(fast >= 6 && fast < 10, "to the fast one: " + fast);
    }

    @Test
    void implausibleReportsDoNotAttractJobs() {
        for (LoadReport absurd :
                List.of(
                        new LoadReport(-5, 0, 0, 0),
                        new LoadReport(1e12, 0, 0, 0),
                        LoadReport.NONE,
                        new LoadReport(Double.POSITIVE_INFINITY, 0, 0, 0))) {
            actions.recorded.clear();
            TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
            String id = submit(d, 0, "safe");
            String liar = actions.sentTo(id);
            d.attemptFinished(1, id, 0, AttemptOutcome.SERVED, true, absurd);
            for (int i = 0; i < 8; i++) {
                submit(d, 2, "safe");
            }
            long there =
                    actions.recorded.stream()
                            .filter(l -> l.startsWith("send") && l.endsWith(liar))
                            .count();
            assertTrue(there <= 5, absurd + ": " + there);
        }
    }
}
