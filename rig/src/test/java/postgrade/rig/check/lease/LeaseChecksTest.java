package postgrade.rig.check.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import postgrade.rig.check.lease.LeaseModel.State;
import postgrade.rig.check.lease.LeaseUseCheck.Grant;
import postgrade.rig.check.lease.LeaseUseCheck.GrantEnd;
import postgrade.rig.check.lease.LeaseUseCheck.Use;
import postgrade.rig.check.lease.LinearizabilityChecker.Call;

/** Each check accepts a valid history and reports a violation inserted into it. */
class LeaseChecksTest {

    private static final long NEVER = Long.MAX_VALUE;

    private static Use use(long at, String process, String holder, long fence) {
        return new Use(at, process, "w/0", holder, fence);
    }

    @Test
    void detectsAcceleratorUsedByTwoHolders() {
        List<Use> uses =
                new ArrayList<>(
                        List.of(
                                use(1, "n1", "ana", 5),
                                use(9, "n2", "ana", 5),
                                use(10, "n1", "ivo", 7),
                                use(12, "n2", "ivo", 7),
                                use(13, "n1", "ivo", 9)));
        assertEquals(List.of(), LeaseUseCheck.mutualExclusion(uses));
        uses.add(use(10, "n2", "ana", 5));
        assertEquals("exclusion", LeaseUseCheck.mutualExclusion(uses).get(0).what());
        assertEquals(
                1,
                LeaseUseCheck.mutualExclusion(
                                List.of(use(1, "n1", "ana", 5), use(2, "n2", "ivo", 5)))
                        .size());
    }

    @Test
    void detectsLateUseAndEarlyExpiry() {
        List<Grant> grants =
                List.of(
                        new Grant("ana", 5, 3000, 900, 1000, NEVER),
                        new Grant("ivo", 7, 3000, 900, 1000, 950));
        assertEquals(
                List.of(),
                LeaseUseCheck.noUseAfterExpiry(List.of(use(5000, "n1", "ana", 5)), grants, 1000));
        assertEquals(
                1,
                LeaseUseCheck.noUseAfterExpiry(List.of(use(5001, "n1", "ana", 5)), grants, 1000)
                        .size());
        assertEquals(
                List.of(),
                LeaseUseCheck.noEarlyExpiry(
                        List.of(
                                new GrantEnd(3901, "n1", "ana", 5),
                                new GrantEnd(960, "n1", "ivo", 7)),
                        grants,
                        1,
                        0));
        assertEquals(
                1,
                LeaseUseCheck.noEarlyExpiry(
                                List.of(new GrantEnd(3899, "n1", "ana", 5)), grants, 1, 0)
                        .size());
    }

    private static Call<State> call(long sent, long answered, UnaryOperator<State> effect) {
        return new Call<>("c" + sent, sent, answered, effect);
    }

    @Test
    void detectsNonLinearizableGrants() {
        List<Call<State>> valid =
                List.of(
                        call(0, 10, LeaseModel.granted("h", 3, 3)),
                        call(1, 9, LeaseModel.refused(2)),
                        call(11, 12, LeaseModel.renewed("h", 3)),
                        call(20, NEVER, LeaseModel.ended("h", 3)),
                        call(30, NEVER, LeaseModel.rested(3)),
                        call(31, 40, LeaseModel.granted("h", 8, 1)),
                        call(35, 50, LeaseModel.notFound("h", 3)));
        assertNull(LeaseModel.firstViolation(2, valid));
        assertNotNull(
                LeaseModel.firstViolation(
                        2,
                        List.of(
                                call(0, 10, LeaseModel.granted("h", 3, 1)),
                                call(11, 20, LeaseModel.granted("h", 5, 1)))),
                "granted twice");
        assertNotNull(
                LeaseModel.firstViolation(
                        2,
                        List.of(
                                call(0, 10, LeaseModel.granted("h", 5, 1)),
                                call(11, 20, LeaseModel.granted("h", 4, 2)))),
                "the fence decreased");
        assertNotNull(
                LeaseModel.firstViolation(
                        2,
                        List.of(
                                call(0, 10, LeaseModel.granted("h", 5, 1)),
                                call(11, 20, LeaseModel.notFound("h", 5)))),
                "not found, although nothing ended it");
        assertNotNull(
                LeaseModel.firstViolation(
                        2,
                        List.of(
                                call(0, 10, LeaseModel.granted("h", 5, 3)),
                                call(11, 20, LeaseModel.ended("h", 5)),
                                call(21, 22, LeaseModel.granted("h", 9, 1)))),
                "granted before the grace period was over");
        assertNotNull(
                LeaseModel.firstViolation(2, List.of(call(0, 10, LeaseModel.refused(2)))),
                "refused, although all accelerators were free");
    }

    @Test
    void judgesLongConcurrentHistories() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Call<State>> history = new ArrayList<>();
            long fence = 0;
            // Each call takes effect at 10 i + 5 and overlaps its neighbours.
            for (int i = 0; i < 400; i++) {
                long at = 10L * i + 5;
                UnaryOperator<State> effect =
                        switch (i % 4) {
                            case 0 -> LeaseModel.granted("h", ++fence, 1);
                            case 1 -> LeaseModel.renewed("h", fence);
                            case 2 -> LeaseModel.ended("h", fence);
                            default -> LeaseModel.rested(1);
                        };
                history.add(
                        call(
                                at - random.nextInt(25),
                                i % 4 == 3 ? NEVER : at + random.nextInt(25),
                                effect));
            }
            assertNull(LeaseModel.firstViolation(1, history), "seed " + seed);
            history.add(call(2004, 2006, LeaseModel.granted("h", fence + 1, 1)));
            assertNotNull(LeaseModel.firstViolation(1, history), "seed " + seed);
        }
    }
}
