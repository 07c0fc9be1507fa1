package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/** Transfer of learned state between two processes of one dispatcher. */
class StateTransferTest extends PolicyFixture {

    @Test
    void twoProcessesShareOneBurst() {
        assertEquals(40, submitAndCountAdmitted(policyWithOneTenant(20, 1), 80));
        TokenBucketDispatchPolicy oldProcess = policyWithOneTenant(20, 1);
        assertEquals(10, submitAndCountAdmitted(oldProcess, 10));
        List<PolicyStateEntry> exported = oldProcess.exportState(0);
        oldProcess.quotaShareChanged(0, 0.5);
        TokenBucketDispatchPolicy newProcess = policyWithOneTenant(20, 1);
        newProcess.quotaShareChanged(0, 0.5);
        newProcess.importState(0, exported);
        long admittedByBoth =
                submitAndCountAdmitted(oldProcess, 80) + submitAndCountAdmitted(newProcess, 80);
        assertTrue(
                admittedByBoth <= 30 && admittedByBoth >= 20, admittedByBoth + " after 10 of 40");
    }

    @Test
    void newProcessKnowsWhichWorkersAreEjectedOrNeedATrial() {
        TokenBucketDispatchPolicy oldProcess =
                newPolicy(
                        settings().slowStart(0.2, 20 * SECOND).overload(3, SECOND).build(),
                        "s1",
                        "s2",
                        "s3");
        for (int i = 0; i < 60; i++) {
            String id = submit(oldProcess, i, "safe");
            oldProcess.attemptFinished(
                    i,
                    id,
                    0,
                    actions.sentTo(id).equals("s2") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    true,
                    IDLE_REPORT);
        }
        oldProcess.workersUpdated(
                SECOND,
                WorkerListUpdateType.DELTA,
                List.of(worker("s3", WorkerPhase.READY, SECOND)));
        oldProcess.workerReenabled(SECOND, "s3");
        List<PolicyStateEntry> exported = new ArrayList<>(oldProcess.exportState(SECOND));
        exported.add(new PolicyStateEntry("worker", "unknown", new double[9]));
        exported.add(new PolicyStateEntry("of a later version", "x", new double[0]));
        TokenBucketDispatchPolicy newProcess =
                new TokenBucketDispatchPolicy(
                        settings().slowStart(0.2, 20 * SECOND).overload(3, SECOND).build(),
                        3,
                        actions);
        long now = 100 * SECOND; // Its clock differs.
        newProcess.workersUpdated(
                now,
                WorkerListUpdateType.CACHED,
                List.of(
                        worker("s1", WorkerPhase.READY, 0),
                        worker("s2", WorkerPhase.READY, 0),
                        worker("s3", WorkerPhase.READY, now)));
        newProcess.importState(now, exported);
        assertEquals(
                "s3",
                actions.sentTo(submit(newProcess, now, "safe")),
                "it needs a trial, and the work sent to it is known");
        for (int i = 0; i < 20; i++) {
            assertNotEquals(
                    "s2", actions.sentTo(submit(newProcess, now + i, "safe")), "it is ejected");
        }
    }

    /**
     * A process that stopped regularly or hands over exports all work sent to a worker in slow
     * start, which keeps counting in its window.
     */
    @Test
    void workSentInSlowStartBeforeARestartCountsInItsWindow() {
        for (boolean endedRegularly : new boolean[] {true, false}) {
            TokenBucketDispatchPolicy oldProcess =
                    dispatchersWithWorkerInSlowStart(1, 10 * SECOND).get(0);
            long sent = submitAndCountSentToS2(List.of(oldProcess), 30, 10 * SECOND);
            List<PolicyStateEntry> exported =
                    oldProcess.exportState(10 * SECOND + 100 * MS).stream()
                            .filter(entry -> endedRegularly || !entry.category().equals("up"))
                            .toList();
            TokenBucketDispatchPolicy newProcess =
                    new TokenBucketDispatchPolicy(
                            settings().slowStart(0.12, 24 * SECOND).overload(3, 1500 * MS).build(),
                            0,
                            actions);
            newProcess.workersUpdated(
                    20 * SECOND,
                    WorkerListUpdateType.FULL,
                    List.of(worker("s2", WorkerPhase.READY, 19 * SECOND + 900 * MS)));
            newProcess.importState(20 * SECOND, exported);
            assertTrue(
                    sent > 0 && submitAndCountSentToS2(List.of(newProcess), 30, 20 * SECOND) == 0,
                    sent + " before");
            long sentLater = submitAndCountSentToS2(List.of(newProcess), 30, 21_450 * MS);
            assertTrue(
                    sentLater > 0 == endedRegularly,
                    sentLater
                            + " once its window is over; after a crash, one window after the start");
        }
    }

    @Test
    void newProcessKnowsTheLoadOfOtherDispatchersAndTheQueueingDelayOfKinds() {
        PolicySettings settings = settings().dispatcherCount(10).workersReportStart(true).build();
        TokenBucketDispatchPolicy oldProcess = newPolicy(settings, "s1", "b1");
        for (int i = 0; i < 40; i++) {
            String id = submit(oldProcess, i * MS, "safe");
            long waitNs = actions.sentTo(id).equals("b1") ? 900 * MS : 50 * MS;
            oldProcess.attemptStarted(i * MS + waitNs, id, 0);
            oldProcess.attemptFinished(
                    2 * SECOND, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        List<PolicyStateEntry> exported = oldProcess.exportState(3 * SECOND);
        TokenBucketDispatchPolicy newProcess = newPolicy(settings, "s1", "b1");
        newProcess.importState(0, exported);
        for (String category : List.of("fleet", "kind")) {
            assertEquals(
                    valuesOfCategory(exported, category),
                    valuesOfCategory(newProcess.exportState(0), category));
            assertNotEquals(
                    valuesOfCategory(newPolicy(settings, "s1", "b1").exportState(0), category),
                    valuesOfCategory(exported, category));
        }
    }

    private static List<List<Double>> valuesOfCategory(
            List<PolicyStateEntry> entries, String category) {
        return entries.stream()
                .filter(entry -> entry.category().equals(category))
                .sorted(Comparator.comparing(PolicyStateEntry::name))
                .map(entry -> DoubleStream.of(entry.values()).boxed().toList())
                .toList();
    }
}
