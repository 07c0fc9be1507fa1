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

/** What two processes of one dispatcher hand over. */
class StateTransferTest extends PolicyFixture {

    @Test
    void twoProcessesShareOneBurst() {
        assertEquals(40, submitAndCountAdmitted(policyWithOneTenant(20, 1), 80));
        TokenBucketDispatchPolicy old = policyWithOneTenant(20, 1);
        assertEquals(10, submitAndCountAdmitted(old, 10));
        List<PolicyStateEntry> told = old.exportState(0);
        old.quotaShareChanged(0, 0.5);
        TokenBucketDispatchPolicy fresh = policyWithOneTenant(20, 1);
        fresh.quotaShareChanged(0, 0.5);
        fresh.importState(0, told);
        long both = submitAndCountAdmitted(old, 80) + submitAndCountAdmitted(fresh, 80);
        assertTrue(both <= 30 && both >= 20, both + " after 10 of 40");
    }

    @Test
    void newProcessKnowsWhichWorkersAreEjectedOrNeedATrial() {
        TokenBucketDispatchPolicy old =
                newPolicy(
                        settings().slowStart(0.2, 20 * SECOND).overload(3, SECOND).build(),
                        "s1",
                        "s2",
                        "s3");
        for (int i = 0; i < 60; i++) {
            String id = submit(old, i, "safe");
            old.attemptFinished(
                    i,
                    id,
                    0,
                    actions.sentTo(id).equals("s2") ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    true,
                    IDLE_REPORT);
        }
        old.workersUpdated(
                SECOND,
                WorkerListUpdateType.DELTA,
                List.of(worker("s3", WorkerPhase.READY, SECOND)));
        old.workerReenabled(SECOND, "s3");
        List<PolicyStateEntry> told = new ArrayList<>(old.exportState(SECOND));
        told.add(new PolicyStateEntry("worker", "unheard of", new double[9]));
        told.add(new PolicyStateEntry("of a later version", "x", new double[0]));
        TokenBucketDispatchPolicy fresh =
                new TokenBucketDispatchPolicy(
                        settings().slowStart(0.2, 20 * SECOND).overload(3, SECOND).build(),
                        3,
                        actions);
        long now = 100 * SECOND; // Its clock is another.
        fresh.workersUpdated(
                now,
                WorkerListUpdateType.CACHED,
                List.of(
                        worker("s1", WorkerPhase.READY, 0),
                        worker("s2", WorkerPhase.READY, 0),
                        worker("s3", WorkerPhase.READY, now)));
        fresh.importState(now, told);
        assertEquals(
                "s3",
                actions.sentTo(submit(fresh, now, "safe")),
                "the trial is owed, and all sends there are told");
        for (int i = 0; i < 20; i++) {
            assertNotEquals("s2", actions.sentTo(submit(fresh, now + i, "safe")), "it is ejected");
        }
    }

    /**
     * One that ended in order, or hands over, tells all it sent to a cold worker; it counts on in
     * its window.
     */
    @Test
    void workSentInSlowStartBeforeARestartCountsInItsWindow() {
        for (boolean ended : new boolean[] {true, false}) {
            TokenBucketDispatchPolicy old = dispatchersWithWorkerInSlowStart(1, 10 * SECOND).get(0);
            long sent = submitAndCountSentToS2(List.of(old), 30, 10 * SECOND);
            List<PolicyStateEntry> told =
                    old.exportState(10 * SECOND + 100 * MS).stream()
                            .filter(l -> ended || !l.category().equals("up"))
                            .toList();
            TokenBucketDispatchPolicy fresh =
                    new TokenBucketDispatchPolicy(
                            settings().slowStart(0.12, 24 * SECOND).overload(3, 1500 * MS).build(),
                            0,
                            actions);
            fresh.workersUpdated(
                    20 * SECOND,
                    WorkerListUpdateType.FULL,
                    List.of(worker("s2", WorkerPhase.READY, 19 * SECOND + 900 * MS)));
            fresh.importState(20 * SECOND, told);
            assertTrue(
                    sent > 0 && submitAndCountSentToS2(List.of(fresh), 30, 20 * SECOND) == 0,
                    sent + " before");
            long later = submitAndCountSentToS2(List.of(fresh), 30, 21_450 * MS);
            assertTrue(
                    later > 0 == ended,
                    later + " once its window is over; after a crash, one window after the start");
        }
    }

    @Test
    void newProcessKnowsTheLoadOfOtherDispatchersAndTheQueueingDelayOfKinds() {
        PolicySettings s = settings().dispatcherCount(10).workersReportStart(true).build();
        TokenBucketDispatchPolicy old = newPolicy(s, "s1", "b1");
        for (int i = 0; i < 40; i++) {
            String id = submit(old, i * MS, "safe");
            long waitNs = actions.sentTo(id).equals("b1") ? 900 * MS : 50 * MS;
            old.attemptStarted(i * MS + waitNs, id, 0);
            old.attemptFinished(2 * SECOND, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        List<PolicyStateEntry> told = old.exportState(3 * SECOND);
        TokenBucketDispatchPolicy fresh = newPolicy(s, "s1", "b1");
        fresh.importState(0, told);
        for (String of : List.of("fleet", "kind")) {
            assertEquals(valuesOfCategory(told, of), valuesOfCategory(fresh.exportState(0), of));
            assertNotEquals(
                    valuesOfCategory(newPolicy(s, "s1", "b1").exportState(0), of), valuesOfCategory(told, of));
        }
    }

    private static List<List<Double>> valuesOfCategory(List<PolicyStateEntry> all, String of) {
        return all.stream()
                .filter(l -> l.category().equals(of))
                .sorted(Comparator.comparing(PolicyStateEntry::name))
                .map(l -> DoubleStream.of(l.values()).boxed().toList())
                .toList();
    }
}
