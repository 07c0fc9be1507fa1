package postgrade.script;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import postgrade.script.Values.HostObject;
import postgrade.script.Values.None;

/** The names that every script knows. */
final class Builtins {

    static final Map<String, Object> ALL = new HashMap<>();

    private Builtins() {}

    private static void put(String name, String parameters, Builtin.Body body) {
        ALL.put(name, new Builtin(name, parameters, body));
    }

    private static void open(String name, Set<String> names, Builtin.Open body) {
        ALL.put(name, Builtin.open(name, names, body));
    }

    /** Fills a dict from a dict or pairs, and from named arguments; as dict() and update() do. */
    static void fill(
            Run run, String who, DictValue to, List<Object> args, Map<String, Object> named) {
        if (args.size() > 1) {
            throw new ScriptError(who + ": takes at most 1 argument, got " + args.size());
        }
        if (!args.isEmpty() && args.get(0) instanceof DictValue d) {
            run.makes(8L * d.size());
            d.keyList().forEach(k -> to.put(k, d.getOrNull(k)));
        } else if (!args.isEmpty()) {
            for (Object pair : Values.list(args.get(0))) {
                List<Object> kv = Values.list(pair);
                if (kv.size() != 2) {
                    throw new ScriptError(
                            who
                                    + ": a pair of key and value is needed, got "
                                    + kv.size()
                                    + " values");
                }
                run.makes(8);
                to.put(kv.get(0), kv.get(1));
            }
        }
        named.forEach(to::put);
    }

    private static Object parsed(String text, Object base) {
        if (base == null && text.length() < 18 && !text.isEmpty()) { // Most are plain digits.
            long value = 0;
            int i = 0;
            while (i < text.length() && text.charAt(i) >= '0' && text.charAt(i) <= '9') {
                value = value * 10 + text.charAt(i++) - '0';
            }
            if (i == text.length()) {
                return value;
            }
        }
        int radix = base == null ? 10 : Values.small(base, "base");
        String s = text.strip().toLowerCase(java.util.Locale.ROOT);
        boolean minus = s.startsWith("-");
        s = minus || s.startsWith("+") ? s.substring(1) : s;
        for (Map.Entry<String, Integer> p : Map.of("0x", 16, "0o", 8, "0b", 2).entrySet()) {
            if (s.startsWith(p.getKey()) && (radix == p.getValue() || radix == 0)) {
                s = s.substring(2);
                radix = p.getValue();
                break;
            }
        }
        radix = radix == 0 ? 10 : radix;
        if (radix < 2 || radix > 36) {
            throw new ScriptError("int: base must be 0 or 2 to 36");
        }
        int r = radix;
        if (s.isEmpty()
                || s.length() > 10_000
                || !s.chars().allMatch(c -> c < 128 && Character.digit(c, r) >= 0)) {
            throw new ScriptError("int: not a number: " + Values.repr(text));
        }
        BigInteger n = new BigInteger(s, radix);
        return Values.number(minus ? n.negate() : n);
    }

    private static Object toInt(Object v, Object base) {
        if (v instanceof String s) {
            return parsed(s, base);
        }
        if (base != null) {
            throw new ScriptError("int: a base is for strings");
        }
        if (v instanceof Boolean b) {
            return b ? 1L : 0L;
        }
        if (v instanceof Double d) {
            if (d.isNaN() || d.isInfinite()) {
                throw new ScriptError("int: cannot convert " + Values.realText(d));
            }
            return Values.number(new BigDecimal(d).toBigInteger());
        }
        if (Values.isInt(v)) {
            return v;
        }
        throw new ScriptError("int: cannot convert " + Values.type(v));
    }

