package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;

/** Job constraints beyond the policy's own rules. */
class JobConstraintsTest extends PolicyFixture {

    @Test
    void jobThatMayNotStartYetIsRejectedAtOnceAndTakesNoToken() {
        TokenBucketDispatchPolicy policy = policyWithOneTenant(4, 1);
        policy.constraintsChanged(
                new JobConstraints() {
                    @Override
                    public long startDelayNs(long nowNs, Job job) {
                        return 3600 * SECOND - nowNs;
                    }
                });
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    "reject " + submit(policy, SECOND, "safe", "t", null) + " " + 3599 * SECOND,
                    actions.last("reject"));
        }
        policy.constraintsChanged(JobConstraints.NONE);
        assertEquals("s1", actions.sentTo(submit(policy, SECOND, "safe", "t", null)));
    }

    @Test
    void workerGetsJobsInProportionToItsUsableShare() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3");
        policy.constraintsChanged(
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
            submit(policy, 0, "safe");
        }
        assertEquals(0, actions.sendsTo("s1"::equals));
        assertEquals(20, actions.sendsTo("s2"::equals), 4);
        assertTrue(
                IntStream.range(0, 10)
                        .mapToObj(i -> actions.sentTo(submit(policy, 0, "safe", "t", null)))
                        .anyMatch("s1"::equals));
    }
}
