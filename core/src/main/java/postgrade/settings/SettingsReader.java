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
 * Reads the settings of a deployment. The simulator's adapter and the daemon share this reader, so
 * that both give the policy the same settings. The input is the key-value pairs of the simulator's
 * ATTACH message; nested JSON has to be flattened to such pairs first. Unknown keys are ignored.
 * Immutable.
 */
public final class SettingsReader {

    private static final int DEFAULT_MAX_ATTEMPTS = 3;
    private static final double DEFAULT_OVERLOAD_WINDOW_NS = 1e9;
    private static final double DEFAULT_TICK_NS = 1e6;

    /** Placeholder that the input uses for an absent value. */
    private static final String ABSENT = "-";

    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * Creates a reader of these pairs.
     *
     * @param pairs settings by dotted path
     */
    public static SettingsReader ofPairs(Map<String, String> pairs) {
        return new SettingsReader(pairs);
    }

    /**
     * Reads all settings.
     *
     * @throws InvalidSettingException if a setting is missing or invalid; names its key
     */
    public PolicySettings settings() {
        List<String> workerKinds = list("skus");
        return PolicySettings.builder()
                .dispatcherCount((int) number("balancers", 1))
                .dispatcherIndex((int) number("index", 0))
                .zone(text("zone", ""))
                .deploymentNames(Deployment.NameType.TIER, list("tiers"))
                .deploymentNames(Deployment.NameType.KIND, workerKinds)
                .deploymentNames(Deployment.NameType.ZONE, list("dcs"))
                .classes(jobClasses(workerKinds))
                .tenants(tenants())
                .pollsWorkerList("ask".equals(pairs.get("discovery")))
                .keepsUnlistedWorkers(flag("obligations.droppedStayOpen"))
                .maxAttempts((int) number("limits.maxAttempts", DEFAULT_MAX_ATTEMPTS))
                .allowsConcurrentAttempts(flag("limits.mayDuplicate"))
                .allowsCancellation(flag("limits.cancel"))
                .probes(usesProbes(), number("fees.probe", 0))
                // limits.retryAfter states whether clients usually honour Retry-After. It is not
                // read: rejections carry a Retry-After either way, as some clients honour it
                // and it does not harm the others.
                .maxRetryAfterNs((long) number("limits.maxRetryAfterNs", 0))
                .workersReportStart(flag("specifics.tellsStart"))
                .slowStart(
                        number("obligations.coldShare", 1),
                        (long) number("obligations.warmWithinNs", 0))
                .overload(
                        number("obligations.fallMultiple", 1),
                        (long) number("obligations.fallNs", DEFAULT_OVERLOAD_WINDOW_NS))
                .tickNs((long) number("tickNs", DEFAULT_TICK_NS))
                .build();
    }

    /**
     * Probes are used only where their answers carry a load report. Without one, a probe costs the
     * worker and the job more than its answer is worth.
     */
    private boolean usesProbes() {
        return flag("limits.mayProbe") && !text("telemetry.source", "").equals("silent");
    }

    private List<JobClass> jobClasses(List<String> workerKinds) {
        List<JobClass> classes = new ArrayList<>();
        int count = (int) number("classes.count");
        for (int i = 0; i < count; i++) {
            classes.add(jobClass(i, workerKinds));
        }
        return classes;
    }

    private JobClass jobClass(int index, List<String> workerKinds) {
        String prefix = "classes." + index + ".";
        return new JobClass(
                required(prefix + "name"),
                idempotency(prefix + "idempotency"),
                deduplicationScope(prefix + "group"),
                (long) number(prefix + "windowNs", 0),
                (long) number(prefix + "onTimeNs"),
                objectivePerServiceTime(index, prefix),
                number(prefix + "importance", 1),
                number(prefix + "lateShare", 0),
                requiredWorkerKind(index, workerKinds),
                flag(prefix + "stream"));
    }

    /**
     * Returns the latency objective per service time of a class. The simulator lists the values of
     * all classes under one key; the daemon's file gives each value with its class.
     */
    private double objectivePerServiceTime(int index, String prefix) {
        String key = "specifics.classStretch";
        List<String> perClass = list(key);
        return index < perClass.size()
                ? parse(key, perClass.get(index))
                : number(prefix + "aimStretch", 0);
    }

    /** Returns the only worker kind that runs the class, or null if any kind does. */
    private String requiredWorkerKind(int index, List<String> workerKinds) {
        String key = "specifics.classKind";
        List<String> perClass = list(key);
        int kind = index < perClass.size() ? (int) parse(key, perClass.get(index)) : -1;
        return kind >= 0 && kind < workerKinds.size() ? workerKinds.get(kind) : null;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = (int) number("tenants.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(new Tenant(required(prefix + "name"), number(prefix + "quotaPerS")));
        }
        return tenants;
    }

    private Idempotency idempotency(String key) {
        String value = required(key);
        return switch (value) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.DEDUPLICATED;
            case "non_idempotent" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw invalidValue(key, value, null);
        };
    }

    private DeduplicationScope deduplicationScope(String key) {
        String value = text(key, "all");
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw invalidValue(key, value, null);
        };
    }

    // ---- Access to single values.

    /** Returns the text of this key, or {@code defaultValue} if the key is absent. */
    public String text(String key, String defaultValue) {
        return pairs.getOrDefault(key, defaultValue);
    }

    /** Returns the comma-separated values of this key; an empty list if the key is absent. */
    public List<String> list(String key) {
        String value = text(key, "");
        return isAbsent(value) ? List.of() : List.of(value.split(","));
    }

    /**
     * Returns the number of this key.
     *
     * @throws InvalidSettingException if the key is absent or its value is not a number
     */
    public double number(String key) {
        return parse(key, required(key));
    }

    /**
     * Returns the number of this key, or {@code defaultValue} if the key is absent.
     *
     * @throws InvalidSettingException if the value is not a number
     */
    public double number(String key, double defaultValue) {
        String value = text(key, "");
        return isAbsent(value) ? defaultValue : parse(key, value);
    }

    private static boolean isAbsent(String value) {
        return value.isEmpty() || value.equals(ABSENT);
    }

    private String required(String key) {
        String value = text(key, "");
        if (value.isEmpty()) {
            throw new InvalidSettingException(key, "is missing");
        }
        return value;
    }

    private static double parse(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException cause) {
            throw invalidValue(key, value, cause);
        }
    }

    private static InvalidSettingException invalidValue(String key, String value, Throwable cause) {
        return new InvalidSettingException(key, "cannot be " + value, cause);
    }

    private boolean flag(String key) {
        String value = text(key, "false");
        return value.equals("true") || value.equals("1");
    }
}
