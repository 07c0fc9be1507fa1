package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/** Jobs sent to workers in slow start. */
class SlowStartTest extends PolicyFixture {

    /**
     * With 200 dispatchers an even share of the budget of a worker in slow start is less than one
     * job, so that none would be sent.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 200})
    void allDispatchersTogetherUseTheSlowStartBudgetAndNoMore(int count) {
        List<TokenBucketDispatchPolicy> dispatchers =
                dispatchersWithWorkerInSlowStart(count, 10 * SECOND);
        double budget = 3 * 0.12 * 8 * 1.5;
        long sent = submitAndCountSentToS2(dispatchers, 30, 10 * SECOND);
        assertTrue(
                sent * 0.3 <= budget && sent * 0.3 >= budget / 4, sent + " jobs of 0.3 s at once");
        sent += submitAndCountSentToS2(dispatchers, 30, 11 * SECOND);
        double laterShare = 0.12 + 0.88 / 24;
        assertTrue(sent * 0.3 <= budget * laterShare / 0.12, sent + " jobs within one window");
        assertTrue(
                submitAndCountSentToS2(dispatchers, 60, 24 * SECOND) >= 2 * sent,
                "more as the slow start goes on");
    }

    /**
     * A restarted dispatcher does not know what it sent before, so it sends nothing to workers in
     * slow start for one window.
     */
    @Test
    void restartedDispatcherSendsNothingToWorkersInSlowStartForOneWindow() {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(
                        settings().slowStart(0.5, 24 * SECOND).overload(3, 1500 * MS).build(),
                        1,
                        actions);
        policy.workersUpdated(
                0, WorkerListUpdateType.CACHED, List.of(worker("s1", WorkerPhase.READY, 0)));
        policy.workersUpdated(
                SECOND,
                WorkerListUpdateType.FULL,
                List.of(worker("s2", WorkerPhase.READY, SECOND)));
        submit(policy, 1400 * MS, "safe");
        assertEquals(0, actions.count("send"));
        submit(policy, 1600 * MS, "safe");
        assertEquals(1, actions.count("send"));
    }

    /**
     * Workers in slow start run jobs two to four times as long, so that jobs with a tight latency
     * objective are late at most of them.
     */
    @Test
    void jobTooSlowForAWorkerInSlowStartGoesToABusyWorker() {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings().slowStart(0.2, 20 * SECOND).overload(30, SECOND).build(), "s1");
        for (int i = 0; i < 20; i++) {
            policy.attemptFinished(
                    i * SECOND + 500 * MS,
                    submit(policy, i * SECOND, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    IDLE_REPORT);
        }
        long nowNs = 30 * SECOND;
        policy.workersUpdated(
                nowNs, WorkerListUpdateType.DELTA, List.of(worker("s2", WorkerPhase.READY, nowNs)));
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    "s1",
                    actions.sentTo(submit(policy, nowNs + i, "safe")),
                    "service time half a second, 1.8 s in slow start, objective one second");
        }
        double before = meanServiceTimeNs(policy);
        String later = submit(policy, nowNs + 8 * SECOND, "safe");
        assertEquals("s2", actions.sentTo(later), "0.7 s on a worker without jobs");
        policy.attemptFinished(
                nowNs + 8_650 * MS, later, 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        assertTrue(
                meanServiceTimeNs(policy) <= before,
                "half a second without slow start: the mean of the class stays");
    }

    private static double meanServiceTimeNs(TokenBucketDispatchPolicy policy) {
        return policy.exportState(0).stream()
                .filter(entry -> entry.name().equals("safe"))
                .findFirst()
                .orElseThrow()
                .values()[0];
    }

    /**
     * In slow start a worker is less attractive than all others, so that one re-enabled by an
     * operator stays unused without a trial.
     */
    @Test
    void reenabledWorkerIsResetAndTriedByTheNextIdempotentJobWithinItsSlowStartBudget() {
        TokenBucketDispatchPolicy policy = dispatchersWithWorkerInSlowStart(1, 0).get(0);
        policy.workersUpdated(
                50 * SECOND,
                WorkerListUpdateType.FULL,
                List.of(
                        worker("s1", WorkerPhase.READY, 0),
                        worker("s2", WorkerPhase.READY, 50 * SECOND)));
        for (int i = 0; i < 40; i++) {
            String id = submit(policy, 50 * SECOND + i, "safe");
            AttemptOutcome outcome =
                    actions.sentTo(id).equals("s2") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED;
            policy.attemptFinished(50 * SECOND + i, id, 0, outcome, true, IDLE_REPORT);
        }
        policy.workersUpdated(
                60 * SECOND,
                WorkerListUpdateType.DELTA,
                List.of(worker("s2", WorkerPhase.READY, 60 * SECOND)));
        policy.workerReenabled(60 * SECOND, "s2");
        assertEquals("s1", actions.sentTo(submit(policy, 60 * SECOND, "unsafe")));
        assertEquals("s2", actions.sentTo(submit(policy, 60 * SECOND, "safe")));
        long before = actions.count("send");
        for (int i = 0; i < 5; i++) {
            submit(policy, 60 * SECOND, "safe");
        }
        assertTrue(
                actions.recorded.stream()
                        .filter(entry -> entry.startsWith("send"))
                        .skip(before)
                        .anyMatch(entry -> entry.endsWith("s1")));
    }
}
