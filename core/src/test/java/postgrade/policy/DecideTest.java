package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;
import postgrade.policy.api.TransferredFigures;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListForm;
import postgrade.policy.api.WorkerPhase;

class DecideTest {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final LoadReport FREE = new LoadReport(8, 0, 0, 0);
    private static final LoadReport FULL_UP = new LoadReport(0, 0, 0, 0);

    private final Recorder out = new Recorder();
    private int jobNumber;

    private static PolicySettings.Builder settings() {
        return PolicySettings.builder()
                .classes(
                        List.of(
                                JobClass.of("safe", Idempotency.IDEMPOTENT),
                                new JobClass(
                                        "keyed",
                                        Idempotency.DEDUPLICATED,
                                        DeduplicationScope.ALL,
                                        30 * SECOND,
                                        SECOND,
                                        2,
                                        1,
                                        0,
                                        null,
                                        false),
                                new JobClass(
                                        "zoned",
                                        Idempotency.DEDUPLICATED,
                                        DeduplicationScope.ZONE,
                                        30 * SECOND,
                                        SECOND,
                                        2,
                                        1,
                                        0,
                                        null,
                                        false),
                                new JobClass(
                                        "celled",
                                        Idempotency.DEDUPLICATED,
                                        DeduplicationScope.CELL,
                                        30 * SECOND,
                                        SECOND,
                                        2,
                                        1,
                                        0,
                                        null,
                                        false),
                                JobClass.of("unsafe", Idempotency.NOT_IDEMPOTENT),
                                new JobClass(
                                        "big-only",
                                        Idempotency.IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        SECOND,
                                        0,
                                        1,
                                        0,
                                        "big",
                                        false),
                                new JobClass(
                                        "stream",
                                        Idempotency.IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        SECOND,
                                        0,
                                        1,
                                        0,
                                        null,
                                        true)))
                .maxRetryAfterNs(2 * SECOND)
                .maxAttempts(4);
    }

    private static WorkerInfo worker(String id, WorkerPhase phase, long bornNs) {
        return new WorkerInfo(
                id,
                "z" + id.charAt(1),
                id.startsWith("b") ? "big" : "std",
                id.charAt(1),
                phase,
                1,
                bornNs);
    }

    private TokenBucketDispatchPolicy start(PolicySettings settings, String... workers) {
        TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(settings, 7, out);
        List<WorkerInfo> list = new ArrayList<>();
        for (String id : workers) {
            list.add(worker(id, WorkerPhase.READY, 0));
        }
        d.workersUpdated(0, WorkerListForm.FULL, list);
        return d;
    }

    private String job(
            TokenBucketDispatchPolicy d, long nowNs, String jobClass, String tenant, String key) {
        String id = "j" + jobNumber++;
        d.jobArrived(nowNs, new Job(id, jobClass, tenant, key, 20 * SECOND, 1, 0));
        return id;
    }

    private String job(TokenBucketDispatchPolicy d, long nowNs, String jobClass) {
        return job(d, nowNs, jobClass, null, null);
    }

    /** Serves one job on each worker, with this report. */
    private void warmUp(TokenBucketDispatchPolicy d, int workers, LoadReport load) {
        for (int i = 0; i < workers; i++) {
            String id = job(d, i, "safe");
            d.attemptFinished(i, id, 0, AttemptOutcome.SERVED, true, load);
        }
    }

    // ---- Buckets.

    private TokenBucketDispatchPolicy oneTenant(double ratePerS, int gateways) {
        TokenBucketDispatchPolicy d =
                start(
                        settings()
                                .tenants(List.of(new Tenant("t", ratePerS)))
                                .dispatcherCount(gateways)
                                .build(),
                        "s1");
        String id = job(d, 0, "safe");
        d.attemptFinished(0, id, 0, AttemptOutcome.SERVED, true, FULL_UP);
        return d;
    }

    @Test
    void emptyBucketRefusesAtOnceWithRetryAfterAndRefills() {
        TokenBucketDispatchPolicy d = oneTenant(4, 1);
        for (int i = 0; i < 12; i++) {
            job(d, 0, "unsafe", "t", null);
        }
        assertEquals(4, out.count("refuse"), "a burst of two seconds of the rate is admitted");
        assertEquals("refuse j12 250000000", out.last("refuse"));
        d.attemptFinished(0, "j1", 0, AttemptOutcome.SERVED, true, FULL_UP);
        job(d, SECOND / 8, "safe", "t", null);
        assertEquals(5, out.count("refuse"));
        job(d, SECOND / 4, "safe", "t", null);
        assertEquals(5, out.count("refuse"), "one token after a quarter of a second");
    }

    /**
     * A part of 0.2 jobs a second with one token refused a third of the jobs of tenants within
     * their share.
     */
    @Test
    void gatewaysShareRateAndBurstEvenlyButABurstIsSomeJobsAtLeast() {
        TokenBucketDispatchPolicy d = oneTenant(20, 100);
        for (int i = 0; i < 5; i++) {
            assertFalse(out.sentTo(job(d, 0, "safe", "t", null)).isEmpty());
        }
        job(d, 0, "safe", "t", null);
        assertEquals(
                "refuse j6 2000000000",
                out.last("refuse"),
                "the next token of a hundredth of the rate");
    }

