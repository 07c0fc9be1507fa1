package postgrade.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postgrade.policy.api.Job;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/**
 * The token buckets of tenants and keys. Rates are jobs a second of this dispatcher, an even part
 * of the deployment's; this process has a share of them.
 */
final class RateLimiter {

    /** One key may take this part of all tenants' rates before its own bucket is empty. */
    private static final double KEY_SHARE = 0.5;

    /** Bounds the export of thousands of keys; the busiest are the latest. */
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
     * @param keepLearnt whether the buckets of tenants that are still named and of keys stay as
     *     they are
     */
    void settingsChanged(PolicySettings settings, boolean keepLearnt) {
        tenantRates.clear();
        for (Tenant tenant : settings.tenants) {
            tenantRates.put(tenant.name(), tenant.ratePerS() / settings.dispatcherCount);
        }
        totalRatePerS = tenantRates.values().stream().mapToDouble(rate -> rate).sum();
        if (!keepLearnt) {
            tenantBuckets.clear();
            keyBuckets.clear();
        }
        tenantBuckets.keySet().retainAll(tenantRates.keySet());
    }

    /** The share of the dispatcher's rates that is this process's. */
    double quotaShare() {
        return quotaShare;
    }

    /** Of the tokens that go with a smaller share another process has the use. */
    void quotaShareChanged(double next) {
        double keep = Math.min(1, next / quotaShare);
        tenantBuckets.values().forEach(bucket -> bucket.scaleTokens(keep));
        keyBuckets.values().forEach(bucket -> bucket.scaleTokens(keep));
        quotaShare = next;
    }

    /** The sum of the tenants' rates here; 0 where the settings name no tenants. */
    double totalRatePerS() {
        return totalRatePerS;
    }

    /** The bucket of a tenant, or null if it has none. */
    TokenBucket tenantBucket(String tenant) {
        return tenantBuckets.get(tenant);
    }

    /**
     * Charges every bucket of the job, also when one of them is empty. Returns how long one stays
     * empty, 0 if none is.
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
     * The part of a tenant's demand here that lies beyond its quota; near 0 where only the split of
     * the traffic is uneven.
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
        List<String> names =
                new ArrayList<>(buckets.keySet()); // In the order of their use, the latest last.
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
