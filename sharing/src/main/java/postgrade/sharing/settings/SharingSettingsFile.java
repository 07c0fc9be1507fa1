package postgrade.sharing.settings;

import java.math.BigInteger;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.zone.ZoneRules;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.event.Level;
import postgrade.log.EventLogs;
import postgrade.member.MembershipTerms;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.SharingFile;
import postgrade.script.DictValue;
import postgrade.script.Module;
import postgrade.script.Script;
import postgrade.script.Sequence;
import postgrade.script.Values;
import postgrade.sharing.window.WindowSettings;
import postgrade.window.Deadline;
import postgrade.window.JobClassWindow;

/** Reads {@code deploy/sharing.star}: which processes share the state, and how this one uses it. */
public final class SharingSettingsFile {

    private static final Set<String> KEYS =
            Set.of(
                    "memory",
                    "memory_every_s",
                    "places",
                    "lease_s",
                    "linger_s",
                    "floor",
                    "cut_off",
                    "accelerators",
                    "accelerators_version",
                    "reserving",
                    "lends",
                    "windows",
                    "sites_by_kind",
                    "sites_by_zone",
                    "clock_error_ms",
                    "return_multiple");
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MAX_VERSION = 1_000_000_000L;

    /** A class with windows, as a value of the script. */
    private record WindowValue(JobClassWindow window) implements Values.HostObject {
        @Override
        public String typeName() {
            return "window";
        }

        @Override
        public Object attribute(String name) {
            return null;
        }
    }

    static {
        EventLogs.setLoggerLevel("net.fortuna", Level.WARN);
    }

    private final Module script;

    private SharingSettingsFile(Module script) {
        this.script = script;
    }

    /** The settings of one file. */
    public record Contents(QuorumSettings quorum, SharingSettings sharing) {}