    private static Object toFloat(Object v) {
        if (v instanceof Boolean b) {
            return b ? 1.0 : 0.0;
        }
        if (Values.isNumber(v)) {
            double d = Values.real(v);
            if (Double.isInfinite(d) && !(v instanceof Double)) {
                throw new ScriptError("float: int too large");
            }
            return d;
        }
        String s = Values.text(v, "float: the argument").strip();
        switch (s.toLowerCase(java.util.Locale.ROOT).replaceFirst("^[+]", "")) {
            case "inf", "infinity":
                return Double.POSITIVE_INFINITY;
            case "-inf", "-infinity":
                return Double.NEGATIVE_INFINITY;
            case "nan", "-nan":
                return Double.NaN;
            default:
                if (!s.matches("[+-]?([0-9]+\\.?[0-9]*|\\.[0-9]+)([eE][+-]?[0-9]+)?")) {
                    throw new ScriptError("float: not a number: " + Values.repr(s));
                }
                return Double.parseDouble(s);
        }
    }

    private static Object best(
            Run run, String who, List<Object> args, Map<String, Object> named, int sign) {
        List<Object> all = args.size() == 1 ? Values.list(args.get(0)) : args;
        if (all.isEmpty()) {
            throw new ScriptError(who + ": no values");
        }
        Object key = named.get("key");
        Object best = null;
        Object bestKey = null;
        for (Object v : all) {
            run.step();
            Object k = keyed(run, key, v);
            if (best == null || sign * Values.compare(k, bestKey) > 0) {
                best = v;
                bestKey = k;
            }
        }
        return best;
    }

    private static Object keyed(Run run, Object key, Object v) {
        return key == null || key instanceof None
                ? v
                : callable(key).call(run, List.of(v), Map.of());
    }

    private static Callable callable(Object f) {
        if (f instanceof Callable c) {
            return c;
        }
        throw new ScriptError(Values.type(f) + " cannot be called");
    }

    private static Sequence.ListValue listOf(Run run, List<Object> values) {
        run.makes(8L * values.size());
        return new Sequence.ListValue(new ArrayList<>(values));
    }

    /** An attribute of any value: a field, or a method; null if there is none. */
    static Object attribute(Object v, String name) {
        if (v instanceof HostObject h) {
            return h.attribute(name);
        }
        return v instanceof Struct s ? s.get(name) : Methods.of(v, name);
    }

    private static List<Object> sorted(Run run, Object x, Object key, Object reverse) {
        List<Object> values = Values.list(x);
        run.makes(64L * values.size());
        record Keyed(Object key, Object value) {}
        List<Keyed> all = new ArrayList<>();
        values.forEach(v -> all.add(new Keyed(keyed(run, key, v), v)));
        Comparator<Keyed> order = (a, b) -> Values.compare(a.key, b.key);
        try {
            all.sort(reverse != null && Values.truth(reverse) ? order.reversed() : order);
        } catch (IllegalArgumentException e) {
            throw new ScriptError("sorted: the values have no order"); // NaN among them.
        }
        return new ArrayList<>(all.stream().map(Keyed::value).toList());
    }

