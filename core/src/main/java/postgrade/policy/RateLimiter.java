package postgrade.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postgrade.policy.api.Job;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/**
 * The token buckets of tenants and keys. Rates are jobs per second of this dispatcher, which has an
 * even share of the deployment's rates; this process has a share of the dispatcher's.
 */
final class RateLimiter {

    /** Rate of the bucket of one key, as a share of the sum of all tenants' rates. */
    private static final double KEY_SHARE = 0.5;

    /**
     * Bound on the exported buckets, as there may be thousands of keys. The busiest keys are among
     * the most recently used.
     */
    private static final int MAX_EXPORTED_BUCKETS = 500;

    private final Map<String, Double> tenantRates = new HashMap<>();
    private final LeastRecentlyUsedMap<TokenBucket> tenantBuckets;
    private final LeastRecentlyUsedMap<TokenBucket> keyBuckets;
    private double totalRatePerS;
    private double quotaShare = 1;

    RateLimiter(int mostBuckets) {
        tenantBuckets = new LeastRecentlyUsedMap<>(mostBuckets);
        keyBuckets = new LeastRecentlyUsedMap<>(mostBuckets);
    }

    /**
     * @param keepLearned whether buckets of keys and of tenants that still exist are kept
     */
    void settingsChanged(PolicySettings settings, boolean keepLearned) {
        tenantRates.clear();
        for (Tenant tenant : settings.tenants) {
            tenantRates.put(tenant.name(), tenant.ratePerS() / settings.dispatcherCount);
        }
        totalRatePerS = tenantRates.values().stream().mapToDouble(rate -> rate).sum();
        if (!keepLearned) {
            tenantBuckets.clear();
            keyBuckets.clear();
        }
        tenantBuckets.keySet().retainAll(tenantRates.keySet());
    }

    /** Returns this process's share of the dispatcher's rates. */
    double quotaShare() {
        return quotaShare;
    }

    /**
     * Changes the quota share. If it shrinks, the tokens shrink with it, as another process uses
     * the rest.
     */
    void quotaShareChanged(double next) {
        double tokenShare = Math.min(1, next / quotaShare);
        tenantBuckets.values().forEach(bucket -> bucket.scaleTokens(tokenShare));
        keyBuckets.values().forEach(bucket -> bucket.scaleTokens(tokenShare));
        quotaShare = next;
    }

    /**
     * Returns the sum of the tenants' rates at this dispatcher; 0 if the settings name no tenants.
     */
    double totalRatePerS() {
        return totalRatePerS;
    }

    /** Returns the bucket of a tenant, or null if it has none. */
    TokenBucket tenantBucket(String tenant) {
        return tenantBuckets.get(tenant);
    }

    /**
     * Charges every bucket of the job, even if one of them is empty. Returns the longest time until
     * a token is available, or 0 if no bucket is empty.
     */
    long charge(long nowNs, Job job) {
        Double tenantRate = tenantRates.get(job.tenant());
        long emptyForNs =
                tenantRate == null
                        ? 0
                        : tryTake(tenantBuckets, job.tenant(), tenantRate * quotaShare, nowNs);
        if (job.key() != null && totalRatePerS > 0) {
            double keyRate = totalRatePerS * KEY_SHARE * quotaShare;
            emptyForNs = Math.max(emptyForNs, tryTake(keyBuckets, job.key(), keyRate, nowNs));
        }
        return emptyForNs;
    }

    private static long tryTake(
            LeastRecentlyUsedMap<TokenBucket> buckets, String name, double ratePerS, long nowNs) {
        TokenBucket bucket =
                buckets.computeIfAbsent(name, unused -> TokenBucket.full(ratePerS, nowNs));
        return bucket.tryTake(ratePerS, nowNs);
    }

    /**
     * Returns the share of a tenant's demand at this process that exceeds its quota; near 0 if the
     * traffic is merely split unevenly among dispatchers.
     */
    double overQuotaShare(String tenant) {
        TokenBucket bucket = tenantBuckets.get(tenant);
        double rate = tenantRates.getOrDefault(tenant, 0.0);
        return bucket == null ? 1 : Math.max(0, 1 - rate * quotaShare / bucket.demandPerS());
    }

    void exportTenants(long nowNs, StateEntryConsumer consumer) {
        export(nowNs, tenantBuckets, consumer);
    }

    void exportKeys(long nowNs, StateEntryConsumer consumer) {
        export(nowNs, keyBuckets, consumer);
    }

    private static void export(
            long nowNs, LeastRecentlyUsedMap<TokenBucket> buckets, StateEntryConsumer consumer) {
        List<String> names = new ArrayList<>(buckets.keySet()); // Ordered by use, most recent last.
        for (String name :
                names.subList(Math.max(0, names.size() - MAX_EXPORTED_BUCKETS), names.size())) {
            consumer.accept(name, buckets.get(name).export(nowNs));
        }
    }

    void restoreTenant(long nowNs, String name, double[] values) {
        if (tenantRates.containsKey(name)) {
            tenantBuckets.put(name, TokenBucket.restore(values, quotaShare, nowNs));
        }
    }

    void restoreKey(long nowNs, String name, double[] values) {
        keyBuckets.put(name, TokenBucket.restore(values, quotaShare, nowNs));
    }
}
