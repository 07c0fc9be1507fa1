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

/** No job takes effect twice: every outcome with every idempotency. */
class IdempotencyTest extends PolicyFixture {

    /**
     * Opening a connection fails for lack of a port, file descriptor or route. Ejecting the worker
     * for it would remove a healthy one from the fleet.
     */
    @Test
    void connectionThatCouldNotBeOpenedSendsTheJobElsewhereAndEjectsNoWorker() {
        String[] workers = {"s1", "s2", "s3", "s4", "s5"};
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), workers);
        String unsent = submit(policy, 0, "unsafe");
        String first = actions.sentTo(unsent);
        policy.attemptFinished(1, unsent, 0, AttemptOutcome.NO_SOCKET, false, LoadReport.NONE);
        assertNotEquals(first, actions.sentTo(unsent), "it has not run");
        policy.attemptFinished(2, unsent, 1, AttemptOutcome.SERVED, true, IDLE_REPORT);
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < workers.length; i++) {
            used.add(actions.sentTo(submit(policy, 3, "safe")));
        }
        assertEquals(Set.of(workers), used, "no worker is ejected");
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "UNREACHABLE"})
    void jobProvenNotRunIsRetriedElsewhere(AttemptOutcome outcome) {
        for (String jobClass : List.of("safe", "keyed", "zoned", "celled", "unsafe")) {
            TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3");
            String id = submit(policy, 0, jobClass);
            String first = actions.sentTo(id);
            policy.attemptFinished(1, id, 0, outcome, false, LoadReport.NONE);
            assertEquals(2, actions.count("send " + id), jobClass);
            assertNotEquals(first, actions.sentTo(id), jobClass);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "ERROR,safe,send", "RESET,safe,send", "TIMEOUT,safe,send", "CANCELLED,safe,send",
        "ERROR,keyed,send", "RESET,keyed,send", "TIMEOUT,keyed,send", "CANCELLED,keyed,send",
        "ERROR,unsafe,fail", "RESET,unsafe,fail", "TIMEOUT,unsafe,fail", "CANCELLED,unsafe,fail",
        "NOT_SENT,safe,reject", "NOT_SENT,keyed,reject", "NOT_SENT,unsafe,reject"
    })
    void jobThatMayHaveRunIsRepeatedOnlyIfItsClassAllows(
            AttemptOutcome outcome, String jobClass, String expected) {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(policy, 0, jobClass);
        int before = actions.recorded.size();
        policy.attemptFinished(1, id, 0, outcome, false, LoadReport.NONE);
        List<String> after = actions.recorded.subList(before, actions.recorded.size());
        assertEquals(1, after.size());
        assertTrue(after.get(0).startsWith(expected + " " + id), after.get(0));
    }

    @Test
    void jobNotSentToADrainingWorkerGoesToAnother() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        String id = submit(policy, 0, "unsafe");
        String draining = actions.sentTo(id);
        policy.workersUpdated(
                1,
                WorkerListUpdateType.DELTA,
                List.of(new WorkerInfo(draining, "z", "std", 0, WorkerPhase.DRAINING, 1, 0)));
        policy.attemptFinished(1, id, 0, AttemptOutcome.NOT_SENT, false, LoadReport.NONE);
        assertEquals(draining.equals("s1") ? "s2" : "s1", actions.sentTo(id));
    }

    @ParameterizedTest
    @CsvSource({"zoned,s1,t1", "celled,s1,t1"})
    void deduplicatedJobThatMayHaveRunStaysInItsScope(
            String jobClass, String worker, String workerInScope) {
        TokenBucketDispatchPolicy policy =
                newPolicy(settings().build(), worker, "s2", "s3", workerInScope, "s4", "s5");
        for (int i = 0; i < 20; i++) {
            String id = submit(policy, 0, jobClass);
            char zone = actions.sentTo(id).charAt(1);
            policy.attemptFinished(1, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
            assertEquals(zone, actions.sentTo(id).charAt(1));
            assertEquals(
                    0,
                    actions.count("reject " + id),
                    "a rejection would imply that it has not run");
        }
    }

    @Test
    void deduplicatedJobIsNotRepeatedAfterItsWindow() {
        PolicySettings settings =
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
        TokenBucketDispatchPolicy policy = newPolicy(settings, "s1", "s2");
        String id = submit(policy, 0, "keyed");
        policy.attemptFinished(2 * SECOND, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(1, actions.count("send " + id));
        assertEquals(
                1,
                actions.count("reject " + id),
                "every worker drops repeats, so a rejection is safe");
    }

    /**
     * The connection may be established late, so that a repeat decided on within the window could
     * reach the worker after it.
     */
    @Test
    void deduplicatedRepeatIsSentWithinItsWindowOrNotAtAll() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(policy, 0, "keyed");
        assertEquals(Long.MAX_VALUE, actions.sendWithinNs, "it has not run");
        policy.attemptFinished(SECOND, id, 0, AttemptOutcome.UNREACHABLE, false, LoadReport.NONE);
        assertEquals(Long.MAX_VALUE, actions.sendWithinNs, "it still has not run");
        policy.attemptFinished(3 * SECOND, id, 1, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(3, actions.count("send " + id));
        assertEquals(
                SECOND + 30 * SECOND - 3 * SECOND - 50 * MS,
                actions.sendWithinNs,
                "counted from the first attempt that may have run");
        id = submit(policy, 4 * SECOND, "safe");
        policy.attemptFinished(4 * SECOND, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        assertEquals(2, actions.count("send " + id));
        assertEquals(Long.MAX_VALUE, actions.sendWithinNs);
    }

    @Test
    void attemptsAreBounded() {
        TokenBucketDispatchPolicy policy =
                newPolicy(settings().build(), "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8");
        String id = submit(policy, 0, "unsafe");
        for (int i = 0; i < 4; i++) {
            policy.timerFired(i * SECOND / 10, "sweep");
            policy.attemptFinished(i * SECOND / 10, id, i, AttemptOutcome.FULL, false, IDLE_REPORT);
        }
        policy.timerFired(SECOND, "sweep");
        assertEquals(4, actions.count("send " + id));
        assertEquals(1, actions.count("reject " + id));
    }
}
