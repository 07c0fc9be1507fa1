package postgrade.load.plan;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.ZoneId;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import postgrade.load.source.Cause;
import postgrade.load.source.Entry;
import postgrade.load.source.Policies;
import postgrade.script.DictValue;
import postgrade.script.Module;
import postgrade.script.Script;
import postgrade.script.ScriptError;
import postgrade.script.Values;

/**
 * A plan: a script whose {@code classify(entry)} says what job an entry stands for. All its
 * settings are checked here, before any source is read.
 */
public final class Plan {

    /** Steps of one call of classify. */
    private static final long STEPS = 100_000;

    private static final List<String> SETTINGS =
            List.of(
                    "anomalies",
                    "time_zone",
                    "retries",
                    "retry_window_s",
                    "deadline_ms",
                    "clock_backwards_tolerance_s",
                    "clock_forwards_gap_s");
    private static final int MOST_NAME = 128;

    private final String name;
    private final String sha256;
    private final Module.HostFunction classify;
    private final Policies policies = new Policies();
    private long deadlineMicros;

    private Plan(String name, String text, Module module) {
        this.name = name;
        sha256 = digest(text);
        classify = module.function("classify", 1, STEPS);
        read(module);
    }

    /** Reads a plan from a file. @throws ScriptError that names file, line and key */
    public static Plan of(Path file, Consumer<String> printer) throws IOException {
        if (!java.nio.file.Files.isReadable(file)) {
            throw new java.nio.file.NoSuchFileException(file.toString());
        }
        return new Plan(
                file.getFileName().toString(),
                java.nio.file.Files.readString(file),
                Script.run(file, predeclared(), printer));
    }

    /** A plan of ours: {@code har}, {@code log} or {@code jsonl}. */
    public static Plan shipped(String name) {
        String text = shippedText(name);
        return new Plan(
                name + ".star (shipped)",
                text,
                Script.run(name + ".star", text, predeclared(), l -> {}));
    }

