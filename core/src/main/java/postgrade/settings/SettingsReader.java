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
 * Reads the settings of a deployment, so that the simulator's adapter and the daemon give the
 * policy the same. They come as the key-value pairs of the simulator's ATTACH message; a reader of
 * nested JSON flattens it to such pairs first. Unknown keys are ignored. Immutable.
 */
public final class SettingsReader {

    private static final int DEFAULT_MAX_ATTEMPTS = 3;
    private static final double DEFAULT_OVERLOAD_WINDOW_NS = 1e9;
    private static final double DEFAULT_TICK_NS = 1e6;

    /** Stands for an absent value. */
    private static final String ABSENT = "-";

    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * A reader of these pairs.
     *
     * @param pairs dotted paths and plain values
     */
    public static SettingsReader ofPairs(Map<String, String> pairs) {
        return new SettingsReader(pairs);
    }

    /**
     * Reads all settings.
     *
     * @throws InvalidSettingException that names the faulty key
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
                // limits.retryAfter tells whether clients usually observe a Retry-After. A rejected
                // one is told when to come back either way: some observe it,
                // and the others lose nothing.
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
     * Where no load report comes with its answer, a probe tells less than it costs the worker and
     * the job.
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
     * The simulator lists it for all classes together; the daemon's file gives it with each class.
     */
    private double objectivePerServiceTime(int index, String prefix) {
        String key = "specifics.classStretch";
        List<String> perClass = list(key);
        return index < perClass.size()
                ? parse(key, perClass.get(index))
                : number(prefix + "aimStretch", 0);
    }

    /** Null where any kind of worker runs the class. */
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

    // ---- Single values.

    /** The text under this key, or {@code absent} where there is none. */
    public String text(String key, String absent) {
        return pairs.getOrDefault(key, absent);
    }

    /** The comma-separated values under this key; none where it is absent. */
    public List<String> list(String key) {
        String value = text(key, "");
        return isAbsent(value) ? List.of() : List.of(value.split(","));
    }

    /**
     * The number under this key.
     *
     * @throws InvalidSettingException if there is none
     */
    public double number(String key) {
        return parse(key, required(key));
    }

    /**
     * The number under this key, or {@code absent} where there is none. @throws
     * InvalidSettingException if it is no number
     */
    public double number(String key, double absent) {
        String value = text(key, "");
        return isAbsent(value) ? absent : parse(key, value);
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
