package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/** No job takes effect twice: every outcome against every kind of class. */
class IdempotencyTest extends PolicyFixture {

    /**
     * For want of a port, a descriptor or a route: an ejection would take a healthy worker from the
     * fleet.
     */
    @Test
    void connectionThatCouldNotBeOpenedSendsTheJobElsewhereAndEjectsNoWorker() {
        String[] workers = {"s1", "s2", "s3", "s4", "s5"};
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), workers);
        String unsent = submit(d, 0, "unsafe");
        String first = actions.sentTo(unsent);
        d.attemptFinished(1, unsent, 0, AttemptOutcome.NO_SOCKET, false, LoadReport.NONE);
        assertNotEquals(first, actions.sentTo(unsent), "it has run nowhere");
        d.attemptFinished(2, unsent, 1, AttemptOutcome.SERVED, true, IDLE_REPORT);
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < workers.length; i++) {
            used.add(actions.sentTo(submit(d, 3, "safe")));
        }
        assertEquals(Set.of(workers), used, "none is left out");
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "UNREACHABLE"})
    void jobProvenNotRunIsRetriedElsewhere(AttemptOutcome outcome) {
        for (String c : List.of("safe", "keyed", "zoned", "celled", "unsafe")) {
            TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3");
            String id = submit(d, 0, c);
            String first = actions.sentTo(id);
            d.attemptFinished(1, id, 0, outcome, false, LoadReport.NONE);
            assertEquals(2, actions.count("send " + id), c);
            assertNotEquals(first, actions.sentTo(id), c);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "ERROR,safe,send", "RESET,safe,send", "TIMEOUT,safe,send", "CANCELLED,safe,send",
        "ERROR,keyed,send", "RESET,keyed,send", "TIMEOUT,keyed,send", "CANCELLED,keyed,send",
        "ERROR,unsafe,fail", "RESET,unsafe,fail", "TIMEOUT,unsafe,fail", "CANCELLED,unsafe,fail",
        "NOT_SENT,safe,refuse", "NOT_SENT,keyed,refuse", "NOT_SENT,unsafe,refuse"
    })
    void jobThatMayHaveRunIsRepeatedOnlyIfItsClassAllows(
            AttemptOutcome outcome, String jobClass, String expected) {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(d, 0, jobClass);
        int before = actions.recorded.size();
        d.attemptFinished(1, id, 0, outcome, false, LoadReport.NONE);
        List<String> after = actions.recorded.subList(before, actions.recorded.size());
        assertEquals(1, after.size());
        assertTrue(after.get(0).startsWith(expected + " " + id), after.get(0));
    }

    @Test
    void jobNotSentToADrainingWorkerGoesToAnother() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        String id = submit(d, 0, "unsafe");
        String leaving = actions.sentTo(id);
        d.workersUpdated(
                1,
                WorkerListUpdateType.DELTA,
                List.of(new WorkerInfo(leaving, "z", "std", 0, WorkerPhase.DRAINING, 1, 0)));
        d.attemptFinished(1, id, 0, AttemptOutcome.NOT_SENT, false, LoadReport.NONE);
        assertEquals(leaving.equals("s1") ? "s2" : "s1", actions.sentTo(id));
    }

    @ParameterizedTest
    @CsvSource({"zoned,s1,t1", "celled,s1,t1"})
    void deduplicatedJobThatMayHaveRunStaysInItsScope(String jobClass, String one, String same) {
        TokenBucketDispatchPolicy d =
                newPolicy(settings().build(), one, "s2", "s3", same, "s4", "s5");
        for (int i = 0; i < 20; i++) {
            String id = submit(d, 0, jobClass);
            char zone = actions.sentTo(id).charAt(1);
            d.attemptFinished(1, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
            assertEquals(zone, actions.sentTo(id).charAt(1));
            assertEquals(
                    0,
                    actions.count("refuse " + id),
                    "a refusal would promise that it had not run");
        }
    }

    @Test
    void deduplicatedJobIsNotRepeatedAfterItsWindow() {
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
        TokenBucketDispatchPolicy d = newPolicy(s, "s1", "s2");
        String id = submit(d, 0, "keyed");
        d.attemptFinished(2 * SECOND, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(1, actions.count("send " + id));
        assertEquals(
                1,
                actions.count("refuse " + id),
                "every worker drops repeats, so a refusal stays harmless");
    }

    /**
     * Its connection may come up late: what was decided within the window would come to its worker
     * behind it.
     */
    @Test
    void deduplicatedRepeatIsSentWithinItsWindowOrNotAtAll() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(d, 0, "keyed");
        assertEquals(Long.MAX_VALUE, actions.windowNs, "it has not run");
        d.attemptFinished(SECOND, id, 0, AttemptOutcome.UNREACHABLE, false, LoadReport.NONE);
        assertEquals(Long.MAX_VALUE, actions.windowNs, "nor now");
        d.attemptFinished(3 * SECOND, id, 1, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(3, actions.count("send " + id));
        assertEquals(
                SECOND + 30 * SECOND - 3 * SECOND - 50 * MS,
                actions.windowNs,
                "from the first that may have run");
        id = submit(d, 4 * SECOND, "safe");
        d.attemptFinished(4 * SECOND, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, actions.count("send " + id));
        assertEquals(Long.MAX_VALUE, actions.windowNs);
    }

    @Test
    void attemptsAreBounded() {
        TokenBucketDispatchPolicy d =
                newPolicy(settings().build(), "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8");
        String id = submit(d, 0, "unsafe");
        for (int i = 0; i < 4; i++) {
            d.timerFired(i * SECOND / 10, "sweep");
            d.attemptFinished(i * SECOND / 10, id, i, AttemptOutcome.FULL, false, IDLE_REPORT);
        }
        d.timerFired(SECOND, "sweep");
        assertEquals(4, actions.count("send " + id));
        assertEquals(1, actions.count("refuse " + id));
    }
}