    public static String shippedText(String name) {
        try (InputStream in = Plan.class.getResourceAsStream("/plans/" + name + ".star")) {
            if (in == null) {
                throw new IllegalArgumentException(
                        "no plan is shipped for " + name + "; there are har, log and jsonl");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** The shipped plan for a source's format. */
    public static Plan shippedFor(String format) {
        return shipped(format.equals("har") || format.equals("jsonl") ? format : "log");
    }

    private static Map<String, Object> predeclared() {
        return Map.of(
                "job",
                        Script.function(
                                "job",
                                "job_class tenant? key? deadline_ms? body_bytes? retry_key?",
                                Plan::job),
                "drop",
                        Script.function(
                                "drop",
                                "reason",
                                a -> new PlannedJob.Dropped(text(a[0], "reason"))));
    }

    private static Object job(Object[] a) {
        String jobClass = text(a[0], "job_class");
        if (jobClass.isEmpty()) {
            throw Script.error("job: job_class is empty");
        }
        return new PlannedJob(
                jobClass,
                optional(a[1], "tenant"),
                optional(a[2], "key"),
                a[3] == null || a[3] == Values.None.NONE
                        ? 0
                        : Math.round(number(a[3], "deadline_ms") * 1000),
                a[4] == null || a[4] == Values.None.NONE ? -1 : (long) number(a[4], "body_bytes"),
                optional(a[5], "retry_key"));
    }

    private static String optional(Object v, String what) {
        String s = v == null || v == Values.None.NONE ? null : text(v, what);
        return s == null || s.isEmpty() ? null : s;
    }

    private static String text(Object v, String what) {
        if (!(v instanceof String s)) {
            throw Script.error(what + " must be a string, not " + Values.type(v));
        }
        if (s.length() > MOST_NAME) {
            throw Script.error(what + " is longer than " + MOST_NAME + " characters");
        }
        return s;
    }

    private static double number(Object v, String what) {
        double d = v instanceof Long n ? n : v instanceof Double x ? x : Double.NaN;
        if (!(d >= 0 && d < 1e12)) {
            throw Script.error(what + " must be a number from 0 on, not " + Values.repr(v));
        }
        return d;
    }

    // ---- Settings.

    private void read(Module m) {
        Object anomalies = m.global("anomalies");
        if (anomalies != null) {
            if (!(anomalies instanceof DictValue d)) {
                throw faulty("anomalies", "must be a dict");
            }
            for (Object key : d.keyList()) {
                choose(key, d.getOrNull(key));
            }
        }
        for (String global : m.globals()) {
            // Guards against a setting that is misspelt and so does nothing.
            for (String known : SETTINGS) {
                if (!global.startsWith("_")
                        && !global.equals(known)
                        && global.replace("_", "").equalsIgnoreCase(known.replace("_", ""))) {
                    throw faulty(global, "is not a setting; " + known + " is");
                }
            }
        }
        Object zone = m.global("time_zone");
        if (zone != null) {
            try {
                policies.zone = ZoneId.of(textOf("time_zone", zone));
            } catch (DateTimeException e) {
                throw faulty("time_zone", "is not known: " + zone);
            }
        }
        Object retries = m.global("retries");
        if (retries != null) {
            try {
                policies.retries =
                        Policies.Retries.valueOf(
                                textOf("retries", retries).toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw faulty("retries", "must be auto, marked or none, not " + retries);
            }
        }
        policies.retryWindowMicros = micros(m, "retry_window_s", 1e6, policies.retryWindowMicros);
        policies.backwardsToleranceMicros =
                micros(m, "clock_backwards_tolerance_s", 1e6, policies.backwardsToleranceMicros);
        policies.forwardsGapMicros =
                micros(m, "clock_forwards_gap_s", 1e6, policies.forwardsGapMicros);
        deadlineMicros = micros(m, "deadline_ms", 1e3, 0);
    }

    private void choose(Object key, Object action) {
        for (Cause cause : Cause.values()) {
            if (cause.key().equals(key)) {
                try {
                    policies.choose(cause, textOf("anomalies[" + key + "]", action));
                } catch (IllegalArgumentException e) {
                    throw faulty("anomalies", e.getMessage());
                }
                return;
            }
        }
        throw faulty(
                "anomalies",
                "there is no anomaly "
                        + Values.repr(key)
                        + "; there are "
                        + String.join(
                                ", ", Policies.CHOICES.keySet().stream().map(Cause::key).toList()));
    }

    private long micros(Module m, String key, double unit, long absent) {
        Object v = m.global(key);
        if (v == null) {
            return absent;
        }
        double d = v instanceof Long n ? n : v instanceof Double x ? x : Double.NaN;
        if (!(d >= 0 && d < 1e12)) {
            throw faulty(key, "must be a number from 0 on, not " + Values.repr(v));
        }
        return Math.round(d * unit);
    }

    private String textOf(String key, Object v) {
        if (v instanceof String s) {
            return s;
        }
        throw faulty(key, "must be a string, not " + Values.type(v));
    }

    private IllegalArgumentException faulty(String key, String what) {
        return new IllegalArgumentException(name + ": " + key + ": " + what);
    }

    // ---- Use.

    public String name() {
        return name;
    }

    public String sha256() {
        return sha256;
    }

    public Policies policies() {
        return policies;
    }

    /**
     * What job an entry stands for.
     *
     * @return a {@link PlannedJob} or {@link PlannedJob.Dropped}
     * @throws ScriptError if classify fails or returns something else
     */
    public Object classify(Entry e) {
        Object made = classify.call(e);
        if (made instanceof PlannedJob j) {
            return j.deadlineMicros() > 0 || deadlineMicros == 0
                    ? j
                    : new PlannedJob(
                            j.jobClass(),
                            j.tenant(),
                            j.key(),
                            deadlineMicros,
                            j.bodyBytes(),
                            j.retryKey());
        }
        if (made instanceof PlannedJob.Dropped) {
            return made;
        }
        throw Script.error("classify must return job(...) or drop(...), not " + Values.type(made));
    }

    private static String digest(String text) {
        try {
            return HexFormat.of()
                    .formatHex(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // Every Java has it.
        }
    }
}
