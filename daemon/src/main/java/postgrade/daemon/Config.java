package postgrade.daemon;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import postgrade.discovery.AddressFormat;
import postgrade.discovery.WorkerList;
import postgrade.json.JsonReader;
import postgrade.operator.OperatorListener;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;
import postgrade.settings.SettingsReader;
import postgrade.simadapter.JsonPairs;

/** The daemon's configuration. The only place where it is read, validated and given defaults. */
final class Config {

    /**
     * Reports a configuration that the daemon cannot start with; the message begins with the
     * invalid key.
     */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String key, String problem) {
            super(key + ": " + problem);
        }
    }

    private static final int DEFAULT_DESCRIPTORS = 1024;

    /**
     * Reserved for the descriptors of the JVM itself, of which there are 11: its files, the
     * selector, the standard streams.
     */
    private static final int JVM_DESCRIPTORS = 32;

    private static final int MIN_SOCKETS = 16;
    private static final double DEFAULT_MAX_HELD_JOBS = 20_000;
    private static final double DEFAULT_DEADLINE_NS = 30e9;
    private static final double DEFAULT_CONNECT_TIMEOUT_NS = 250e6;
    private static final double DEFAULT_IDLE_TIMEOUT_NS = 10e9;

    final String file;
    final String name;
    final InetSocketAddress listenAddress;
    final InetSocketAddress discoveryAddress;

    /** Address for operator calls, or null if there is none. */
    final InetSocketAddress operatorAddress;

    final long seed;

    /** Script that configures with which dispatchers state is shared, or null if none is shared. */
    final Path sharingScript;

    final Clock clock;

    /** Directory shared by all processes of this dispatcher, or null. */
    final Path sharedDirectory;

    private int descriptorLimit;

    /**
     * Limit on sockets to clients, workers and discovery together; those of operators are not
     * included.
     */
    final int socketLimit;

    final PolicySettings settings;
    final int maxHeldJobs;
    final long connectTimeoutMicros;
    final long idleTimeoutMicros;
    final Map<String, Long> deadlineMicros = new HashMap<>();

    /** Worker list as last known before the start, or null. */
    final WorkerList cachedWorkers;

    private final Map<String, String> environment;
    private final JsonObject json;
    private final Map<String, String> flatSettings;

    private Config(Map<String, String> environment, JsonObject json) throws InvalidConfigException {
        this.environment = environment;
        this.json = json;
        file = environment.get("ROUTER_CONFIG");
        name = requiredText("name", "ROUTER_NAME");
        String directory = environment.getOrDefault("TMPDIR", "");
        sharedDirectory = directory.isEmpty() ? null : Path.of(directory);
        listenAddress = requiredAddress("listen", "ROUTER_LISTEN");
        discoveryAddress = requiredAddress("discovery", "ROUTER_DISCOVERY");
        operatorAddress =
                isSet("operator", "ROUTER_OPERATOR")
                        ? requiredAddress("operator", "ROUTER_OPERATOR")
                        : null;
        sharingScript =
                isSet("sharing", "ROUTER_SHARING")
                        ? Path.of(requiredText("sharing", "ROUTER_SHARING"))
                        : null;
        clock = Clock.of(environment.get(Clock.VARIABLE));
        seed = readSeed();
        socketLimit = readSocketLimit();
        JsonValue settingsJson = json.get("settings");
        if (settingsJson == null || !settingsJson.isObject()) {
            throw new InvalidConfigException("settings", "must be an object");
        }
        ConfigValidation.requirePositiveWholeNumbers(settingsJson.asObject());
        flatSettings = JsonPairs.of(settingsJson.asObject());
        SettingsReader reader = SettingsReader.ofPairs(flatSettings);
        try {
            settings = reader.settings();
            maxHeldJobs = (int) positiveNumber(reader, "limits.mostHeld", DEFAULT_MAX_HELD_JOBS);
            connectTimeoutMicros =
                    (long)
                            (positiveNumber(
                                            reader,
                                            "limits.connectTimeoutNs",
                                            DEFAULT_CONNECT_TIMEOUT_NS)
                                    / 1000);
            idleTimeoutMicros =
                    (long)
                            (positiveNumber(reader, "limits.connIdleNs", DEFAULT_IDLE_TIMEOUT_NS)
                                    / 1000);
            List<JobClass> classes = settings.classes;
            for (int i = 0; i < classes.size(); i++) {
                deadlineMicros.put(
                        classes.get(i).name(),
                        (long)
                                (positiveNumber(
                                                reader,
                                                "classes." + i + ".deadlineNs",
                                                DEFAULT_DEADLINE_NS)
                                        / 1000));
            }
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("settings", e.getMessage());
        }
        cachedWorkers = readCachedWorkers();
    }

    static Config read(Map<String, String> environment) throws InvalidConfigException {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigException("ROUTER_CONFIG", "not set");
        }
        try {
            String text = Files.readString(Path.of(file));
            return new Config(environment, JsonReader.read(text).asObject());
        } catch (IOException e) {
            throw new InvalidConfigException("ROUTER_CONFIG", "cannot be read: " + e);
        } catch (RuntimeException e) {
            throw new InvalidConfigException(
                    "ROUTER_CONFIG", "not a JSON object: " + e.getMessage());
        }
    }

    /** Returns all settings in force, in the order of the operators' page. */
    List<EffectiveSetting> effectiveSettings() {
        return EffectiveSetting.allOf(this, json, flatSettings);
    }

    /** Names of the tenants that may submit jobs; empty if none are configured. */
    Set<String> tenantNames() {
        return settings.tenants.stream().map(Tenant::name).collect(Collectors.toSet());
    }

    /** Returns the number of descriptors that this process may have open. */
    int descriptorLimit() {
        return descriptorLimit;
    }

    /**
     * Reads the configuration file again. In addition to the checks of a start, each key of the
     * current configuration must be present: a missing key would silently fall back to its default,
     * for example when the file is read while it is still being written.
     */
    Config reread() throws InvalidConfigException {
        Config next = read(environment);
        ConfigValidation.requireKeys(json, next.json, "");
        return next;
    }

    boolean hasSameSettings(Config other) {
        return json.get("settings").equals(other.json.get("settings"));
    }

    /**
     * Returns the changed keys that take effect only after a restart. The seed and the cached
     * worker list are not reported, as they matter at a start alone.
     */
    List<String> keysNeedingRestart(Config next) {
        List<String> keys = new ArrayList<>();
        for (String key : new String[] {"name", "listen", "operator", "sharing", "limits"}) {
            if (!Objects.equals(json.get(key), next.json.get(key))) {
                keys.add(key);
            }
        }
        return keys;
    }

    /** Returns the socket limit of each process if that many processes share the descriptors. */
    int socketLimitFor(int processes) {
        return Math.max(MIN_SOCKETS, descriptorLimit / processes - (descriptorLimit - socketLimit));
    }

    private String requiredText(String key, String variable) throws InvalidConfigException {
        JsonValue value = json.get(key);
        String text =
                value != null && value.isString()
                        ? value.asString()
                        : environment.getOrDefault(variable, "");
        if (text.isEmpty()) {
            throw new InvalidConfigException(key, "missing, and " + variable + " is not set");
        }
        return text;
    }

    private boolean isSet(String key, String variable) {
        return json.get(key) != null || !environment.getOrDefault(variable, "").isEmpty();
    }

    private InetSocketAddress requiredAddress(String key, String variable)
            throws InvalidConfigException {
        try {
            return AddressFormat.parse(requiredText(key, variable));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(key, e.getMessage());
        }
    }

    private long readSeed() throws InvalidConfigException {
        JsonValue value = json.get("seed");
        if (value == null) {
            return System.nanoTime();
        }
        try {
            return value.isNumber()
                    ? (long) value.asDouble()
                    : Long.parseUnsignedLong(value.asString(), 16);
        } catch (RuntimeException e) {
            throw new InvalidConfigException("seed", "not a number of up to 16 hex digits");
        }
    }

    private int readSocketLimit() throws InvalidConfigException {
        JsonValue limits = json.get("limits");
        JsonValue value =
                limits != null && limits.isObject() ? limits.asObject().get("sockets") : null;
        if (value != null && !value.isNumber()) {
            throw new InvalidConfigException("limits.sockets", "not a number");
        }
        descriptorLimit = value == null ? DEFAULT_DESCRIPTORS : (int) value.asDouble();
        int reserved =
                JVM_DESCRIPTORS + (operatorAddress == null ? 0 : OperatorListener.MAX_SOCKETS);
        if (descriptorLimit < 2 * JVM_DESCRIPTORS) {
            throw new InvalidConfigException(
                    "limits.sockets", "at least " + 2 * JVM_DESCRIPTORS + " are required");
        }
        return descriptorLimit - reserved;
    }

    private static double positiveNumber(SettingsReader reader, String key, double defaultValue) {
        double value = reader.number(key, defaultValue);
        if (!(value > 0)) {
            throw new IllegalArgumentException(key + " must be positive");
        }
        return value;
    }

    private WorkerList readCachedWorkers() throws InvalidConfigException {
        JsonValue value = json.get("known");
        if (value == null || value.isNull()) {
            return null;
        }
        try {
            return WorkerList.of(value.asObject());
        } catch (RuntimeException e) {
            throw new InvalidConfigException("known", e.getMessage());
        }
    }
}
