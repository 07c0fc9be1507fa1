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

/**
 * Reads {@code deploy/sharing.star}: with whom a process shares, and what it does with the shared
 * state.
 */
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
    private static final double MICROS = 1e6;
    private static final long MOST = 1_000_000_000L;

    /** A class with windows, as the script made it. */
    private record Made(JobClassWindow window) implements Values.HostObject {
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

    /** What one file says. */
    public record Contents(QuorumSettings quorum, SharingSettings sharing) {}

    /**
     * @param dispatcher name of the process, where the file does not say another
     * @throws IllegalArgumentException with one sentence that names file and key
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

    private SharingSettings settings(QuorumSettings q) {
        String memory = text("memory");
        Path folder = memory != null ? Path.of(memory).resolve(q.name()) : q.store();
        return new SharingSettings(
                folder,
                (long) (number("memory_every_s", 2, 0.1, 3600) * MICROS),
                (int) number("places", 0, 0, 1000),
                (long) (number("lease_s", 6, 4, 3600) * MICROS),
                (long) (number("linger_s", 20, 0, 3600) * MICROS),
                share("floor"),
                share("cut_off"),
                q.maxViewAgeMicros(),
                counts(),
                (long) number("accelerators_version", 1, 1, MOST),
                reserving(),
                truth("lends"),
                windows(),
                number("return_multiple", 2, 1, 1000));
    }

    private long share(String key) {
        return (long) (number(key, 0.25, 0.001, 1) * MembershipTerms.EVEN_SHARE);
    }

    private Map<String, Integer> counts() {
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

    private Set<String> reserving() {
        Set<String> names = new HashSet<>();
        list("reserving").forEach(v -> names.add(string("reserving", v)));
        return names;
    }

    private WindowSettings windows() {
        List<JobClassWindow> classes = new ArrayList<>();
        for (Object v : list("windows")) {
            if (!(v instanceof Made made)) {
                throw new IllegalArgumentException(
                        "windows: must hold window(...), not " + Values.type(v));
            }
            classes.add(made.window);
        }
        return new WindowSettings(
                classes,
                texts("sites_by_kind"),
                texts("sites_by_zone"),
                (long) number("clock_error_ms", 1000, 0, 3_600_000));
    }

    private static Made window(Object[] a) {
        String zone = a[4] == null ? "UTC" : argument("zone", a[4]);
        try {
            ZoneRules rules = ZoneId.of(zone).getRules();
            List<String> sites = new ArrayList<>();
            if (!(a[1] instanceof Sequence s)) {
                throw Script.error("window: sites must be a list");
            }
            for (int i = 0; i < s.size(); i++) {
                sites.add(argument("sites", s.get(i)));
            }
            LocalTime from = a[2] == null ? null : LocalTime.parse(argument("from_time", a[2]));
            Deadline until =
                    a[3] == null
                            ? Deadline.NONE
                            : new Deadline.Daily(LocalTime.parse(argument("until", a[3])), rules);
            return new Made(
                    new JobClassWindow(
                            argument("job_class", a[0]),
                            sites,
                            from,
                            rules,
                            until,
                            a[6] == null ? 0 : within("quantile", a[6], 0, 1),
                            a[5] == null ? 0 : (long) within("lasts_ms", a[5], 0, 1e12)));
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

    // ---- Values of the script.

    private String text(String key) {
        Object v = script.global(key);
        return v == null ? null : string(key, v);
    }

    private static String string(String key, Object v) {
        if (v instanceof String s) {
            return s;
        }
        throw new IllegalArgumentException(key + ": must be a string, not " + Values.type(v));
    }

    private boolean truth(String key) {
        Object v = script.global(key);
        if (v != null && !(v instanceof Boolean)) {
            throw new IllegalArgumentException(
                    key + ": must be True or False, not " + Values.type(v));
        }
        return v != null && (Boolean) v;
    }

    private double number(String key, double otherwise, double least, double most) {
        Object v = script.global(key);
        return v == null ? otherwise : within(key, v, least, most);
    }

    private static double within(String key, Object v, double least, double most) {
        if (!(v instanceof Long || v instanceof Double || v instanceof BigInteger)) {
            throw new IllegalArgumentException(key + ": must be a number, not " + Values.type(v));
        }
        double d = ((Number) v).doubleValue();
        if (!(d >= least && d <= most)) {
            throw new IllegalArgumentException(
                    key + ": must lie between " + plain(least) + " and " + plain(most));
        }
        return d;
    }

    private static String plain(double d) {
        return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
    }

    private List<Object> list(String key) {
        Object v = script.global(key);
        List<Object> all = new ArrayList<>();
        if (v != null && !(v instanceof Sequence)) {
            throw new IllegalArgumentException(key + ": must be a list, not " + Values.type(v));
        }
        for (int i = 0; v != null && i < ((Sequence) v).size(); i++) {
            all.add(((Sequence) v).get(i));
        }
        return all;
    }

    private Map<String, Object> dict(String key) {
        Object v = script.global(key);
        if (v != null && !(v instanceof DictValue)) {
            throw new IllegalArgumentException(key + ": must be a dict, not " + Values.type(v));
        }
        Map<String, Object> all = new HashMap<>();
        if (v != null) {
            ((DictValue) v)
                    .keyList()
                    .forEach(k -> all.put(string(key, k), ((DictValue) v).getOrNull(k)));
        }
        return all;
    }

    private Map<String, String> texts(String key) {
        Map<String, String> all = new HashMap<>();
        dict(key).forEach((k, v) -> all.put(k, string(key, v)));
        return all;
    }
}
