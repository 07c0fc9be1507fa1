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
        TokenBucketDispatchPolicy d = policyWithOneTenant(4, 1);
        for (int i = 0; i < 12; i++) {
            submit(d, 0, "unsafe", "t", null);
        }
        assertEquals(4, actions.count("refuse"), "a burst of two seconds of the rate is admitted");
        assertEquals("refuse j12 250000000", actions.last("refuse"));
        d.attemptFinished(0, "j1", 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        submit(d, SECOND / 8, "safe", "t", null);
        assertEquals(5, actions.count("refuse"));
        submit(d, SECOND / 4, "safe", "t", null);
        assertEquals(5, actions.count("refuse"), "one token after a quarter of a second");
    }

    /**
     * A part of 0.2 jobs a second with one token refused a third of the jobs of tenants within
     * their share.
     */
    @Test
    void dispatchersShareRateAndBurstEvenlyDownToAMinimumBurst() {
        TokenBucketDispatchPolicy d = policyWithOneTenant(20, 100);
        for (int i = 0; i < 5; i++) {
            assertFalse(actions.sentTo(submit(d, 0, "safe", "t", null)).isEmpty());
        }
        submit(d, 0, "safe", "t", null);
        assertEquals(
                "refuse j6 2000000000",
                actions.last("refuse"),
                "the next token of a hundredth of the rate");
    }

    @Test
    void rejectedJobIsChargedToItsOtherBuckets() {
        PolicySettings s =
                settings().tenants(List.of(new Tenant("a", 1), new Tenant("b", 100))).build();
        TokenBucketDispatchPolicy d = newPolicy(s, "s1");
        d.attemptFinished(0, submit(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        for (int i = 0; i < 300; i++) {
            submit(d, 0, "unsafe", "a", "k");
        }
        long before = actions.count("refuse");
        submit(d, 0, "safe", "b", "k");
        assertEquals(
                before + 1,
                actions.count("refuse"),
                "tenant a's refused jobs emptied the key's bucket");
        submit(d, 0, "safe", "b", "other");
        assertEquals(before + 1, actions.count("refuse"));
    }

    @Test
    void evictedBucketReturnsFull() {
        PolicySettings s =
                settings()
                        .tenants(List.of(new Tenant("a", 0.1), new Tenant("b", 0.1)))
                        .maxBuckets(1)
                        .build();
        TokenBucketDispatchPolicy d = newPolicy(s, "s1");
        d.attemptFinished(0, submit(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        for (int i = 0; i < 6; i++) {
            submit(d, 0, "safe", "a", null);
        }
        assertEquals(1, actions.count("refuse"));
        submit(d, 0, "safe", "b", null);
        submit(d, 0, "safe", "a", null);
        assertEquals(1, actions.count("refuse"), "a was evicted by b");
    }

    @Test
    void tenantBeyondItsRateUsesOnlyCapacityBeyondTheReserve() {
        PolicySettings s = settings().tenants(List.of(new Tenant("t", 0.1))).build();
        TokenBucketDispatchPolicy d = newPolicy(s, "s1", "s2", "s3", "s4");
        serveJobs(d, 8, IDLE_REPORT);
        for (int i = 0; i < 30; i++) {
            submit(d, SECOND, "safe", "t", null);
        }
        assertTrue(actions.count("refuse") > 0, "the reserve is kept");
        assertTrue(actions.count("send") > 12, "room beyond it is used");
    }

    /**
     * Days cnx- and caerdydd-main-later big-1: reports faded to half free, so at size all excess
     * was admitted.
     */
    @Test
    void oldReportsOfABusyFleetAdmitNoExcess() {
        PolicySettings s = settings().tenants(List.of(new Tenant("t", 1))).build();
        TokenBucketDispatchPolicy d =
                newPolicy(s, IntStream.range(0, 20).mapToObj(i -> "s" + i).toArray(String[]::new));
        serveJobs(d, 5, IDLE_REPORT);
        serveJobs(d, 100, FULL_REPORT);
        for (int i = 0; i < 30; i++) {
            submit(d, 20 * SECOND, "safe", "t", null);
        }
        assertEquals(25, actions.count("refuse"), "all beyond the burst");
    }

    @Test
    void jobWithoutTenantOrKeyIsNotRateLimited() {
        TokenBucketDispatchPolicy d =
                newPolicy(settings().tenants(List.of(new Tenant("t", 0.1))).build(), "s1", "s2");
        for (int i = 0; i < 20; i++) {
            submit(d, 0, "safe", null, null);
        }
        assertEquals(0, actions.count("refuse"));
    }
}
