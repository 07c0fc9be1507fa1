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

/** What workers in slow start are sent. */
class SlowStartTest extends PolicyFixture {

    /**
     * Days caerdydd-main-later: an even part of a cold worker's budget was under one job for each
     * of 200.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 200})
    void allDispatchersTogetherUseTheSlowStartBudgetAndNoMore(int count) {
        List<TokenBucketDispatchPolicy> gateways =
                dispatchersWithWorkerInSlowStart(count, 10 * SECOND);
        double budget = 3 * 0.12 * 8 * 1.5;
        long sent = submitAndCountSentToS2(gateways, 30, 10 * SECOND);
        assertTrue(
                sent * 0.3 <= budget && sent * 0.3 >= budget / 4, sent + " jobs of 0.3 s at once");
        sent += submitAndCountSentToS2(gateways, 30, 11 * SECOND);
        double warmer = 0.12 + 0.88 / 24;
        assertTrue(sent * 0.3 <= budget * warmer / 0.12, sent + " jobs within one window");
        assertTrue(
                submitAndCountSentToS2(gateways, 60, 24 * SECOND) >= 2 * sent, "more as it warms");
    }

    /**
     * What a gateway sent before its restart is forgotten, so it sends nothing to cold workers for
     * a window.
     */
    @Test
    void restartedDispatcherSendsNothingToWorkersInSlowStartForOneWindow() {
        TokenBucketDispatchPolicy d =
                new TokenBucketDispatchPolicy(
                        settings().slowStart(0.5, 24 * SECOND).overload(3, 1500 * MS).build(),
                        1,
                        actions);
        d.workersUpdated(
                0, WorkerListUpdateType.CACHED, List.of(worker("s1", WorkerPhase.READY, 0)));
        d.workersUpdated(
                SECOND,
                WorkerListUpdateType.FULL,
                List.of(worker("s2", WorkerPhase.READY, SECOND)));
        submit(d, 1400 * MS, "safe");
        assertEquals(0, actions.count("send"));
        submit(d, 1600 * MS, "safe");
        assertEquals(1, actions.count("send"));
    }

    /**
     * Day join+mass: cold workers ran jobs two to four times as long, and slot-check was late at
     * most of them.
     */
    @Test
    void jobTooSlowForAWorkerInSlowStartGoesToABusyWorker() {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings().slowStart(0.2, 20 * SECOND).overload(30, SECOND).build(), "s1");
        for (int i = 0; i < 20; i++) {
            d.attemptFinished(
                    i * SECOND + 500 * MS,
                    submit(d, i * SECOND, "safe"),
                    0,
                    AttemptOutcome.SERVED,
                    true,
                    IDLE_REPORT);
        }
        long nowNs = 30 * SECOND;
        d.workersUpdated(
                nowNs, WorkerListUpdateType.DELTA, List.of(worker("s2", WorkerPhase.READY, nowNs)));
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    "s1",
                    actions.sentTo(submit(d, nowNs + i, "safe")),
                    "half a second, 1.8 s cold, wanted within one");
        }
        double before = meanServiceTimeNs(d);
        String later = submit(d, nowNs + 8 * SECOND, "safe");
        assertEquals("s2", actions.sentTo(later), "0.7 s on a worker with none of ours");
        d.attemptFinished(nowNs + 8_650 * MS, later, 0, AttemptOutcome.SERVED, true, IDLE_REPORT);
        assertTrue(meanServiceTimeNs(d) <= before, "half a second, warm: nothing new of the class");
    }

    private static double meanServiceTimeNs(TokenBucketDispatchPolicy d) {
        return d.exportState(0).stream()
                .filter(l -> l.name().equals("safe"))
                .findFirst()
                .orElseThrow()
                .values()[0];
    }

    /**
     * Cold it looks worse than all others, and a worker put back by an operator was left unused.
     */
    @Test
    void reenabledWorkerIsResetAndTriedByTheNextIdempotentJobWithinItsSlowStartBudget() {
        TokenBucketDispatchPolicy d = dispatchersWithWorkerInSlowStart(1, 0).get(0);
        d.workersUpdated(
                50 * SECOND,
                WorkerListUpdateType.FULL,
                List.of(
                        worker("s1", WorkerPhase.READY, 0),
                        worker("s2", WorkerPhase.READY, 50 * SECOND)));
        for (int i = 0; i < 40; i++) {
            String id = submit(d, 50 * SECOND + i, "safe");
            AttemptOutcome end =
                    actions.sentTo(id).equals("s2") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED;
            d.attemptFinished(50 * SECOND + i, id, 0, end, true, IDLE_REPORT);
        }
        d.workersUpdated(
                60 * SECOND,
                WorkerListUpdateType.DELTA,
                List.of(worker("s2", WorkerPhase.READY, 60 * SECOND)));
        d.workerReenabled(60 * SECOND, "s2");
        assertEquals("s1", actions.sentTo(submit(d, 60 * SECOND, "unsafe")));
        assertEquals("s2", actions.sentTo(submit(d, 60 * SECOND, "safe")));
        long before = actions.count("send");
        for (int i = 0; i < 5; i++) {
            submit(d, 60 * SECOND, "safe");
        }
        assertTrue(
                actions.recorded.stream()
                        .filter(l -> l.startsWith("send"))
                        .skip(before)
                        .anyMatch(l -> l.endsWith("s1")));
    }
}
