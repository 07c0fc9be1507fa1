package postgrade.fleet.plan;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import postgrade.fleet.model.WorkerSpec;
import postgrade.script.DictValue;
import postgrade.script.Module;
import postgrade.script.Script;
import postgrade.script.Sequence;
import postgrade.script.Values;
import postgrade.script.Values.HostObject;

/**
 * A fleet as a script describes it. All of it is read and checked here; messages name file and key.
 */
public final class FleetPlan {

    /** What is known of a class of jobs. */
    public record JobClass(
            String name,
            double workMs,
            double sigma,
            int priority,
            boolean repeatable,
            double deadlineMs,
            double aimMs,
            double stretch,
            double worth,
            boolean accelerated) {}

    /**
     * A trouble with a time.
     *
     * @param at and lasts in seconds since the fleet's start
     * @param part of the workers that it meets, 0 to 1
     */
    public record Fault(
            String kind,
            double at,
            double lasts,
            double part,
            Map<String, Double> figures,
            String jobClass) {
        public double figure(String name, double absent) {
            return figures.getOrDefault(name, absent);
        }
    }

    /**
     * How call-backs behave: parts of them that come before the 202, twice, or late by up to so
     * much.
     */
    public record CallBacks(double early, double twice, double lateMs) {}

    /** Kinds of faults, with the figures that each takes. */
    private static final Map<String, List<String>> KINDS =
            Map.of(
                    "fast_errors",
                    List.of("share"),
                    "pauses",
                    List.of("every_s", "pause_ms"),
                    "neighbour",
                    List.of("share", "on_s"),
                    "heavy_tail",
                    List.of("share", "factor"),
                    "resets",
                    List.of("share"),
                    "silence",
                    List.of(),
                    "shrink",
                    List.of("drain_s"),
                    "restart",
                    List.of("down_s"),
                    "discovery_silence",
                    List.of(),
                    "drain",
                    List.of("drain_s"));

    /** One group of like workers, as the script states it. */
    private record Group(int count, WorkerSpec spec, double slowest, double fastest, String zone)
            implements HostObject {
        @Override
        public String typeName() {
            return "worker";
        }

        @Override
        public Object attribute(String name) {
            return null;
        }
    }

    private record Made(String typeName, Object value) implements HostObject {
        @Override
        public Object attribute(String name) {
            return null;
        }
    }

    /** One worker of the fleet. */
    public record Worker(String id, String zone, WorkerSpec spec) {}

    public final String name;
    public final long seed;
    public final List<Worker> workers = new ArrayList<>();
    public final Map<String, JobClass> classes = new LinkedHashMap<>();
    public final Map<String, Double> tenants = new LinkedHashMap<>();
    public final List<Fault> faults = new ArrayList<>();
    public final CallBacks callBacks;

    /**
     * How late changes of the list come, in milliseconds: the least and the most; and the part that
     * is lost.
     */
    public final double[] noticeMs;

    public final double noticesLost;
    public final double idleMs;
    public final int mostConnections;
    public final double handshakeMs;
    public final double progressMs;

    /** How long after it has taken a job a worker answers 202. */
    public final double answerMs;

    private FleetPlan(String name, Module m) {
        this.name = name;
        seed = (long) number(m, "seed", 1, Long.MIN_VALUE);
        SplittableRandom random = new SplittableRandom(seed);
        for (Object g : list(m, "workers", true)) {
            if (!(g instanceof Group group)) {
                throw faulty("workers", "must hold worker(...), not " + Values.type(g));
            }
            for (int i = 0; i < group.count; i++) {
                double speed =
                        group.slowest + (group.fastest - group.slowest) * random.nextDouble();
                WorkerSpec s = group.spec;
                workers.add(
                        new Worker(
                                String.format("w-%04d", workers.size() + 1),
                                group.zone,
                                new WorkerSpec(
                                        s.kind(),
                                        s.cores(),
                                        speed,
                                        s.queue(),
                                        s.coldShare(),
                                        s.warmMicros(),
                                        s.fallMultiple(),
                                        s.fallMicros(),
                                        s.suspends(),
                                        s.runsOn(),
                                        s.accelerators())));
            }
        }
        if (workers.isEmpty() || workers.size() > 2000) {
            throw faulty("workers", "1 to 2000 are needed, there are " + workers.size());
        }
        dict(m, "classes", true)
                .forEach(
                        (k, v) -> {
                            if (!(v instanceof Made made && made.value instanceof JobClass c)) {
                                throw faulty(
                                        "classes", k + " must be work(...), not " + Values.type(v));
                            }
                            classes.put(
                                    k,
                                    new JobClass(
                                            k,
                                            c.workMs,
                                            c.sigma,
                                            c.priority,
                                            c.repeatable,
                                            c.deadlineMs,
                                            c.aimMs,
                                            c.stretch,
                                            c.worth,
                                            c.accelerated));
                        });
        if (classes.isEmpty()) {
            throw faulty("classes", "at least one is needed");
        }
        dict(m, "tenants", false)
                .forEach((k, v) -> tenants.put(k, positive("tenants[" + k + "]", v)));
        for (Object f : list(m, "faults", false)) {
            if (!(f instanceof Made made && made.value instanceof Fault fault)) {
                throw faulty("faults", "must hold fault(...), not " + Values.type(f));
            }
            if (fault.jobClass != null && !classes.containsKey(fault.jobClass)) {
                throw faulty("faults", fault.kind + ": there is no class " + fault.jobClass);
            }
            faults.add(fault);
        }
        Object cb = m.global("callbacks");
        if (cb != null && !(cb instanceof Made made && made.value instanceof CallBacks)) {
            throw faulty("callbacks", "must be call_backs(...), not " + Values.type(cb));
        }
        callBacks = cb == null ? new CallBacks(0, 0, 0) : (CallBacks) ((Made) cb).value;
        noticeMs =
                range(
                        m.global("notice_ms") == null
                                ? Sequence.ListValue.class
                                : m.global("notice_ms"),
                        "notice_ms",
                        new double[] {50, 500});
        noticesLost = number(m, "notices_lost", 0, 0);
        idleMs = number(m, "idle_ms", 10_000, 1);
        mostConnections = (int) number(m, "most_connections", 256, 1);
        handshakeMs = number(m, "handshake_ms", 2, 0);
        progressMs = number(m, "progress_ms", 1000, 0);
        answerMs = number(m, "answer_ms", 0, 0);
    }

