package postgrade.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Deployment;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/**
 * Reads the settings of a deployment, so that the adapter and the daemon give the module the same.
 * They come as the pairs of ATTACH; who has nested JSON turns it into such pairs first. Unknown
 * ones are left alone.
 */
public final class SettingsReader {

    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * @param pairs paths and plain values, in the form of ATTACH
     */
    public static SettingsReader ofPairs(Map<String, String> pairs) {
        return new SettingsReader(pairs);
    }

    /** The text under this key, or what stands for it where it is absent. */
    public String text(String key, String absent) {
        return pairs.getOrDefault(key, absent);
    }

    /** Exceptions name the faulty key. */
    public PolicySettings settings() {
        List<String> kinds = list("skus");
        List<String> classKinds = list("specifics.classKind");
        List<String> stretches = list("specifics.classStretch");
        List<JobClass> classes = new ArrayList<>();
        int count = (int) number("classes.count");
        for (int i = 0; i < count; i++) {
            String at = "classes." + i + ".";
            int kind =
                    i < classKinds.size()
                            ? (int) parse("specifics.classKind", classKinds.get(i))
                            : -1;
            double stretch =
                    i < stretches.size()
                            ? parse("specifics.classStretch", stretches.get(i))
                            : number(at + "aimStretch", 0);
            classes.add(
                    new JobClass(
                            must(at + "name"),
                            effect(at),
                            group(at),
                            (long) number(at + "windowNs", 0),
                            (long) number(at + "onTimeNs"),
                            stretch,
                            number(at + "importance", 1),
                            number(at + "lateShare", 0),
                            kind >= 0 && kind < kinds.size() ? kinds.get(kind) : null,
                            yes(at + "stream", false)));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = (int) number("tenants.count", 0);
        for (int i = 0; i < tenantCount; i++) {
            String at = "tenants." + i + ".";
            tenants.add(new Tenant(must(at + "name"), number(at + "quotaPerS")));
        }
        return PolicySettings.builder()
                .dispatcherCount((int) number("balancers", 1))
                .dispatcherIndex((int) number("index", 0))
                .zone(text("zone", ""))
                .named(Deployment.Sort.TIER, list("tiers"))
                .named(Deployment.Sort.KIND, kinds)
                .named(Deployment.Sort.ZONE, list("dcs"))
                .classes(classes)
                .tenants(tenants)
                .pollsWorkerList("ask".equals(pairs.get("discovery")))
                .keepsUnlistedWorkers(yes("obligations.droppedStayOpen", false))
                .maxAttempts((int) number("limits.maxAttempts", 3))
                .allowsConcurrentAttempts(yes("limits.mayDuplicate", false))
                .allowsCancellation(yes("limits.cancel", false))
                // Where no report comes with its answer, a probe tells less than it costs the
                // worker and the job.
                .probes(
                        yes("limits.mayProbe", false)
                                && !text("telemetry.source", "").equals("silent"),
                        number("fees.probe", 0))
                // limits.retryAfter tells whether the site's clients count on a retry-after. A
                // refused one is always
                // told when to come back: some observe it, and the others lose nothing.
                .maxRetryAfterNs((long) number("limits.maxRetryAfterNs", 0))
                .workersReportStart(yes("specifics.tellsStart", false))
                .slowStart(
                        number("obligations.coldShare", 1),
                        (long) number("obligations.warmWithinNs", 0))
                .overload(
                        number("obligations.fallMultiple", 1),
                        (long) number("obligations.fallNs", 1e9))
                .tickNs((long) number("tickNs", 1e6))
                .build();
    }

    private Idempotency effect(String at) {
        String value = must(at + "idempotency");
        return switch (value) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.DEDUPLICATED;
            case "non_idempotent" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new IllegalArgumentException(at + "idempotency cannot be " + value);
        };
    }

    private DeduplicationScope group(String at) {
        String value = pairs.getOrDefault(at + "group", "all");
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new IllegalArgumentException(at + "group cannot be " + value);
        };
    }

    public List<String> list(String key) {
        String value = pairs.getOrDefault(key, "");
        return value.isEmpty() || value.equals("-") ? List.of() : List.of(value.split(","));
    }

    private String must(String key) {
        String value = pairs.get(key);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }

    public double number(String key) {
        return parse(key, must(key));
    }

    public double number(String key, double absent) {
        String value = pairs.get(key);
        return value == null || value.isEmpty() || value.equals("-") ? absent : parse(key, value);
    }

    private double parse(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(key + " cannot be " + value);
        }
    }

    private boolean yes(String key, boolean absent) {
        String value = pairs.get(key);
        if (value == null) {
            return absent;
        }
        return value.equals("true") || value.equals("1");
    }
}
