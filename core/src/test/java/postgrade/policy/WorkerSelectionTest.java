package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which worker a job goes to. */
class WorkerSelectionTest extends PolicyFixture {

    @Test
    void selectionByFewestOwnJobsSpreadsEvenly() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3");
        for (int i = 0; i < 6; i++) {
            submit(d, 0, "safe");
        }
        for (String id : List.of("s1", "s2", "s3")) {
            assertEquals(
                    2,
                    actions.recorded.stream()
                            .filter(l -> l.startsWith("send") && l.endsWith(id))
                            .count());
        }
    }

    @Test
    void classWithRequiredKindRunsOnlyOnThatKind() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "b1", "s2");
        assertEquals("b1", actions.sentTo(submit(d, 0, "big-only")));
        TokenBucketDispatchPolicy none = newPolicy(settings().build(), "s1");
        String id = submit(none, 0, "big-only");
        none.timerFired(2 * SECOND, "sweep");
        assertEquals(1, actions.count("refuse " + id), "no able worker: refused when hope is gone");
    }

    @Test
    void emptyListRejectsWithRetryAfterOnceTheObjectiveIsMissed() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build());
        String id = submit(d, 0, "unsafe");
        d.timerFired(50 * MS, "sweep");
        assertEquals(0, actions.count("refuse"));
        d.timerFired(1100 * MS, "sweep");
        assertEquals("refuse " + id + " 500000000", actions.last("refuse"));
    }
}