    /** Reads a fleet from a file. */
    public static FleetPlan of(Path file, Consumer<String> printer) throws IOException {
        if (!Files.isReadable(file)) {
            throw new NoSuchFileException(file.toString());
        }
        return new FleetPlan(file.getFileName().toString(), Script.run(file, names(), printer));
    }

    /** A fleet from a text, for tests and the shipped ones. */
    public static FleetPlan of(String name, String text) {
        return new FleetPlan(name, Script.run(name, text, names(), l -> {}));
    }

    /**
     * A fleet of ours, by name: {@code zagreb} is the operators' own, {@code route-boxes} has
     * accelerators.
     */
    public static String shippedText(String name) {
        try (InputStream in = FleetPlan.class.getResourceAsStream("/fleets/" + name + ".star")) {
            if (in == null) {
                throw new IllegalArgumentException("no fleet is shipped by the name " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static Map<String, Object> names() {
        return Map.of(
                "worker",
                        Script.function(
                                "worker",
                                "count kind cores speed queue? zone? cold_share? warm_s?"
                                        + " fall_multiple? fall_s? suspends? runs_on? accelerators?",
                                a ->
                                        new Group(
                                                (int) num("count", a[0], 1),
                                                new WorkerSpec(
                                                        str("kind", a[1]),
                                                        (int) num("cores", a[2], 1),
                                                        1,
                                                        (int) num("queue", or(a[4], 8L), 0),
                                                        num("cold_share", or(a[6], 0.14), 0),
                                                        (long)
                                                                (num("warm_s", or(a[7], 23L), 0)
                                                                        * 1e6),
                                                        num("fall_multiple", or(a[8], 3L), 0),
                                                        (long)
                                                                (num("fall_s", or(a[9], 2L), 0)
                                                                        * 1e6),
                                                        bool("suspends", or(a[10], true)),
                                                        bool("runs_on", or(a[11], false)),
                                                        (int)
                                                                num(
                                                                        "accelerators",
                                                                        or(a[12], 0L),
                                                                        0)),
                                                pair("speed", a[3])[0],
                                                pair("speed", a[3])[1],
                                                str("zone", or(a[5], "main")))),
                "work",
                        Script.function(
                                "work",
                                "mean_ms sigma? priority? repeatable? deadline_ms? aim_ms? stretch?"
                                        + " worth? accelerated?",
                                a ->
                                        new Made(
                                                "work",
                                                new JobClass(
                                                        "",
                                                        num("mean_ms", a[0], 0),
                                                        num("sigma", or(a[1], 0.4), 0),
                                                        (int) num("priority", or(a[2], 0L), 0),
                                                        bool("repeatable", or(a[3], true)),
                                                        num("deadline_ms", or(a[4], 5000L), 1),
                                                        num("aim_ms", or(a[5], 200L), 0),
                                                        num("stretch", or(a[6], 2L), 0),
                                                        num("worth", or(a[7], 1L), 0),
                                                        bool("accelerated", or(a[8], false))))),
                "call_backs",
                        Script.function(
                                "call_backs",
                                "early? twice? late_ms?",
                                a ->
                                        new Made(
                                                "call_backs",
                                                new CallBacks(
                                                        share("early", or(a[0], 0L)),
                                                        share("twice", or(a[1], 0L)),
                                                        num("late_ms", or(a[2], 0L), 0)))),
                "fault",
                        Script.function(
                                "fault",
                                "kind at lasts part? job_class? figures?",
                                FleetPlan::fault));
    }

    private static Object fault(Object[] a) {
        String kind = str("kind", a[0]);
        List<String> known = KINDS.get(kind);
        if (known == null) {
            throw Script.error(
                    "fault: there is no kind "
                            + kind
                            + "; there are "
                            + String.join(", ", KINDS.keySet().stream().sorted().toList()));
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        if (a[5] instanceof DictValue d) {
            for (Object k : d.keyList()) {
                if (!(k instanceof String s) || !known.contains(s)) {
                    throw Script.error(
                            "fault: "
                                    + kind
                                    + " has no figure "
                                    + Values.repr(k)
                                    + "; it has "
                                    + known);
                }
                figures.put(s, num(s, d.getOrNull(k), 0));
            }
        } else if (a[5] != null) {
            throw Script.error("fault: figures must be a dict, not " + Values.type(a[5]));
        }
        return new Made(
                "fault",
                new Fault(
                        kind,
                        num("at", a[1], 0),
                        num("lasts", a[2], 0),
                        share("part", or(a[3], 1L)),
                        figures,
                        a[4] == null ? null : str("job_class", a[4])));
    }

    // ---- Reading values.

    private static Object or(Object given, Object absent) {
        return given == null || given == Values.None.NONE ? absent : given;
    }

    private static double num(String key, Object v, double least) {
        double d = v instanceof Long n ? n : v instanceof Double x ? x : Double.NaN;
        if (!(d >= least && d < 1e15)) {
            throw Script.error(
                    key + " must be a number from " + plain(least) + " on, not " + Values.repr(v));
        }
        return d;
    }

    private static String plain(double d) {
        return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
    }

    private static double share(String key, Object v) {
        double d = num(key, v, 0);
        if (d > 1) {
            throw Script.error(key + " must be from 0 to 1, not " + Values.repr(v));
        }
        return d;
    }

    private static String str(String key, Object v) {
        if (v instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw Script.error(key + " must be a string, not " + Values.repr(v));
    }

    private static boolean bool(String key, Object v) {
        if (v instanceof Boolean b) {
            return b;
        }
        throw Script.error(key + " must be True or False, not " + Values.repr(v));
    }

    private static double[] pair(String key, Object v) {
        if (v instanceof Sequence s && s.size() == 2) {
            double low = num(key, s.get(0), 0);
            return new double[] {low, num(key, s.get(1), low)};
        }
        double d = num(key, v, 0);
        return new double[] {d, d};
    }

    private double[] range(Object v, String key, double[] absent) {
        try {
            return v instanceof Class<?> ? absent : pair(key, v);
        } catch (postgrade.script.ScriptError e) {
            throw faulty(key, e.what());
        }
    }

    private double positive(String key, Object v) {
        double d = v instanceof Long n ? n : v instanceof Double x ? x : Double.NaN;
        if (!(d > 0)) {
            throw faulty(key, "must be above 0, not " + Values.repr(v));
        }
        return d;
    }

    private double number(Module m, String key, double absent, double least) {
        Object v = m.global(key);
        if (v == null) {
            return absent;
        }
        double d = v instanceof Long n ? n : v instanceof Double x ? x : Double.NaN;
        if (!(d >= least)) {
            throw faulty(
                    key,
                    "must be a number"
                            + (least == Long.MIN_VALUE ? "" : " from " + plain(least) + " on")
                            + ", not "
                            + Values.repr(v));
        }
        return d;
    }

    private List<Object> list(Module m, String key, boolean needed) {
        Object v = m.global(key);
        if (v == null && !needed) {
            return List.of();
        }
        if (v instanceof Sequence s) {
            return s.toList();
        }
        throw faulty(key, v == null ? "is missing" : "must be a list, not " + Values.type(v));
    }

    private Map<String, Object> dict(Module m, String key, boolean needed) {
        Object v = m.global(key);
        if (v == null && !needed) {
            return Map.of();
        }
        if (!(v instanceof DictValue d)) {
            throw faulty(key, v == null ? "is missing" : "must be a dict, not " + Values.type(v));
        }
        Map<String, Object> map = new LinkedHashMap<>();
        for (Object k : d.keyList()) {
            if (!(k instanceof String s)) {
                throw faulty(key, "its keys must be strings, not " + Values.type(k));
            }
            map.put(s, d.getOrNull(k));
        }
        return map;
    }

    private IllegalArgumentException faulty(String key, String what) {
        return new IllegalArgumentException(name + ": " + key + ": " + what);
    }

    /**
     * How long the job of this id takes on a core of speed 1, in microseconds: the same wherever it
     * runs.
     */
    public double workMicros(JobClass c, String id) {
        SplittableRandom r = new SplittableRandom(seed * 31 + id.hashCode());
        double gauss =
                Math.sqrt(-2 * Math.log(1 - r.nextDouble()))
                        * Math.cos(2 * Math.PI * r.nextDouble());
        return Math.max(1000, c.workMs * 1000 * Math.exp(c.sigma * gauss - c.sigma * c.sigma / 2));
    }
}