    @Test
    void refusedJobIsChargedToItsOtherBuckets() {
        PolicySettings s =
                settings().tenants(List.of(new Tenant("a", 1), new Tenant("b", 100))).build();
        TokenBucketDispatchPolicy d = start(s, "s1");
        d.attemptFinished(0, job(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_UP);
        for (int i = 0; i < 300; i++) {
            job(d, 0, "unsafe", "a", "k");
        }
        long before = out.count("refuse");
        job(d, 0, "safe", "b", "k");
        assertEquals(
                before + 1,
                out.count("refuse"),
                "tenant a's refused jobs emptied the key's bucket");
        job(d, 0, "safe", "b", "other");
        assertEquals(before + 1, out.count("refuse"));
    }

    @Test
    void evictedBucketReturnsFull() {
        PolicySettings s =
                settings()
                        .tenants(List.of(new Tenant("a", 0.1), new Tenant("b", 0.1)))
                        .mostBuckets(1)
                        .build();
        TokenBucketDispatchPolicy d = start(s, "s1");
        d.attemptFinished(0, job(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_UP);
        for (int i = 0; i < 6; i++) {
            job(d, 0, "safe", "a", null);
        }
        assertEquals(1, out.count("refuse"));
        job(d, 0, "safe", "b", null);
        job(d, 0, "safe", "a", null);
        assertEquals(1, out.count("refuse"), "a was evicted by b");
    }

    @Test
    void tenantBeyondItsRateOverdrawsOnlyVisibleRoom() {
        PolicySettings s = settings().tenants(List.of(new Tenant("t", 0.1))).build();
        TokenBucketDispatchPolicy d = start(s, "s1", "s2", "s3", "s4");
        warmUp(d, 8, FREE);
        for (int i = 0; i < 30; i++) {
            job(d, SECOND, "safe", "t", null);
        }
        assertTrue(out.count("refuse") > 0, "the reserve is kept");
        assertTrue(out.count("send") > 12, "room beyond it is used");
    }

    /**
     * Days cnx- and caerdydd-main-later big-1: reports faded to half free, so at size all excess
     * was admitted.
     */
    @Test
    void oldReportsOfABusyFleetShowNoRoomForExcess() {
        PolicySettings s = settings().tenants(List.of(new Tenant("t", 1))).build();
        TokenBucketDispatchPolicy d =
                start(s, IntStream.range(0, 20).mapToObj(i -> "s" + i).toArray(String[]::new));
        warmUp(d, 5, FREE);
        warmUp(d, 100, FULL_UP);
        for (int i = 0; i < 30; i++) {
            job(d, 20 * SECOND, "safe", "t", null);
        }
        assertEquals(25, out.count("refuse"), "all beyond the burst");
    }

    @Test
    void jobWithoutTenantOrKeyMeetsNoBucket() {
        TokenBucketDispatchPolicy d =
                start(settings().tenants(List.of(new Tenant("t", 0.1))).build(), "s1", "s2");
        for (int i = 0; i < 20; i++) {
            job(d, 0, "safe", null, null);
        }
        assertEquals(0, out.count("refuse"));
    }

    // ---- Choosing a worker.

    @Test
    void fewestOwnJobsSpreadsEvenly() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3");
        for (int i = 0; i < 6; i++) {
            job(d, 0, "safe");
        }
        for (String id : List.of("s1", "s2", "s3")) {
            assertEquals(
                    2,
                    out.said.stream().filter(l -> l.startsWith("send") && l.endsWith(id)).count());
        }
    }

    @Test
    void classBoundToAKindRunsOnlyThere() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "b1", "s2");
        assertEquals("b1", out.sentTo(job(d, 0, "big-only")));
        TokenBucketDispatchPolicy none = start(settings().build(), "s1");
        String id = job(none, 0, "big-only");
        none.timerFired(2 * SECOND, "sweep");
        assertEquals(1, out.count("refuse " + id), "no able worker: refused when hope is gone");
    }

    @Test
    void emptyListRefusesWithRetryAfterWhenHopeIsGone() {
        TokenBucketDispatchPolicy d = start(settings().build());
        String id = job(d, 0, "unsafe");
        d.timerFired(50 * MS, "sweep");
        assertEquals(0, out.count("refuse"));
        d.timerFired(1100 * MS, "sweep");
        assertEquals("refuse " + id + " 500000000", out.last("refuse"));
    }

    // ---- Rule 1: one final answer in time, nothing after.

    @Test
    void jobUnansweredAtItsDeadlineFailsOnceAndIsNotSentAgain() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        String id = job(d, 0, "unsafe");
        d.attemptFinished(20 * SECOND, id, 0, AttemptOutcome.TIMEOUT, false, LoadReport.NONE);
        d.timerFired(21 * SECOND, "sweep");
        d.clientLeft(21 * SECOND, id);
        assertEquals(1, out.count("fail " + id));
        assertEquals(1, out.count("send " + id));
        assertEquals(0, out.count("refuse " + id));
    }

    @Test
    void lateRepeatedAndUnknownEventsAreIgnored() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        String id = job(d, 0, "safe");
        d.attemptFinished(1, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        int said = out.said.size();
        d.attemptFinished(2, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        d.attemptFinished(2, "nobody", 3, AttemptOutcome.FULL, false, LoadReport.NONE);
        d.attemptStarted(2, id, 0);
        d.attemptProgressed(2, "nobody", -1, 0.5);
        d.attemptStreaming(2, "nobody", 0);
        d.clientLeft(2, id);
        d.workerProbed(2, "nobody", true, FREE);
        d.timerFired(2, "unheard of");
        assertEquals(said, out.said.size());
    }

    @Test
    void streamThatHasBegunHasNoDeadline() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1");
        String id = job(d, 0, "stream");
        d.attemptStreaming(SECOND, id, 0);
        d.timerFired(30 * SECOND, "sweep");
        assertEquals(0, out.count("fail") + out.count("refuse"));
    }

    // ---- Rule 2: no effect twice. Every outcome against every kind of class.

    /**
     * For want of a port, a descriptor or a route: an ejection would take a healthy worker from the
     * fleet.
     */
    @Test
    void aConnectionThatCouldNotBeBegunSendsTheJobElsewhereAndEjectsNobody() {
        String[] workers = {"s1", "s2", "s3", "s4", "s5"};
        TokenBucketDispatchPolicy d = start(settings().build(), workers);
        String unsent = job(d, 0, "unsafe");
        String first = out.sentTo(unsent);
        d.attemptFinished(1, unsent, 0, AttemptOutcome.NO_SOCKET, false, LoadReport.NONE);
        assertNotEquals(first, out.sentTo(unsent), "it has run nowhere");
        d.attemptFinished(2, unsent, 1, AttemptOutcome.SERVED, true, FREE);
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < workers.length; i++) {
            used.add(out.sentTo(job(d, 3, "safe")));
        }
        assertEquals(Set.of(workers), used, "none is left out");
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "UNREACHABLE"})
    void provenNotRunIsTriedElsewhere(AttemptOutcome outcome) {
        for (String c : List.of("safe", "keyed", "zoned", "celled", "unsafe")) {
            TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3");
            String id = job(d, 0, c);
            String first = out.sentTo(id);
            d.attemptFinished(1, id, 0, outcome, false, LoadReport.NONE);
            assertEquals(2, out.count("send " + id), c);
            assertNotEquals(first, out.sentTo(id), c);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "ERROR,safe,send", "RESET,safe,send", "TIMEOUT,safe,send", "CANCELLED,safe,send",
        "ERROR,keyed,send", "RESET,keyed,send", "TIMEOUT,keyed,send", "CANCELLED,keyed,send",
        "ERROR,unsafe,fail", "RESET,unsafe,fail", "TIMEOUT,unsafe,fail", "CANCELLED,unsafe,fail",
        "NOT_SENT,safe,refuse", "NOT_SENT,keyed,refuse", "NOT_SENT,unsafe,refuse"
    })
    void mayHaveRunIsRepeatedOnlyAsTheClassAllows(
            AttemptOutcome outcome, String jobClass, String expected) {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3");
        String id = job(d, 0, jobClass);
        int before = out.said.size();
        d.attemptFinished(1, id, 0, outcome, false, LoadReport.NONE);
        List<String> after = out.said.subList(before, out.said.size());
        assertEquals(1, after.size());
        assertTrue(after.get(0).startsWith(expected + " " + id), after.get(0));
    }

    @Test
    void notSentToAWorkerThatLeavesGoesToAnother() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        String id = job(d, 0, "unsafe");
        String leaving = out.sentTo(id);
        d.workersUpdated(
                1,
                WorkerListForm.DELTA,
                List.of(new WorkerInfo(leaving, "z", "std", 0, WorkerPhase.DRAINING, 1, 0)));
        d.attemptFinished(1, id, 0, AttemptOutcome.NOT_SENT, false, LoadReport.NONE);
        assertEquals(leaving.equals("s1") ? "s2" : "s1", out.sentTo(id));
    }

    @ParameterizedTest
    @CsvSource({"zoned,s1,t1", "celled,s1,t1"})
    void keyedJobThatMayHaveRunStaysInItsGroup(String jobClass, String one, String same) {
        TokenBucketDispatchPolicy d = start(settings().build(), one, "s2", "s3", same, "s4", "s5");
        for (int i = 0; i < 20; i++) {
            String id = job(d, 0, jobClass);
            char zone = out.sentTo(id).charAt(1);
            d.attemptFinished(1, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
            assertEquals(zone, out.sentTo(id).charAt(1));
            assertEquals(
                    0, out.count("refuse " + id), "a refusal would promise that it had not run");
        }
    }

    @Test
    void keyedJobIsNotRepeatedAfterItsWindow() {
        PolicySettings s =
                PolicySettings.builder()
                        .classes(
                                List.of(
                                        new JobClass(
                                                "keyed",
                                                Idempotency.DEDUPLICATED,
                                                DeduplicationScope.ALL,
                                                2 * SECOND,
                                                SECOND,
                                                0,
                                                1,
                                                0,
                                                null,
                                                false)))
                        .build();
        TokenBucketDispatchPolicy d = start(s, "s1", "s2");
        String id = job(d, 0, "keyed");
        d.attemptFinished(2 * SECOND, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(1, out.count("send " + id));
        assertEquals(
                1,
                out.count("refuse " + id),
                "every worker drops repeats, so a refusal stays harmless");
    }

    /**
     * Its connection may come up late: what was decided within the window would come to its worker
     * behind it.
     */
    @Test
    void keyedRepeatGoesOutWithinItsWindowOrNotAtAllAndOthersWhenever() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3");
        String id = job(d, 0, "keyed");
        assertEquals(Long.MAX_VALUE, out.windowNs, "it has not run");
        d.attemptFinished(SECOND, id, 0, AttemptOutcome.UNREACHABLE, false, LoadReport.NONE);
        assertEquals(Long.MAX_VALUE, out.windowNs, "nor now");
        d.attemptFinished(3 * SECOND, id, 1, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(3, out.count("send " + id));
        assertEquals(
                SECOND + 30 * SECOND - 3 * SECOND - 50 * MS,
                out.windowNs,
                "from the first that may have run");
        id = job(d, 4 * SECOND, "safe");
        d.attemptFinished(4 * SECOND, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, out.count("send " + id));
        assertEquals(Long.MAX_VALUE, out.windowNs);
    }

    @Test
    void attemptsAreBounded() {
        TokenBucketDispatchPolicy d =
                start(settings().build(), "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8");
        String id = job(d, 0, "unsafe");
        for (int i = 0; i < 4; i++) {
            d.timerFired(i * SECOND / 10, "sweep");
            d.attemptFinished(i * SECOND / 10, id, i, AttemptOutcome.FULL, false, FREE);
        }
        d.timerFired(SECOND, "sweep");
        assertEquals(4, out.count("send " + id));
        assertEquals(1, out.count("refuse " + id));
    }

    // ---- Where workers report nothing.

    /**
     * Incident ia1e7e7: with all sizes equal the workers with few slots were full and the others
     * half idle.
     */
    @Test
    void withoutReportsJobsFollowTheSizesThatTheListAnnounces() {
        TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(settings().build(), 7, out);
        d.workersUpdated(
                0,
                WorkerListForm.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "small", 0, WorkerPhase.READY, 1, 0),
                        new WorkerInfo("s2", "z", "large", 0, WorkerPhase.READY, 3, 0)));
        for (int i = 0; i < 40; i++) {
            job(d, 1, "safe");
        }
        long large = out.sendsTo("s2"::equals);
        assertTrue(large >= 28 && large <= 32, large + " of 40");
    }

    /**
     * Day join+vast: one job at a time, each over before the next, leaves a gateway none of its
     * jobs anywhere. The job itself counted as load, so the largest worker was always least loaded
     * and the rest idle.
     */
    @Test
    void withNoneOfOursAnywhereJobsGoInProportionToSize() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(settings().dispatcherCount(14).build(), 7, out);
        d.workersUpdated(
                0,
                WorkerListForm.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "small", 0, WorkerPhase.READY, 1, 0),
                        new WorkerInfo("s2", "z", "large", 0, WorkerPhase.READY, 3, 0)));
        for (int i = 0; i < 400; i++) {
            String id = job(d, i * MS, "safe");
            d.attemptFinished(i * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long small = out.sendsTo("s1"::equals);
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
    void jobsGoLessToAKindWhoseJobsWaitBeforeTheyStart() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(
                        settings().dispatcherCount(14).workersReportStart(true).build(), 7, out);
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
        d.workersUpdated(0, WorkerListForm.FULL, fleet);
        for (int i = 0; i < 400; i++) {
            long nowNs =
                    i * 300 * MS; // Each worker hears of one job of ours in some twenty seconds.
            String id = job(d, nowNs, "safe");
            long waitNs = out.sentTo(id).startsWith("small") ? 20 * MS : 2 * MS;
            d.attemptStarted(nowNs + waitNs, id, 0);
            d.attemptFinished(
                    nowNs + waitNs + MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long small = out.sendsTo(w -> w.startsWith("small-"));
        // 176 where a worker's wait fades to none; 153 with the kind's wait in the size alone.
        assertTrue(small <= 40, small + " of 400 to the kind whose jobs wait ten times as long");
    }

    /**
     * Day join+vast: a new worker's queue is empty, whatever its kind's older workers make jobs
     * wait.
     */
    @Test
    void aColdWorkerIsNotTakenToWaitAsLongAsItsKind() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(
                        settings()
                                .workersReportStart(true)
                                .slowStart(0.5, 100 * SECOND)
                                .overload(3, SECOND)
                                .build(),
                        7,
                        out);
        d.workersUpdated(
                0,
                WorkerListForm.FULL,
                List.of(new WorkerInfo("old", "z", "k", 0, WorkerPhase.READY, 1, 0)));
        for (int i = 0; i < 40; i++) {
            long nowNs = i * 100 * MS;
            String id = job(d, nowNs, "safe");
            d.attemptStarted(nowNs + 20 * MS, id, 0);
            d.attemptFinished(nowNs + 21 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        d.workersUpdated(
                4 * SECOND,
                WorkerListForm.DELTA,
                List.of(new WorkerInfo("new", "z", "k", 0, WorkerPhase.READY, 1, 4 * SECOND)));
        long toNew = 0;
        for (int i = 0; i < 40; i++) {
            long nowNs = 10 * SECOND + i * SECOND;
            String id = job(d, nowNs, "safe");
            boolean cold = out.sentTo(id).equals("new");
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
    void workerWithoutWeightCountsAsOneOfMeanSize() {
        TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(settings().build(), 7, out);
        d.workersUpdated(
                0,
                WorkerListForm.FULL,
                List.of(
                        new WorkerInfo("s1", "z", "std", 0, WorkerPhase.READY, 0, 0),
                        new WorkerInfo("s2", "z", "std", 0, WorkerPhase.READY, 4, 0)));
        for (int i = 0; i < 20; i++) {
            job(d, 1, "safe");
        }
        assertEquals(10, out.sendsTo("s1"::equals));
    }

    /**
     * Day dar-index big-2: without reports a fleet full of other gateways' jobs looked free to all
     * excess.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "20, false"})
    void withoutReportsOtherGatewaysAreTakenToHoldAsMuch(int gateways, boolean excessGoes) {
        TokenBucketDispatchPolicy d =
                start(
                        settings()
                                .dispatcherCount(gateways)
                                .tenants(List.of(new Tenant("t", 1), new Tenant("u", 150)))
                                .build(),
                        "s1",
                        "s2");
        for (long nowNs = SECOND; nowNs < 4 * SECOND; nowNs += 100 * MS) {
            d.attemptFinished(
                    nowNs + 90 * MS,
                    job(d, nowNs, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    LoadReport.NONE);
        }
        for (int i = 0; i < 5; i++) {
            d.attemptFinished(
                    4 * SECOND,
                    job(d, 4 * SECOND, "safe", "t", null),
                    0,
                    AttemptOutcome.RESET,
                    true,
                    LoadReport.NONE);
        }
        String excess = job(d, 4 * SECOND, "safe", "t", null);
        assertEquals(excessGoes, !out.sentTo(excess).isEmpty());
    }

    // ---- Rule 3: drains.

    @Test
    void drainingGoneAndUnlistedWorkersGetNothing() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3", "s4");
        d.workersUpdated(
                1,
                WorkerListForm.DELTA,
                List.of(worker("s1", WorkerPhase.DRAINING, 0), worker("s2", WorkerPhase.GONE, 0)));
        for (int i = 0; i < 8; i++) {
            String to = out.sentTo(job(d, 2, "safe"));
            assertTrue(to.equals("s3") || to.equals("s4"), to);
        }
        d.workersUpdated(3, WorkerListForm.FULL, List.of(worker("s3", WorkerPhase.READY, 0)));
        for (int i = 0; i < 8; i++) {
            assertEquals("s3", out.sentTo(job(d, 4, "safe")));
        }
    }

    /**
     * Day prairie-clips rough-2: a list that called all workers gone shut a fleet that went on
     * serving.
     */
    @Test
    void whereOnlyDrainingBindsDroppedWorkersStayOpenAndDrainedOnesShut() {
        TokenBucketDispatchPolicy d =
                start(settings().keepsUnlistedWorkers(true).build(), "s1", "s2", "s3");
        d.workersUpdated(1, WorkerListForm.DELTA, List.of(worker("s1", WorkerPhase.DRAINING, 0)));
        d.workersUpdated(
                2,
                WorkerListForm.DELTA,
                List.of(worker("s2", WorkerPhase.GONE, 0), worker("s9", WorkerPhase.GONE, 0)));
        d.workersUpdated(3, WorkerListForm.FULL, List.of());
        Set<String> to = new TreeSet<>();
        for (int i = 0; i < 8; i++) {
            to.add(out.sentTo(job(d, 4, "safe")));
        }
        assertEquals(Set.of("s2", "s3"), to, "named once and not drained");
        d.workersUpdated(5, WorkerListForm.FULL, List.of(worker("s1", WorkerPhase.READY, 0)));
        assertNotEquals(
                "s1", out.sentTo(job(d, 6, "safe")), "an older list does not undo the drain");
        d.workersUpdated(7, WorkerListForm.FULL, List.of(worker("s1", WorkerPhase.READY, 6)));
        assertEquals("s1", out.sentTo(job(d, 8, "safe")), "a new start does");
    }

    /**
     * Own attempts outweigh the list: what is dropped and refuses connections time after time is
     * forgotten.
     */
    @Test
    void droppedWorkerThatCannotBeReachedIsForgotten() {
        TokenBucketDispatchPolicy d =
                start(settings().keepsUnlistedWorkers(true).build(), "s1", "s2", "s3");
        d.workersUpdated(
                1,
                WorkerListForm.FULL,
                List.of(worker("s2", WorkerPhase.READY, 0), worker("s3", WorkerPhase.READY, 0)));
        for (int round = 1; round <= 40; round++) {
            long nowNs = round * 2 * SECOND;
            for (int i = 0; i < 4; i++) {
                String id = job(d, nowNs, "safe");
                boolean dead = out.sentTo(id).equals("s1");
                d.attemptFinished(
                        nowNs,
                        id,
                        0,
                        dead ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SERVED,
                        !dead,
                        LoadReport.NONE);
            }
        }
        d.workersUpdated(100 * SECOND, WorkerListForm.DELTA, List.of());
        long before = out.sendsTo("s1"::equals);
        for (int i = 0; i < 30; i++) {
            job(d, 200 * SECOND, "safe");
        }
        assertEquals(before, out.sendsTo("s1"::equals));
    }

    // ---- Settings that change.

    @Test
    void newSettingsBindAtOnceAndFillNoBucket() {
        PolicySettings.Builder b = settings().tenants(List.of(new Tenant("t", 4)));
        TokenBucketDispatchPolicy d = start(b.build(), "s1");
        d.attemptFinished(0, job(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_UP);
        for (int i = 0; i < 8; i++) {
            job(d, 0, "unsafe", "t", null);
        }
        long refused = out.count("refuse");
        d.settingsChanged(
                0, b.classes(List.of(JobClass.of("fresh", Idempotency.IDEMPOTENT))).build());
        job(d, 0, "fresh", "t", null);
        assertEquals(refused + 1, out.count("refuse"), "no fresh burst");
        assertThrows(IllegalArgumentException.class, () -> job(d, 0, "safe"));
        d.settingsChanged(0, b.tenants(List.of()).build());
        job(d, MS, "fresh", "t", null);
        assertFalse(out.last("send").isEmpty());
    }

    @Test
    void fewerAttemptsBindJobsUnderWayMoreDoToo_andAClassThatTurnsUnsafeKeepsItsOldJobs() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3");
        String id = job(d, 0, "safe");
        String kept = job(d, 0, "safe");
        d.settingsChanged(
                0,
                settings()
                        .classes(List.of(JobClass.of("safe", Idempotency.NOT_IDEMPOTENT)))
                        .maxAttempts(1)
                        .build());
        d.attemptFinished(MS, id, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals(
                "refuse " + id,
                out.last("refuse").substring(0, 7 + id.length()),
                "no second attempt");
        d.settingsChanged(
                0,
                settings()
                        .classes(List.of(JobClass.of("safe", Idempotency.NOT_IDEMPOTENT)))
                        .maxAttempts(6)
                        .build());
        for (int i = 0; i < 5; i++) {
            d.attemptFinished(2 * MS, kept, i, AttemptOutcome.FULL, false, LoadReport.NONE);
            d.timerFired(2 * SECOND + 60 * MS * i, "sweep");
        }
        String once = job(d, 3 * SECOND, "safe");
        d.attemptFinished(3 * SECOND, once, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals("fail " + once, out.last("fail"));
    }

    // ---- Two processes of one gateway.

    private long admitted(TokenBucketDispatchPolicy d, int jobs) {
        long refused = out.count("refuse");
        for (int i = 0; i < jobs; i++) {
            job(d, 0, "unsafe", "t", null);
        }
        return jobs - (out.count("refuse") - refused);
    }

    @Test
    void twoProcessesHaveOneBurstBetweenThem() {
        assertEquals(40, admitted(oneTenant(20, 1), 80));
        TokenBucketDispatchPolicy old = oneTenant(20, 1);
        assertEquals(10, admitted(old, 10));
        List<TransferredFigures> told = old.exportFigures(0);
        old.shareChanged(0, 0.5);
        TokenBucketDispatchPolicy fresh = oneTenant(20, 1);
        fresh.shareChanged(0, 0.5);
        fresh.importFigures(0, told);
        long both = admitted(old, 80) + admitted(fresh, 80);
        assertTrue(both <= 30 && both >= 20, both + " after 10 of 40");
    }

    @Test
    void aNewProcessKnowsWhoIsSickWhoIsSlowAndWhoOwesATrial() {
        TokenBucketDispatchPolicy old =
                start(
                        settings().slowStart(0.2, 20 * SECOND).overload(3, SECOND).build(),
                        "s1",
                        "s2",
                        "s3");
        for (int i = 0; i < 60; i++) {
            String id = job(old, i, "safe");
            old.attemptFinished(
                    i,
                    id,
                    0,
                    out.sentTo(id).equals("s2") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    true,
                    FREE);
        }
        old.workersUpdated(
                SECOND, WorkerListForm.DELTA, List.of(worker("s3", WorkerPhase.READY, SECOND)));
        old.workerReenabled(SECOND, "s3");
        List<TransferredFigures> told = new ArrayList<>(old.exportFigures(SECOND));
        told.add(new TransferredFigures("worker", "unheard of", new double[9]));
        told.add(new TransferredFigures("of a later version", "x", new double[0]));
        TokenBucketDispatchPolicy fresh =
                new TokenBucketDispatchPolicy(
                        settings().slowStart(0.2, 20 * SECOND).overload(3, SECOND).build(), 3, out);
        long now = 100 * SECOND; // Its clock is another.
        fresh.workersUpdated(
                now,
                WorkerListForm.CACHED,
                List.of(
                        worker("s1", WorkerPhase.READY, 0),
                        worker("s2", WorkerPhase.READY, 0),
                        worker("s3", WorkerPhase.READY, now)));
        fresh.importFigures(now, told);
        assertEquals(
                "s3",
                out.sentTo(job(fresh, now, "safe")),
                "the trial is owed, and all sends there are told");
        for (int i = 0; i < 20; i++) {
            assertNotEquals("s2", out.sentTo(job(fresh, now + i, "safe")), "it is ejected");
        }
    }

    /**
     * One that ended in order, or hands over, tells all it sent to a cold worker; it counts on in
     * its window.
     */
    @Test
    void whatWasSentToAColdWorkerBeforeARestartCountsInItsWindow() {
        for (boolean ended : new boolean[] {true, false}) {
            TokenBucketDispatchPolicy old = gatewaysWithColdWorker(1, 10 * SECOND).get(0);
            long sent = sentToS2(List.of(old), 30, 10 * SECOND);
            List<TransferredFigures> told =
                    old.exportFigures(10 * SECOND + 100 * MS).stream()
                            .filter(l -> ended || !l.category().equals("up"))
                            .toList();
            TokenBucketDispatchPolicy fresh =
                    new TokenBucketDispatchPolicy(
                            settings().slowStart(0.12, 24 * SECOND).overload(3, 1500 * MS).build(),
                            0,
                            out);
            fresh.workersUpdated(
                    20 * SECOND,
                    WorkerListForm.FULL,
                    List.of(worker("s2", WorkerPhase.READY, 19 * SECOND + 900 * MS)));
            fresh.importFigures(20 * SECOND, told);
            assertTrue(
                    sent > 0 && sentToS2(List.of(fresh), 30, 20 * SECOND) == 0, sent + " before");
            long later = sentToS2(List.of(fresh), 30, 21_450 * MS);
            assertTrue(
                    later > 0 == ended,
                    later + " once its window is over; after a crash, one window after the start");
        }
    }

    @Test
    void aNewProcessKnowsHowMuchOfTheFleetOthersHoldAndWhichKindWaits() {
        PolicySettings s = settings().dispatcherCount(10).workersReportStart(true).build();
        TokenBucketDispatchPolicy old = start(s, "s1", "b1");
        for (int i = 0; i < 40; i++) {
            String id = job(old, i * MS, "safe");
            long waitNs = out.sentTo(id).equals("b1") ? 900 * MS : 50 * MS;
            old.attemptStarted(i * MS + waitNs, id, 0);
            old.attemptFinished(2 * SECOND, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        List<TransferredFigures> told = old.exportFigures(3 * SECOND);
        TokenBucketDispatchPolicy fresh = start(s, "s1", "b1");
        fresh.importFigures(0, told);
        for (String of : List.of("fleet", "kind")) {
            assertEquals(figures(told, of), figures(fresh.exportFigures(0), of));
            assertNotEquals(figures(start(s, "s1", "b1").exportFigures(0), of), figures(told, of));
        }
    }

    private static List<List<Double>> figures(List<TransferredFigures> all, String of) {
        return all.stream()
                .filter(l -> l.category().equals(of))
                .sorted(Comparator.comparing(TransferredFigures::name))
                .map(l -> DoubleStream.of(l.values()).boxed().toList())
                .toList();
    }

    // ---- Rule 4: cold workers.

    /** Gateways that know s1 (8 slots, jobs of 300 ms) and hear that s2 has just started cold. */
    private List<TokenBucketDispatchPolicy> gatewaysWithColdWorker(int count, long coldNs) {
        return IntStream.range(0, count)
                .mapToObj(
                        i -> {
                            TokenBucketDispatchPolicy d =
                                    new TokenBucketDispatchPolicy(
                                            settings()
                                                    .dispatcherCount(count)
                                                    .dispatcherIndex(i)
                                                    .slowStart(0.12, 24 * SECOND)
                                                    .overload(3, 1500 * MS)
                                                    .build(),
                                            i,
                                            out);
                            d.workersUpdated(
                                    0,
                                    WorkerListForm.FULL,
                                    List.of(worker("s1", WorkerPhase.READY, 0)));
                            for (int k = 0; k < 30; k++) {
                                d.attemptFinished(
                                        300 * MS,
                                        job(d, 0, "safe"),
                                        0,
                                        AttemptOutcome.SERVED,
                                        true,
                                        FREE);
                            }
                            d.workersUpdated(
                                    coldNs,
                                    WorkerListForm.FULL,
                                    List.of(worker("s2", WorkerPhase.READY, coldNs)));
                            return d;
                        })
                .toList();
    }

    private long sentToS2(List<TokenBucketDispatchPolicy> gateways, int jobsEach, long nowNs) {
        int before = out.said.size();
        for (TokenBucketDispatchPolicy d : gateways) {
            for (int i = 0; i < jobsEach; i++) {
                job(d, nowNs, "safe");
            }
        }
        return out.said.stream()
                .skip(before)
                .filter(l -> l.startsWith("send") && l.endsWith(" s2"))
                .count();
    }

    /**
     * Days caerdydd-main-later: an even part of a cold worker's budget was under one job for each
     * of 200.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 200})
    void allGatewaysTogetherUseAColdWorkersBudgetAndNoMore(int count) {
        List<TokenBucketDispatchPolicy> gateways = gatewaysWithColdWorker(count, 10 * SECOND);
        double budget = 3 * 0.12 * 8 * 1.5;
        long sent = sentToS2(gateways, 30, 10 * SECOND);
        assertTrue(
                sent * 0.3 <= budget && sent * 0.3 >= budget / 4, sent + " jobs of 0.3 s at once");
        sent += sentToS2(gateways, 30, 11 * SECOND);
        double warmer = 0.12 + 0.88 / 24;
        assertTrue(sent * 0.3 <= budget * warmer / 0.12, sent + " jobs within one window");
        assertTrue(sentToS2(gateways, 60, 24 * SECOND) >= 2 * sent, "more as it warms");
    }

    /**
     * What a gateway sent before its restart is forgotten, so it sends nothing to cold workers for
     * a window.
     */
    @Test
    void restartedGatewayLeavesColdWorkersAloneForOneWindow() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(
                        settings().slowStart(0.5, 24 * SECOND).overload(3, 1500 * MS).build(),
                        1,
                        out);
        d.workersUpdated(0, WorkerListForm.CACHED, List.of(worker("s1", WorkerPhase.READY, 0)));
        d.workersUpdated(
                SECOND, WorkerListForm.FULL, List.of(worker("s2", WorkerPhase.READY, SECOND)));
        job(d, 1400 * MS, "safe");
        assertEquals(0, out.count("send"));
        job(d, 1600 * MS, "safe");
        assertEquals(1, out.count("send"));
    }

    /**
     * Day join+mass: cold workers ran jobs two to four times as long, and slot-check was late at
     * most of them.
     */
    @Test
    void jobThatAColdWorkerWouldRunTooLongGoesToABusyWarmOne() {
        TokenBucketDispatchPolicy d =
                start(settings().slowStart(0.2, 20 * SECOND).overload(30, SECOND).build(), "s1");
        for (int i = 0; i < 20; i++) {
            d.attemptFinished(
                    i * SECOND + 500 * MS,
                    job(d, i * SECOND, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    FREE);
        }
        long nowNs = 30 * SECOND;
        d.workersUpdated(
                nowNs, WorkerListForm.DELTA, List.of(worker("s2", WorkerPhase.READY, nowNs)));
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    "s1",
                    out.sentTo(job(d, nowNs + i, "safe")),
                    "half a second, 1.8 s cold, wanted within one");
        }
        double before = meanNs(d);
        String later = job(d, nowNs + 8 * SECOND, "safe");
        assertEquals("s2", out.sentTo(later), "0.7 s on a worker with none of ours");
        d.attemptFinished(nowNs + 8_650 * MS, later, 0, AttemptOutcome.SERVED, true, FREE);
        assertTrue(meanNs(d) <= before, "half a second, warm: nothing new of the class");
    }

    private static double meanNs(TokenBucketDispatchPolicy d) {
        return d.exportFigures(0).stream()
                .filter(l -> l.name().equals("safe"))
                .findFirst()
                .orElseThrow()
                .values()[0];
    }

    /**
     * Cold it looks worse than all others, and a worker put back by an operator was left unused.
     */
    @Test
    void workerPutBackIsForgivenAndTriedByTheNextRepeatableJobWithinItsColdBudget() {
        TokenBucketDispatchPolicy d = gatewaysWithColdWorker(1, 0).get(0);
        d.workersUpdated(
                50 * SECOND,
                WorkerListForm.FULL,
                List.of(
                        worker("s1", WorkerPhase.READY, 0),
                        worker("s2", WorkerPhase.READY, 50 * SECOND)));
        for (int i = 0; i < 40; i++) {
            String id = job(d, 50 * SECOND + i, "safe");
            AttemptOutcome end =
                    out.sentTo(id).equals("s2") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED;
            d.attemptFinished(50 * SECOND + i, id, 0, end, true, FREE);
        }
        d.workersUpdated(
                60 * SECOND,
                WorkerListForm.DELTA,
                List.of(worker("s2", WorkerPhase.READY, 60 * SECOND)));
        d.workerReenabled(60 * SECOND, "s2");
        assertEquals("s1", out.sentTo(job(d, 60 * SECOND, "unsafe")));
        assertEquals("s2", out.sentTo(job(d, 60 * SECOND, "safe")));
        long before = out.count("send");
        for (int i = 0; i < 5; i++) {
            job(d, 60 * SECOND, "safe");
        }
        assertTrue(
                out.said.stream()
                        .filter(l -> l.startsWith("send"))
                        .skip(before)
                        .anyMatch(l -> l.endsWith("s1")));
    }

    // ---- Failures found.

    /** Incident i3632c1: a full worker holds few of ours, so fewest in flight fed it. */
    @Test
    void workerThatAnsweredFullShowsNoRoom() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        warmUp(d, 20, FREE);
        String id = job(d, 0, "safe", null, "k");
        String full = out.sentTo(id);
        d.attemptFinished(1, id, 0, AttemptOutcome.FULL, false, LoadReport.NONE);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(full, out.sentTo(job(d, 2, "safe", null, "k")));
        }
    }

    /**
     * Repeats of jobs that may have run must not feed a jam: while nothing is served they come to
     * an end.
     */
    @Test
    void repeatsAreBoundedByTheRetryBudget() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3", "s4");
        for (int i = 0; i < 200; i++) {
            String id = job(d, i * 50 * MS, "safe");
            d.attemptFinished(i * 50 * MS + 1, id, 0, AttemptOutcome.RESET, false, FREE);
            d.clientLeft(i * 50 * MS + 2, id);
            d.attemptFinished(i * 50 * MS + 3, id, 1, AttemptOutcome.CANCELLED, true, FREE);
        }
        assertEquals(
                208, out.count("send"), "the whole budget, and no more while nothing is served");
    }

    /**
     * Incident i824a42: long jobs within their share filled the fleet, and cheap ones found it
     * full.
     */
    @Test
    void costlyJobWithinItsShareLeavesATenthOfTheFleetFree() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        for (int i = 0; i < 10; i++) {
            d.attemptFinished(200 * MS, job(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FREE);
            d.attemptFinished(
                    2 * SECOND, job(d, 0, "unsafe"), 0, AttemptOutcome.SERVED, true, FREE);
        }
        long now = 9 * SECOND;
        d.workerProbed(now, "s1", true, FULL_UP);
        d.workerProbed(now, "s2", true, new LoadReport(1, 0, 0, 0));
        String costly = job(d, now, "unsafe");
        assertEquals(0, out.count("send " + costly), "one of sixteen slots is free");
        assertEquals(1, out.count("send " + job(d, now, "safe")));
        d.workerProbed(now, "s1", true, FREE);
        d.timerFired(now + 50 * MS, "sweep");
        assertEquals(1, out.count("send " + costly));
    }

    /**
     * Day caerdydd-main rough-2: a first job that ran for no time made its class free, and all of
     * it was refused.
     */
    @Test
    void jobThatRanForNoTimeDoesNotUpsetTheClass() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1");
        d.attemptFinished(0, job(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FREE);
        for (int i = 0; i < 5; i++) {
            assertEquals(1, out.count("send " + job(d, SECOND, "safe")));
        }
    }

    /**
     * A second job under an id in hand must not take the first one's place, nor bring a second
     * answer.
     */
    @Test
    void idStillInHandIsNotTakenTwice() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        String id = job(d, 0, "unsafe");
        d.jobArrived(1, new Job(id, "safe", null, null, SECOND, 1, 0));
        d.attemptFinished(2, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        d.timerFired(2 * SECOND, "sweep");
        assertEquals(1, out.count("send " + id));
        assertEquals(
                1,
                out.count("fail " + id) + out.count("refuse " + id),
                "the first job's one answer");
    }

    /** Day cnx-scooter-core overload: long jobs filled the queues while short ones waited. */
    @Test
    void costlyJobWaitsForVisibleRoomAndCheapOnesDoNot() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1");
        for (int i = 0; i < 3; i++) {
            d.attemptFinished(100 * MS, job(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_UP);
            d.attemptFinished(
                    3 * SECOND, job(d, 0, "unsafe"), 0, AttemptOutcome.SERVED, true, FULL_UP);
        }
        long now = 13 * SECOND;
        d.workerProbed(now, "s1", true, FULL_UP);
        String costly = job(d, now, "unsafe");
        assertEquals(0, out.count("send " + costly));
        String cheap = job(d, now, "safe");
        assertEquals(1, out.count("send " + cheap));
        d.attemptFinished(now + MS, cheap, 0, AttemptOutcome.SERVED, true, FREE);
        d.timerFired(now + 50 * MS, "sweep");
        assertEquals(1, out.count("send " + costly));
    }

    /**
     * Incident if06dc5: one tenant's jobs failed everywhere, and the workers were ejected for it.
     */
    @Test
    void failuresOfOneTenantsJobsDoNotCountAtTheWorkers() {
        TokenBucketDispatchPolicy d =
                start(
                        settings()
                                .tenants(List.of(new Tenant("bad", 1000), new Tenant("good", 1000)))
                                .build(),
                        "s1",
                        "s2",
                        "s3",
                        "s4");
        for (int i = 0; i < 400; i++) {
            String good = job(d, i * 100 * MS, "safe", "good", null);
            String bad = job(d, i * 100 * MS, "safe", "bad", null);
            d.attemptFinished(i * 100 * MS, bad, 0, AttemptOutcome.ERROR, true, LoadReport.NONE);
            d.attemptFinished(i * 100 * MS, good, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long before = out.count("send");
        String bad = job(d, 40 * SECOND, "safe", "bad", null);
        d.attemptFinished(40 * SECOND, bad, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals(before + 1, out.count("send"), "no further attempt for what fails everywhere");
        Set<String> open = new TreeSet<>();
        for (int i = 0; i < 4; i++) {
            open.add(out.sentTo(job(d, 40 * SECOND, "safe", "good", null)));
        }
        assertEquals(4, open.size(), "no worker is ejected");
    }

    /**
     * Incident i9b503f: one job went from worker to worker and each died of it, with all that it
     * held.
     */
    @Test
    void jobWhoseWorkersBrokeOffTwiceIsNotSentAThirdTime() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3");
        String id = job(d, 0, "safe");
        d.attemptFinished(1, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, out.count("send " + id), "the first may be an innocent one");
        d.attemptFinished(2, id, 1, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, out.count("send " + id));
        assertEquals(1, out.count("refuse " + id));
    }

    /**
     * Incident id90802: workers that lost a few jobs seemed to hold them and stood idle; late
     * starts undo it.
     */
    @Test
    void jobThatNeverStartsIsNotHeldForLong() {
        TokenBucketDispatchPolicy d =
                start(
                        settings().workersReportStart(true).allowsCancellation(false).build(),
                        "s1",
                        "s2");
        for (int i = 0; i < 9; i++) {
            String id = job(d, i * 3 * SECOND, "unsafe");
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
        String lost = job(d, nowNs, "unsafe");
        String other = job(d, nowNs, "unsafe");
        d.attemptStarted(nowNs, other, 0);
        d.timerFired(nowNs + 5 * SECOND, "sweep");
        assertEquals(
                out.sentTo(lost),
                out.sentTo(job(d, nowNs + 5 * SECOND, "safe")),
                "it holds none now");
        d.attemptStarted(nowNs + 6 * SECOND, lost, 0);
        d.attemptFinished(
                nowNs + 6 * SECOND, other, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        assertEquals(
                out.sentTo(other), out.sentTo(job(d, nowNs + 6 * SECOND, "safe")), "it does again");
    }

    /**
     * Incident id90802: four workers that turned jobs away held none, so they drew half of all
     * attempts.
     */
    @Test
    void workerThatAnsweredFullDoesNotDrawJobsAsItHoldsFewest() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        String id = job(d, 0, "safe");
        String full = out.sentTo(id);
        d.attemptFinished(MS, id, 0, AttemptOutcome.FULL, false, LoadReport.NONE);
        for (int i = 0; i < 3; i++) {
            assertNotEquals(full, out.sentTo(job(d, 2 * MS, "safe")));
        }
        assertEquals(
                full, out.sentTo(job(d, 2 * SECOND, "safe")), "a job there may have ended since");
    }

    // ---- What stands beside the module's own decisions.

    @Test
    void jobThatMayNotStartYetIsRefusedAtOnceAndCostsNoToken() {
        TokenBucketDispatchPolicy d = oneTenant(4, 1);
        d.constraintsChanged(
                new JobConstraints() {
                    @Override
                    public long startsInNs(long nowNs, Job job) {
                        return 3600 * SECOND - nowNs;
                    }
                });
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    "refuse " + job(d, SECOND, "safe", "t", null) + " " + 3599 * SECOND,
                    out.last("refuse"));
        }
        d.constraintsChanged(JobConstraints.NONE);
        assertEquals("s1", out.sentTo(job(d, SECOND, "safe", "t", null)));
    }

    @Test
    void workerGetsJobsByThePartOfItThatIsThereForThem() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3");
        d.constraintsChanged(
                new JobConstraints() {
                    @Override
                    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
                        return switch (worker.id()) {
                            case "s1" -> job.tenant() == null ? 0 : 1;
                            case "s2" -> 0.25;
                            default -> 1;
                        };
                    }
                });
        for (int i = 0; i < 100; i++) {
            job(d, 0, "safe");
        }
        assertEquals(0, out.sendsTo("s1"::equals));
        assertEquals(20, out.sendsTo("s2"::equals), 4);
        assertTrue(
                IntStream.range(0, 10)
                        .mapToObj(i -> out.sentTo(job(d, 0, "safe", "t", null)))
                        .anyMatch("s1"::equals));
    }

    // ---- Queued jobs.

    /**
     * Simulated days of 60 uneven gateways: after a burst the queues held jobs that were late
     * before they began.
     */
    @Test
    void queuedJobThatCannotBeInTimeIsCalledOffAndRefused() {
        PolicySettings s = settings().workersReportStart(true).dispatcherCount(100).build();
        TokenBucketDispatchPolicy d = start(s, "s1", "s2");
        for (int i = 0; i < 40; i++) {
            d.attemptFinished(
                    100 * MS, job(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        String safe = job(d, SECOND, "safe");
        String once = job(d, SECOND, "unsafe");
        String runs = job(d, SECOND, "safe");
        d.attemptStarted(SECOND, runs, 0);
        d.timerFired(1400 * MS, "sweep");
        assertEquals(0, out.count("cancel"), "the aim is a second");
        d.timerFired(1900 * MS, "sweep");
        assertEquals("cancel " + safe + " 0", out.last("cancel"));
        assertEquals(0, out.count("cancel " + once) + out.count("cancel " + runs));
        d.attemptFinished(1910 * MS, safe, 0, AttemptOutcome.CANCELLED, false, LoadReport.NONE);
        assertEquals(1, out.count("refuse " + safe));
        assertEquals(1, out.count("send " + safe));
    }

    /**
     * Day nitra-mapy-later big-1: moved after 40 ms, jobs left queues that would have been in time.
     */
    @Test
    void queuedRepeatableJobMovesAfterHalfItsAimWhereThereIsRoom() {
        TokenBucketDispatchPolicy d =
                start(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(100)
                                .build(),
                        "s1",
                        "s2");
        warmUp(d, 20, FREE);
        String id = job(d, 0, "safe");
        d.timerFired(450 * MS, "sweep");
        assertEquals(0, out.count("cancel " + id), "the class's aim is a second");
        String first = out.sentTo(id);
        d.timerFired(500 * MS, "sweep");
        assertEquals(1, out.count("cancel " + id));
        d.attemptFinished(501 * MS, id, 0, AttemptOutcome.CANCELLED, false, LoadReport.NONE);
        assertNotEquals(first, out.sentTo(id));
        String once = job(d, 600 * MS, "unsafe");
        d.timerFired(2 * SECOND, "sweep");
        assertEquals(0, out.count("cancel " + once));
    }

    @Test
    void queuedJobStaysWithALoneWorker() {
        TokenBucketDispatchPolicy d =
                start(
                        settings()
                                .workersReportStart(true)
                                .allowsConcurrentAttempts(false)
                                .dispatcherCount(100)
                                .build(),
                        "s1");
        warmUp(d, 20, FREE);
        String id = job(d, 0, "safe");
        d.timerFired(500 * MS, "sweep");
        assertEquals(0, out.count("cancel " + id));
    }

    /**
     * Day prairie-clips big-2: a quarter of the attempts were moves whose first try ran all the
     * same.
     */
    @ParameterizedTest
    @CsvSource({"2, 0", "20, 2", "200, 6"})
    void fewGatewaysMoveLittleAsTheyPlaceWell(int gateways, int moves) {
        TokenBucketDispatchPolicy d =
                start(
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
        warmUp(d, 40, FREE);
        for (int i = 0; i < 6; i++) {
            job(d, 0, "safe");
        }
        d.timerFired(500 * MS, "sweep");
        assertEquals(moves, out.count("cancel"));
    }

    @Test
    void failingWorkersAreEjectedButNeverMostOfThemAndTriedAgain() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2", "s3", "s4", "s5");
        List<String> held = IntStream.range(0, 20).mapToObj(i -> job(d, 0, "unsafe")).toList();
        for (String id : held) {
            boolean bad = out.sentTo(id).equals("s1");
            d.attemptFinished(
                    100 * MS,
                    id,
                    0,
                    bad ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    !bad,
                    LoadReport.NONE);
        }
        for (int i = 0; i < 10; i++) {
            assertNotEquals("s1", out.sentTo(job(d, 150 * MS, "safe")));
        }
        String trial = "";
        for (int i = 0; i < 10 && !out.sentTo(trial).equals("s1"); i++) {
            trial = job(d, 10 * SECOND, "safe");
        }
        assertEquals("s1", out.sentTo(trial), "tried again");
        d.attemptFinished(10 * SECOND, trial, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        for (int i = 0; i < 10; i++) {
            assertNotEquals(
                    "s1", out.sentTo(job(d, 10 * SECOND, "safe")), "one more failure is enough");
        }

        TokenBucketDispatchPolicy all = start(settings().build(), "s1", "s2", "s3", "s4", "s5");
        for (int i = 0; i < 100; i++) {
            all.attemptFinished(
                    i, job(all, i, "unsafe"), 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        }
        assertFalse(
                out.sentTo(job(all, 101, "unsafe")).isEmpty(), "somewhere to send is always left");
    }

    /** Incident i42769e: many gateways holding nothing anywhere all chose the same fast worker. */
    @Test
    void idleWorkersAreChosenAtRandomNotTheFastestByAll() {
        Set<String> chosen = new TreeSet<>();
        for (int seed = 0; seed < 20; seed++) {
            TokenBucketDispatchPolicy d =
                    new TokenBucketDispatchPolicy(settings().build(), seed, out);
            d.workersUpdated(
                    0,
                    WorkerListForm.FULL,
                    List.of(
                            worker("b1", WorkerPhase.READY, 0),
                            worker("s2", WorkerPhase.READY, 0)));
            String a = job(d, 0, "safe");
            String b = job(d, 0, "safe");
            long fast = out.sentTo(a).equals("b1") ? 1 : 10;
            d.attemptFinished(fast * 100 * MS, a, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
            d.attemptFinished(
                    (11 - fast) * 100 * MS, b, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
            chosen.add(out.sentTo(job(d, 2 * SECOND, "safe")));
        }
        assertEquals(Set.of("b1", "s2"), chosen);
    }

    /**
     * Fast failures: each costs a job that may not be repeated, long before the worker is ejected.
     */
    @Test
    void oneFailureKeepsJobsThatMayNotBeRepeatedAway() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        String failed = job(d, 0, "safe");
        d.attemptFinished(MS, failed, 0, AttemptOutcome.ERROR, true, LoadReport.NONE);
        long there = 0;
        for (int i = 0; i < 20; i++) {
            String id = job(d, (2 + i) * MS, "unsafe");
            there += out.sentTo(id).equals(out.sentTo(failed)) ? 1 : 0;
            d.attemptFinished((2 + i) * MS, id, 0, AttemptOutcome.NOT_SENT, true, LoadReport.NONE);
        }
        assertTrue(there <= 3, "sent there nevertheless: " + there);
    }

    /** Queues that other gateways filled: what waited there is the one sign of them. */
    @Test
    void workerWhereJobsWaitToStartIsLeftAloneForAWhile() {
        TokenBucketDispatchPolicy d =
                start(settings().workersReportStart(true).build(), "s1", "s2");
        String first = job(d, 0, "safe");
        d.attemptStarted(MS, job(d, 0, "safe"), 0);
        d.attemptStarted(600 * MS, first, 0);
        for (int i = 0; i < 2; i++) {
            d.attemptFinished(700 * MS, "j" + i, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        for (int i = 0; i < 40; i++) {
            long nowNs = 700 * MS + i * 10 * MS;
            String id = job(d, nowNs, "safe");
            d.attemptStarted(nowNs + MS, id, 0);
            d.attemptFinished(nowNs + 2 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        String slow = out.sentTo(first);
        long there =
                out.said.stream().filter(l -> l.startsWith("send") && l.endsWith(slow)).count();
        assertTrue(there < 25, "sent to the one where jobs wait: " + there);
    }

    /**
     * One gateway bore all traffic while the other restarted, and refused as if that held as much
     * again.
     */
    @Test
    void whereNoJobWaitsOtherGatewaysAreTakenToHoldLess() {
        TokenBucketDispatchPolicy d =
                start(
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
            String id = job(d, nowNs, "safe");
            d.attemptStarted(nowNs + MS, id, 0);
            d.attemptFinished(
                    nowNs + 900 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        long before = out.count("refuse");
        for (int i = 0; i < 12; i++) {
            String id = job(d, nowNs + 950 * MS, "safe", "t", null);
            d.attemptStarted(nowNs + 951 * MS, id, 0);
            d.attemptFinished(
                    nowNs + 951 * MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        assertEquals(before, out.count("refuse"), "beyond its share, and there is room");
    }

    /** Workers of one kind differed by a factor of four, and each got as many jobs as the next. */
    @Test
    void fastWorkerOfAKindGetsMoreJobsThanASlowOne() {
        TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
        long nowNs = 0;
        for (int i = 0; i < 60; i++) {
            nowNs += 3 * SECOND;
            String id = job(d, nowNs, "safe");
            long ran = out.sentTo(id).equals("s1") ? SECOND : SECOND / 4;
            d.attemptFinished(nowNs + ran, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        nowNs += 10 * SECOND;
        long before = out.sendsTo("s2"::equals);
        for (int i = 0; i < 10; i++) {
            job(d, nowNs, "safe");
        }
        long fast = out.sendsTo("s2"::equals) - before;
        assertTrue(fast >= 6 && fast < 10, "to the fast one: " + fast);
    }

    @Test
    void absurdReportsDoNotDrawWork() {
        for (LoadReport absurd :
                List.of(
                        new LoadReport(-5, 0, 0, 0),
                        new LoadReport(1e12, 0, 0, 0),
                        LoadReport.NONE,
                        new LoadReport(Double.POSITIVE_INFINITY, 0, 0, 0))) {
            out.said.clear();
            TokenBucketDispatchPolicy d = start(settings().build(), "s1", "s2");
            String id = job(d, 0, "safe");
            String liar = out.sentTo(id);
            d.attemptFinished(1, id, 0, AttemptOutcome.SERVED, true, absurd);
            for (int i = 0; i < 8; i++) {
                job(d, 2, "safe");
            }
            long there =
                    out.said.stream().filter(l -> l.startsWith("send") && l.endsWith(liar)).count();
            assertTrue(there <= 5, absurd + ": " + there);
        }
    }

    // ---- The list.

    @Test
    void listIsAskedForAtTheStartAndAgainAfterAnError() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(settings().pollsWorkerList(true).build(), 1, out);
        d.workersUpdated(0, WorkerListForm.CACHED, List.of(worker("s1", WorkerPhase.READY, 0)));
        assertEquals(1, out.count("watch"));
        d.workersUpdated(1, WorkerListForm.FAILED, List.of());
        assertEquals(1, out.count("timer ask"));
        d.timerFired(SECOND, "ask");
        assertEquals(2, out.count("watch"));
        assertEquals("s1", out.sentTo(job(d, SECOND, "safe")), "the old list stays in force");
    }

    /**
     * A restarted gateway knows only its last list: what the new one no longer holds is not sent
     * to.
     */
    @Test
    void restartedGatewayFollowsTheFirstFreshList() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(settings().pollsWorkerList(true).build(), 1, out);
        d.workersUpdated(
                0,
                WorkerListForm.CACHED,
                List.of(worker("s1", WorkerPhase.READY, 0), worker("s2", WorkerPhase.READY, 0)));
        d.workersUpdated(
                SECOND,
                WorkerListForm.FULL,
                List.of(worker("s2", WorkerPhase.DRAINING, 0), worker("s3", WorkerPhase.READY, 0)));
        for (int i = 0; i < 6; i++) {
            assertEquals("s3", out.sentTo(job(d, SECOND, "safe")));
        }
    }

    /** A cut-off zone or a full connection table must not shut the workers for a whole warm-up. */
    @Test
    void workerThatWasUnreachableIsEjectedButNotTakenAsCold() {
        PolicySettings s = settings().slowStart(0.1, 20 * SECOND).overload(2, SECOND).build();
        TokenBucketDispatchPolicy d = start(s, "s1", "s2", "s3");
        warmUp(d, 20, FREE);
        String id = job(d, SECOND, "safe");
        String cut = out.sentTo(id);
        d.attemptFinished(SECOND, id, 0, AttemptOutcome.UNREACHABLE, false, LoadReport.NONE);
        for (int i = 0; i < 6; i++) {
            assertNotEquals(cut, out.sentTo(job(d, SECOND, "safe")));
        }
        String trial = "";
        for (int i = 0; i < 9 && !out.sentTo(trial).equals(cut); i++) {
            trial = job(d, 4 * SECOND, "safe");
        }
        d.attemptFinished(4 * SECOND, trial, 0, AttemptOutcome.SERVED, true, FREE);
        int before = out.said.size();
        for (int i = 0; i < 24; i++) {
            job(d, 4 * SECOND, "safe");
        }
        long sent =
                out.said.stream()
                        .skip(before)
                        .filter(l -> l.startsWith("send") && l.endsWith(cut))
                        .count();
        assertTrue(sent >= 8, "its full part again: " + sent);
    }

    @Test
    void sameSeedAndEventsGiveTheSameActions() {
        List<String> first = busyHour(5);
        assertEquals(first, busyHour(5));
        assertNotEquals(first, busyHour(6));
    }

    private List<String> busyHour(long seed) {
        Recorder mine = new Recorder();
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(
                        settings().tenants(List.of(new Tenant("t", 3))).build(), seed, mine);
        d.workersUpdated(
                0,
                WorkerListForm.FULL,
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
                    FREE);
            d.timerFired(i * 50 * MS + 2, "sweep");
        }
        return mine.said;
    }

    // ---- Settings.

    @Test
    void invalidSettingsAreNamed() {
        assertNamed("ratePerS", () -> new Tenant("t", 0));
        assertNamed("tableSize", () -> PolicySettings.builder().mostBuckets(-1));
        assertNamed("gateways", () -> PolicySettings.builder().dispatcherCount(0));
        assertNamed("classes", () -> PolicySettings.builder().build());
        assertNamed("gateway must", () -> settings().dispatcherCount(3).dispatcherIndex(3).build());
        assertNamed("gateway must", () -> settings().dispatcherIndex(-1).build());
        assertNamed("probeFee", () -> PolicySettings.builder().probes(true, -1));
        assertNamed("coldShare", () -> PolicySettings.builder().slowStart(0, 1));
        assertNamed("maxAttempts", () -> PolicySettings.builder().maxAttempts(0));
        assertNamed(
                "no-such-class",
                () ->
                        start(settings().build(), "s1")
                                .jobArrived(
                                        0,
                                        new Job("x", "no-such-class", null, null, SECOND, 1, 0)));
    }

    private static void assertNamed(String setting, Runnable call) {
        String message = assertThrows(IllegalArgumentException.class, call::run).getMessage();
        assertTrue(message.contains(setting), message);
    }
}