    /**
     * Reads and checks a settings file.
     *
     * @param dispatcher the name of the process if the file does not set one
     * @throws IllegalArgumentException with one sentence that names the file and the key
     */
    public static Contents read(Path file, String dispatcher) {
        Map<String, Object> names = new HashMap<>(SharingFile.scriptFunctions());
        names.put(
                "window",
                Script.function(
                        "window",
                        "job_class sites from_time? until? zone? lasts_ms? quantile?",
                        SharingSettingsFile::window));
        Module script = Script.run(file, names, line -> {});
        QuorumSettings quorum =
                SharingFile.read(
                        script, file, script.global("name") == null ? dispatcher : null, KEYS);
        try {
            return new Contents(quorum, new SharingSettingsFile(script).settings(quorum));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file.getFileName() + ": " + e.getMessage(), e);
        }
    }

    private SharingSettings settings(QuorumSettings quorum) {
        String folderName = optionalString("memory");
        Path folder =
                folderName != null ? Path.of(folderName).resolve(quorum.name()) : quorum.store();
        return new SharingSettings(
                folder,
                (long) (number("memory_every_s", 2, 0.1, 3600) * MICROS_PER_SECOND),
                (int) number("places", 0, 0, 1000),
                (long) (number("lease_s", 6, 4, 3600) * MICROS_PER_SECOND),
                (long) (number("linger_s", 20, 0, 3600) * MICROS_PER_SECOND),
                share("floor"),
                share("cut_off"),
                quorum.maxViewAgeMicros(),
                accelerators(),
                (long) number("accelerators_version", 1, 1, MAX_VERSION),
                reservingClasses(),
                bool("lends"),
                windows(),
                number("return_multiple", 2, 1, 1000));
    }

    private long share(String key) {
        return (long) (number(key, 0.25, 0.001, 1) * MembershipTerms.EVEN_SHARE);
    }

    private Map<String, Integer> accelerators() {
        Map<String, Integer> counts = new HashMap<>();
        dict("accelerators")
                .forEach(
                        (kind, v) -> {
                            if (!(v instanceof Long n) || n < 1 || n > 62) {
                                throw new IllegalArgumentException(
                                        "accelerators: "
                                                + kind
                                                + " must have 1 to 62, not "
                                                + Values.repr(v));
                            }
                            counts.put(kind, n.intValue());
                        });
        return counts;
    }

    private Set<String> reservingClasses() {
        Set<String> names = new HashSet<>();
        list("reserving").forEach(v -> names.add(string("reserving", v)));
        return names;
    }

    private WindowSettings windows() {
        List<JobClassWindow> classes = new ArrayList<>();
        for (Object v : list("windows")) {
            if (!(v instanceof WindowValue value)) {
                throw new IllegalArgumentException(
                        "windows: must hold window(...), not " + Values.type(v));
            }
            classes.add(value.window);
        }
        return new WindowSettings(
                classes,
                stringDict("sites_by_kind"),
                stringDict("sites_by_zone"),
                (long) number("clock_error_ms", 1000, 0, 3_600_000));
    }

    private static WindowValue window(Object[] args) {
        String zone = args[4] == null ? "UTC" : argument("zone", args[4]);
        try {
            ZoneRules rules = ZoneId.of(zone).getRules();
            List<String> sites = new ArrayList<>();
            if (!(args[1] instanceof Sequence s)) {
                throw Script.error("window: sites must be a list");
            }
            for (int i = 0; i < s.size(); i++) {
                sites.add(argument("sites", s.get(i)));
            }
            LocalTime from =
                    args[2] == null ? null : LocalTime.parse(argument("from_time", args[2]));
            Deadline until =
                    args[3] == null
                            ? Deadline.NONE
                            : new Deadline.Daily(
                                    LocalTime.parse(argument("until", args[3])), rules);
            return new WindowValue(
                    new JobClassWindow(
                            argument("job_class", args[0]),
                            sites,
                            from,
                            rules,
                            until,
                            args[6] == null ? 0 : checkRange("quantile", args[6], 0, 1),
                            args[5] == null ? 0 : (long) checkRange("lasts_ms", args[5], 0, 1e12)));
        } catch (DateTimeException | IllegalArgumentException e) {
            throw Script.error("window: " + e.getMessage());
        }
    }

    private static String argument(String name, Object v) {
        if (v instanceof String s) {
            return s;
        }
        throw Script.error("window: " + name + " must be a string, not " + Values.type(v));
    }

    // ---- Access to the globals of the script.

    private String optionalString(String key) {
        Object v = script.global(key);
        return v == null ? null : string(key, v);
    }

    private static String string(String key, Object v) {
        if (v instanceof String s) {
            return s;
        }
        throw new IllegalArgumentException(key + ": must be a string, not " + Values.type(v));
    }

    private boolean bool(String key) {
        Object v = script.global(key);
        if (v != null && !(v instanceof Boolean)) {
            throw new IllegalArgumentException(
                    key + ": must be True or False, not " + Values.type(v));
        }
        return v != null && (Boolean) v;
    }

    private double number(String key, double defaultValue, double min, double max) {
        Object v = script.global(key);
        return v == null ? defaultValue : checkRange(key, v, min, max);
    }

    private static double checkRange(String key, Object v, double min, double max) {
        if (!(v instanceof Long || v instanceof Double || v instanceof BigInteger)) {
            throw new IllegalArgumentException(key + ": must be a number, not " + Values.type(v));
        }
        double d = ((Number) v).doubleValue();
        if (!(d >= min && d <= max)) {
            throw new IllegalArgumentException(
                    key + ": must lie between " + format(min) + " and " + format(max));
        }
        return d;
    }

    private static String format(double d) {
        return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
    }

    private List<Object> list(String key) {
        Object v = script.global(key);
        List<Object> values = new ArrayList<>();
        if (v != null && !(v instanceof Sequence)) {
            throw new IllegalArgumentException(key + ": must be a list, not " + Values.type(v));
        }
        for (int i = 0; v != null && i < ((Sequence) v).size(); i++) {
            values.add(((Sequence) v).get(i));
        }
        return values;
    }

    private Map<String, Object> dict(String key) {
        Object v = script.global(key);
        if (v != null && !(v instanceof DictValue)) {
            throw new IllegalArgumentException(key + ": must be a dict, not " + Values.type(v));
        }
        Map<String, Object> entries = new HashMap<>();
        if (v != null) {
            ((DictValue) v)
                    .keyList()
                    .forEach(k -> entries.put(string(key, k), ((DictValue) v).getOrNull(k)));
        }
        return entries;
    }

    private Map<String, String> stringDict(String key) {
        Map<String, String> strings = new HashMap<>();
        dict(key).forEach((k, v) -> strings.put(k, string(key, v)));
        return strings;
    }
}
