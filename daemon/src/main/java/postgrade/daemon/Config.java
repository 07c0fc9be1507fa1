package postgrade.daemon;

import com.eclipsesource.json.Json;
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
import postgrade.operator.OperatorListener;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;
import postgrade.settings.SettingsReader;
import postgrade.simadapter.JsonPairs;

/**
 * The daemon's configuration. This is the one place where it is read, checked and given defaults.
 */
final class Config {

    /** What cannot be started with; the message begins with the faulty key. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String key, String what) {
            super(key + ": " + what);
        }
    }

    private static final int DEFAULT_SOCKETS = 1024;

    /**
     * For what the virtual machine itself holds, 11 by count: its files, the selector, the standard
     * streams.
     */
    private static final int OWN_DESCRIPTORS = 32;

    private static final int LEAST_SOCKETS = 16;
    private static final double DEFAULT_MOST_HELD = 20_000;
    private static final double DEFAULT_DEADLINE_NS = 30e9;
    private static final double DEFAULT_CONNECT_NS = 250e6;
    private static final double DEFAULT_IDLE_NS = 10e9;

    final String file;
    final String name;
    final InetSocketAddress listen;
    final InetSocketAddress discovery;

    /** Where operators call, or null where nobody does. */
    final InetSocketAddress operator;

    final long seed;

    /** The script that says with whom state is shared, or null where it is not. */
    final Path sharing;

    final Clock clock;

    /** A folder that all processes of this dispatcher share, or null. */
    final Path shared;

    private int descriptors;

    /** Sockets of all peers together, the operators' apart. */
    final int sockets;

    final PolicySettings settings;
    final int mostHeld;
    final long connectTimeoutMicros;
    final long idleTimeoutMicros;
    final Map<String, Long> deadlineMicros = new HashMap<>();

    /** The list as it was last known, or null. */
    final WorkerList known;

    private final Map<String, String> environment;
    private final JsonObject json;
    private final Map<String, String> pairs;

    private Config(Map<String, String> environment, JsonObject json) throws InvalidConfigException {
        this.environment = environment;
        this.json = json;
        file = environment.get("ROUTER_CONFIG");
        name = text("name", "ROUTER_NAME");
        String folder = environment.getOrDefault("TMPDIR", "");
        shared = folder.isEmpty() ? null : Path.of(folder);
        listen = address("listen", "ROUTER_LISTEN");
        discovery = address("discovery", "ROUTER_DISCOVERY");
        operator =
                has("operator", "ROUTER_OPERATOR") ? address("operator", "ROUTER_OPERATOR") : null;
        sharing =
                has("sharing", "ROUTER_SHARING")
                        ? Path.of(text("sharing", "ROUTER_SHARING"))
                        : null;
        clock = Clock.of(environment.get(Clock.VARIABLE));
        seed = seed();
        sockets = sockets();
        JsonValue given = json.get("settings");
        if (given == null || !given.isObject()) {
            throw new InvalidConfigException("settings", "an object is needed");
        }
        Required.requireWholeNumbers(given.asObject());
        pairs = JsonPairs.of(given.asObject());
        SettingsReader read = SettingsReader.ofPairs(pairs);
        try {
            settings = read.settings();
            mostHeld = (int) positive(read, "limits.mostHeld", DEFAULT_MOST_HELD);
            connectTimeoutMicros =
                    (long) (positive(read, "limits.connectTimeoutNs", DEFAULT_CONNECT_NS) / 1000);
            idleTimeoutMicros =
                    (long) (positive(read, "limits.connIdleNs", DEFAULT_IDLE_NS) / 1000);
            List<JobClass> classes = settings.classes;
            for (int i = 0; i < classes.size(); i++) {
                deadlineMicros.put(
                        classes.get(i).name(),
                        (long)
                                (positive(read, "classes." + i + ".deadlineNs", DEFAULT_DEADLINE_NS)
                                        / 1000));
            }
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("settings", e.getMessage());
        }
        known = known();
    }

    static Config read(Map<String, String> environment) throws InvalidConfigException {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigException("ROUTER_CONFIG", "not set");
        }
        try {
            return new Config(environment, Json.parse(Files.readString(Path.of(file))).asObject());
        } catch (IOException e) {
            throw new InvalidConfigException("ROUTER_CONFIG", "cannot be read: " + e);
        } catch (RuntimeException e) {
            throw new InvalidConfigException(
                    "ROUTER_CONFIG", "not a JSON object: " + e.getMessage());
        }
    }

    /** All settings as they are in force, in the order of the operators' page. */
    List<Effective> effective() {
        return Effective.of(this, json, pairs);
    }

    /** Who may submit jobs; empty where there are none. */
    Set<String> tenantNames() {
        return settings.tenants.stream().map(Tenant::name).collect(Collectors.toSet());
    }

    /** All that this process may hold. */
    int descriptors() {
        return descriptors;
    }

    /**
     * Reads the file again that this was read from. Beyond what a start asks it must have each key
     * that it had: one that is missing would fall back to a default that nobody chose, as in a file
     * that somebody is still writing.
     */
    Config readAgain() throws InvalidConfigException {
        Config next = read(environment);
        Required.requireKeys(json, next.json, "");
        return next;
    }

    boolean sameSettings(Config other) {
        return json.get("settings").equals(other.json.get("settings"));
    }

    /** The keys whose new values would need a new start; seed and list concern the start alone. */
    List<String> keysForNextStart(Config next) {
        List<String> keys = new ArrayList<>();
        for (String key : new String[] {"name", "listen", "operator", "sharing", "limits"}) {
            if (!Objects.equals(json.get(key), next.json.get(key))) {
                keys.add(key);
            }
        }
        return keys;
    }

    /** Places for sockets where so many processes share the descriptors. */
    int sockets(int processes) {
        return Math.max(LEAST_SOCKETS, descriptors / processes - (descriptors - sockets));
    }

    private String text(String key, String variable) throws InvalidConfigException {
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

    private boolean has(String key, String variable) {
        return json.get(key) != null || !environment.getOrDefault(variable, "").isEmpty();
    }

    private InetSocketAddress address(String key, String variable) throws InvalidConfigException {
        try {
            return AddressFormat.parse(text(key, variable));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(key, e.getMessage());
        }
    }

    private long seed() throws InvalidConfigException {
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

    private int sockets() throws InvalidConfigException {
        JsonValue limits = json.get("limits");
        JsonValue value =
                limits != null && limits.isObject() ? limits.asObject().get("sockets") : null;
        if (value != null && !value.isNumber()) {
            throw new InvalidConfigException("limits.sockets", "not a number");
        }
        descriptors = value == null ? DEFAULT_SOCKETS : (int) value.asDouble();
        int apart = OWN_DESCRIPTORS + (operator == null ? 0 : OperatorListener.MAX_SOCKETS);
        if (descriptors < 2 * OWN_DESCRIPTORS) {
            throw new InvalidConfigException(
                    "limits.sockets", "at least " + 2 * OWN_DESCRIPTORS + " are needed");
        }
        return descriptors - apart;
    }

    private static double positive(SettingsReader read, String key, double absent) {
        double value = read.number(key, absent);
        if (!(value > 0)) {
            throw new IllegalArgumentException(key + " must be positive");
        }
        return value;
    }

    private WorkerList known() throws InvalidConfigException {
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
