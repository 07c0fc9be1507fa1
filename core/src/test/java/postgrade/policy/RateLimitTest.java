package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/** Token buckets of tenants and keys, and jobs beyond a quota. */
class RateLimitTest extends PolicyFixture {

    @Test
    void emptyBucketRejectsAtOnceWithRetryAfterAndRefills() {
        TokenBucketDispatchPolicy policy = policyWithOneTenant(4, 1);
        for (int i = 0; i < 12; i++) {
            submit(policy, 0, "unsafe", "t", null);
        }
        assertEquals(4, actions.count("reject"), "a burst of two seconds of the rate is admitted");
        assertEquals("reject j12 250000000", actions.last("reject"));
        policy.attemptFinished(0, "j1", 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        submit(policy, SECOND / 8, "safe", "t", null);
        assertEquals(5, actions.count("reject"));
        submit(policy, SECOND / 4, "safe", "t", null);
        assertEquals(5, actions.count("reject"), "one token after a quarter of a second");
    }

    /**
     * With a rate of 0.2 jobs per second per dispatcher and a burst of one token, a third of the
     * jobs of tenants within their quota would be rejected.
     */
    @Test
    void dispatchersShareRateAndBurstEvenlyDownToAMinimumBurst() {
        TokenBucketDispatchPolicy policy = policyWithOneTenant(20, 100);
        for (int i = 0; i < 5; i++) {
            assertFalse(actions.sentTo(submit(policy, 0, "safe", "t", null)).isEmpty());
        }
        submit(policy, 0, "safe", "t", null);
        assertEquals(
                "reject j6 2000000000",
                actions.last("reject"),
                "the next token of a hundredth of the rate");
    }

    @Test
    void rejectedJobIsChargedToItsOtherBuckets() {
        PolicySettings settings =
                settings().tenants(List.of(new Tenant("a", 1), new Tenant("b", 100))).build();
        TokenBucketDispatchPolicy policy = newPolicy(settings, "s1");
        policy.attemptFinished(
                0, submit(policy, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        for (int i = 0; i < 300; i++) {
            submit(policy, 0, "unsafe", "a", "k");
        }
        long before = actions.count("reject");
        submit(policy, 0, "safe", "b", "k");
        assertEquals(
                before + 1,
                actions.count("reject"),
                "tenant a's rejected jobs emptied the key's bucket");
        submit(policy, 0, "safe", "b", "other");
        assertEquals(before + 1, actions.count("reject"));
    }

    @Test
    void evictedBucketReturnsFull() {
        PolicySettings settings =
                settings()
                        .tenants(List.of(new Tenant("a", 0.1), new Tenant("b", 0.1)))
                        .maxBuckets(1)
                        .build();
        TokenBucketDispatchPolicy policy = newPolicy(settings, "s1");
        policy.attemptFinished(
                0, submit(policy, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        for (int i = 0; i < 6; i++) {
            submit(policy, 0, "safe", "a", null);
        }
        assertEquals(1, actions.count("reject"));
        submit(policy, 0, "safe", "b", null);
        submit(policy, 0, "safe", "a", null);
        assertEquals(1, actions.count("reject"), "a was evicted by b");
    }

    @Test
    void tenantBeyondItsRateUsesOnlyCapacityBeyondTheReserve() {
        PolicySettings settings = settings().tenants(List.of(new Tenant("t", 0.1))).build();
        TokenBucketDispatchPolicy policy = newPolicy(settings, "s1", "s2", "s3", "s4");
        serveJobs(policy, 8, IDLE_REPORT);
        for (int i = 0; i < 30; i++) {
            submit(policy, SECOND, "safe", "t", null);
        }
        assertTrue(actions.count("reject") > 0, "the reserve is kept");
        assertTrue(actions.count("send") > 12, "capacity beyond it is used");
    }

    /** If old reports decayed to half free, a large fleet would admit all jobs beyond the quota. */
    @Test
    void oldReportsOfABusyFleetAdmitNoExcess() {
        PolicySettings settings = settings().tenants(List.of(new Tenant("t", 1))).build();
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings,
                        IntStream.range(0, 20).mapToObj(i -> "s" + i).toArray(String[]::new));
        serveJobs(policy, 5, IDLE_REPORT);
        serveJobs(policy, 100, FULL_REPORT);
        for (int i = 0; i < 30; i++) {
            submit(policy, 20 * SECOND, "safe", "t", null);
        }
        assertEquals(25, actions.count("reject"), "all beyond the burst");
    }

    @Test
    void jobWithoutTenantOrKeyIsNotRateLimited() {
        TokenBucketDispatchPolicy policy =
                newPolicy(settings().tenants(List.of(new Tenant("t", 0.1))).build(), "s1", "s2");
        for (int i = 0; i < 20; i++) {
            submit(policy, 0, "safe", null, null);
        }
        assertEquals(0, actions.count("reject"));
    }
}
