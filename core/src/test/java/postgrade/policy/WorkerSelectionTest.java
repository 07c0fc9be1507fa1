package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The selection of workers. */
class WorkerSelectionTest extends PolicyFixture {

    @Test
    void selectionByFewestOwnJobsSpreadsEvenly() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3");
        for (int i = 0; i < 6; i++) {
            submit(policy, 0, "safe");
        }
        for (String id : List.of("s1", "s2", "s3")) {
            assertEquals(
                    2,
                    actions.recorded.stream()
                            .filter(action -> action.startsWith("send") && action.endsWith(id))
                            .count());
        }
    }

    @Test
    void classWithRequiredKindRunsOnlyOnThatKind() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "b1", "s2");
        assertEquals("b1", actions.sentTo(submit(policy, 0, "big-only")));
        TokenBucketDispatchPolicy policyWithoutKind = newPolicy(settings().build(), "s1");
        String id = submit(policyWithoutKind, 0, "big-only");
        policyWithoutKind.timerFired(2 * SECOND, "sweep");
        assertEquals(
                1,
                actions.count("reject " + id),
                "no eligible worker: rejected once its latency objective has passed");
    }

    @Test
    void emptyListRejectsWithRetryAfterOnceTheObjectiveIsMissed() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build());
        String id = submit(policy, 0, "unsafe");
        policy.timerFired(50 * MS, "sweep");
        assertEquals(0, actions.count("reject"));
        policy.timerFired(1100 * MS, "sweep");
        assertEquals("reject " + id + " 500000000", actions.last("reject"));
    }
}