    static {
        ALL.put("None", None.NONE);
        ALL.put("True", true);
        ALL.put("False", false);
        put(
                "abs",
                "x",
                (r, a) ->
                        Values.isNumber(a[0]) && Values.compare(a[0], 0L) < 0
                                ? Ops.unary("-", a[0])
                                : Ops.unary("+", a[0]));
        put("all", "x", (r, a) -> Values.list(a[0]).stream().allMatch(Values::truth));
        put("any", "x", (r, a) -> Values.list(a[0]).stream().anyMatch(Values::truth));
        put("bool", "x?", (r, a) -> a[0] != null && Values.truth(a[0]));
        open(
                "dict",
                null,
                (r, args, named) -> {
                    DictValue d = new DictValue();
                    fill(r, "dict", d, args, named);
                    return d;
                });
        put(
                "dir",
                "x",
                (r, a) -> {
                    Set<String> names = new TreeSet<>(Methods.names(a[0]));
                    if (a[0] instanceof Struct s) {
                        names.addAll(s.names());
                    }
                    return listOf(r, new ArrayList<>(names));
                });
        put(
                "enumerate",
                "x start?",
                (r, a) -> {
                    List<Object> pairs = new ArrayList<>();
                    long i = a[1] == null ? 0 : Values.small(a[1], "start");
                    for (Object v : Values.list(a[0])) {
                        pairs.add(Sequence.Tuple.of(i++, v));
                    }
                    return listOf(r, pairs);
                });
        open(
                "fail",
                Set.of("sep"),
                (r, args, named) -> {
                    throw new ScriptError(joined(args, named));
                });
        put("float", "x?", (r, a) -> a[0] == null ? 0.0 : toFloat(a[0]));
        put(
                "getattr",
                "x name default?",
                (r, a) -> {
                    Object v = attribute(a[0], Values.text(a[1], "name"));
                    if (v == null && a[2] == null) {
                        throw new ScriptError(Values.type(a[0]) + " has no attribute " + a[1]);
                    }
                    return v == null ? a[2] : v;
                });
        put("hasattr", "x name", (r, a) -> attribute(a[0], Values.text(a[1], "name")) != null);
        put("hash", "x", (r, a) -> (long) Values.text(a[0], "hash: the argument").hashCode());
        put("int", "x? base?", (r, a) -> a[0] == null ? 0L : toInt(a[0], a[1]));
        put("len", "x", (r, a) -> (long) Values.length(a[0]));
        put("list", "x?", (r, a) -> listOf(r, a[0] == null ? List.of() : Values.list(a[0])));
        open("max", Set.of("key"), (r, args, named) -> best(r, "max", args, named, 1));
        open("min", Set.of("key"), (r, args, named) -> best(r, "min", args, named, -1));
        open(
                "print",
                Set.of("sep"),
                (r, args, named) -> {
                    r.print(joined(args, named));
                    return None.NONE;
                });
        put(
                "range",
                "start_or_stop stop? step?",
                (r, a) -> {
                    long first = Values.small(a[0], "range");
                    return a[1] == null
                            ? Sequence.Range.of(0, first, 1)
                            : Sequence.Range.of(
                                    first,
                                    Values.small(a[1], "range"),
                                    a[2] == null ? 1 : Values.small(a[2], "range: step"));
                });
        put("repr", "x", (r, a) -> made(r, Values.repr(a[0])));
        put(
                "reversed",
                "x",
                (r, a) -> {
                    List<Object> all = new ArrayList<>(Values.list(a[0]));
                    java.util.Collections.reverse(all);
                    return listOf(r, all);
                });
        put("sorted", "x key? reverse?", (r, a) -> listOf(r, sorted(r, a[0], a[1], a[2])));
        put("str", "x", (r, a) -> made(r, Values.str(a[0])));
        open(
                "struct",
                null,
                (r, args, named) -> {
                    if (!args.isEmpty()) {
                        throw new ScriptError("struct: fields must be named");
                    }
                    DictValue fields = new DictValue();
                    named.forEach(fields::put);
                    return new Struct(fields);
                });
        put(
                "tuple",
                "x?",
                (r, a) ->
                        a[0] == null
                                ? Sequence.Tuple.EMPTY
                                : new Sequence.Tuple(listOf(r, Values.list(a[0])).toList()));
        put("type", "x", (r, a) -> Values.type(a[0]));
        open(
                "zip",
                Set.of(),
                (r, args, named) -> {
                    List<List<Object>> columns = args.stream().map(Values::list).toList();
                    int n = columns.stream().mapToInt(List::size).min().orElse(0);
                    List<Object> rows = new ArrayList<>();
                    for (int i = 0; i < n; i++) {
                        int at = i;
                        rows.add(new Sequence.Tuple(columns.stream().map(c -> c.get(at)).toList()));
                    }
                    r.makes(8L * n * args.size());
                    return listOf(r, rows);
                });
    }

    private static String made(Run run, String text) {
        run.makes(text.length());
        return text;
    }

    private static String joined(List<Object> args, Map<String, Object> named) {
        String sep = named.containsKey("sep") ? Values.text(named.get("sep"), "sep") : " ";
        return String.join(sep, args.stream().map(Values::str).toList());
    }
}
