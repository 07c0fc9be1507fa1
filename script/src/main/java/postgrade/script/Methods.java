package postgrade.script;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import postgrade.script.Values.None;

/** The methods of strings, lists and dicts. */
final class Methods {

    /**
     * What a method does with its own value, given its arguments in order; null for one left out.
     */
    interface Body<T> {
        Object call(Run run, T self, Object[] a);
    }

    record Method<T>(Signature signature, Body<T> body) {
        @SuppressWarnings("unchecked") // Found by the value's own type.
        Object call(Run run, Object self, Object[] values, int plain, String[] names) {
            run.step();
            return body.call(run, (T) self, signature.bind(values, plain, names));
        }
    }

    private static final Map<String, Method<String>> OF_STRING = new HashMap<>();
    private static final Map<String, Method<Sequence.ListValue>> OF_LIST = new HashMap<>();
    private static final Map<String, Method<DictValue>> OF_DICT = new HashMap<>();

    private Methods() {}

    /** A value's method, bound to it; null if it has none of this name. */
    static Callable of(Object v, String name) {
        if (v instanceof String s) {
            if (name.equals("format")) {
                return Builtin.open(
                        "format", null, (run, args, named) -> Format.braces(run, s, args, named));
            }
            return bound(OF_STRING.get(name), s);
        } else if (v instanceof Sequence.ListValue l) {
            return bound(OF_LIST.get(name), l);
        } else if (v instanceof DictValue d) {
            if (name.equals("update")) {
                return Builtin.open(
                        "update",
                        null,
                        (run, args, named) -> {
                            d.check();
                            Builtins.fill(run, "update", d, args, named);
                            return None.NONE;
                        });
            }
            return bound(OF_DICT.get(name), d);
        }
        return null;
    }

    private static <T> Callable bound(Method<T> m, T self) {
        return m == null ? null : new Builtin(m.signature, (run, a) -> m.body.call(run, self, a));
    }

    /** A value's method where it has fixed parameters, else null. */
    static Method<?> find(Object v, String name) {
        return v instanceof String
                ? OF_STRING.get(name)
                : v instanceof Sequence.ListValue
                        ? OF_LIST.get(name)
                        : v instanceof DictValue ? OF_DICT.get(name) : null;
    }

    static Set<String> names(Object v) {
        Set<String> names = new TreeSet<>();
        if (v instanceof String) {
            names.addAll(OF_STRING.keySet());
            names.add("format");
        } else if (v instanceof Sequence.ListValue) {
            names.addAll(OF_LIST.keySet());
        } else if (v instanceof DictValue) {
            names.addAll(OF_DICT.keySet());
            names.add("update");
        }
        return names;
    }

    private static void string(String name, String parameters, Body<String> body) {
        OF_STRING.put(name, new Method<>(new Signature(name, parameters), body));
    }

    private static void list(String name, String parameters, Body<Sequence.ListValue> body) {
        OF_LIST.put(name, new Method<>(new Signature(name, parameters), body));
    }

    private static void dict(String name, String parameters, Body<DictValue> body) {
        OF_DICT.put(name, new Method<>(new Signature(name, parameters), body));
    }

    private static String str(Object v, String what) {
        return Values.text(v, what);
    }

    private static Sequence.ListValue listOf(Run run, List<?> values) {
        run.makes(8L * values.size());
        return new Sequence.ListValue(new ArrayList<>(values));
    }

    /** The part of a string that start and end choose, as slices do. */
    private static int[] span(String s, Object start, Object end) {
        int n = s.length();
        return new int[] {edge(start, 0, n), edge(end, n, n)};
    }

    private static int edge(Object given, int absent, int n) {
        if (given == null || given instanceof None) {
            return absent;
        }
        long i = Values.small(given, "index");
        return (int) Math.max(0, Math.min(n, i < 0 ? i + n : i));
    }

    private static long find(String s, Object[] a, boolean last) {
        int[] span = span(s, a[1], a[2]);
        if (span[0] > span[1]) {
            return -1;
        }
        String part = s.substring(span[0], span[1]);
        int at = last ? part.lastIndexOf(str(a[0], "sub")) : part.indexOf(str(a[0], "sub"));
        return at < 0 ? -1 : at + (long) span[0];
    }

    private static long found(long at) {
        if (at < 0) {
            throw new ScriptError("substring not found");
        }
        return at;
    }

    private static boolean all(String s, IntPredicate p) {
        for (int i = 0; i < s.length(); i++) {
            if (!p.test(s.charAt(i))) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    private static String strip(String s, Object chars, boolean left, boolean right) {
        String cut = chars == null || chars instanceof None ? null : str(chars, "chars");
        int from = 0;
        int to = s.length();
        while (left && from < to && strips(s.charAt(from), cut)) {
            from++;
        }
        while (right && to > from && strips(s.charAt(to - 1), cut)) {
            to--;
        }
        return s.substring(from, to);
    }

    private static boolean strips(char c, String cut) {
        return cut == null ? Character.isWhitespace(c) : cut.indexOf(c) >= 0;
    }

    private static boolean any(
            Object given, java.util.function.Predicate<String> test, String what) {
        if (given instanceof Sequence.Tuple t) {
            return t.toList().stream().anyMatch(o -> test.test(str(o, what)));
        }
        return test.test(str(given, what));
    }

    private static List<String> split(String s, Object sep, Object most, boolean right) {
        int limit = most == null || most instanceof None ? -1 : Values.small(most, "maxsplit");
        List<String> parts = new ArrayList<>();
        String by = sep == null || sep instanceof None ? null : str(sep, "sep");
        if (by != null && by.isEmpty()) {
            throw new ScriptError("split: empty separator");
        }
        String rest = s;
        if (!right) {
            while (limit < 0 || parts.size() < limit) {
                rest = by == null ? strip(rest, null, true, false) : rest;
                int at = by == null ? space(rest) : rest.indexOf(by);
                if (at < 0) {
                    break;
                }
                parts.add(rest.substring(0, at));
                rest = rest.substring(at + (by == null ? 1 : by.length()));
            }
            rest = by == null ? strip(rest, null, true, limit < 0 || parts.size() < limit) : rest;
            if (by != null || !rest.isEmpty()) {
                parts.add(rest);
            }
            return parts;
        }
        while (limit < 0 || parts.size() < limit) {
            rest = by == null ? strip(rest, null, false, true) : rest;
            int at = by == null ? lastSpace(rest) : rest.lastIndexOf(by);
            if (at < 0) {
                break;
            }
            parts.add(0, rest.substring(at + (by == null ? 1 : by.length())));
            rest = rest.substring(0, at);
        }
        rest = by == null ? strip(rest, null, limit < 0 || parts.size() < limit, true) : rest;
        if (by != null || !rest.isEmpty()) {
            parts.add(0, rest);
        }
        return parts;
    }

    private static int space(String s) {
        for (int i = 0; i < s.length(); i++) {
            if (Character.isWhitespace(s.charAt(i))) {
                return i;
            }
        }
        return -1;
    }

    private static int lastSpace(String s) {
        for (int i = s.length() - 1; i >= 0; i--) {
            if (Character.isWhitespace(s.charAt(i))) {
                return i;
            }
        }
        return -1;
    }

    private static String title(String s) {
        StringBuilder to = new StringBuilder();
        boolean inside = false;
        for (char c : s.toCharArray()) {
            to.append(inside ? Character.toLowerCase(c) : Character.toUpperCase(c));
            inside = Character.isLetter(c);
        }
        return to.toString();
    }

    private static Sequence.Tuple cut(String s, int at, int length, boolean right) {
        if (at < 0) {
            return right ? Sequence.Tuple.of("", "", s) : Sequence.Tuple.of(s, "", "");
        }
        return Sequence.Tuple.of(
                s.substring(0, at), s.substring(at, at + length), s.substring(at + length));
    }

    private static String separator(Object v) {
        String sep = str(v, "sep");
        if (sep.isEmpty()) {
            throw new ScriptError("empty separator");
        }
        return sep;
    }

    private static List<String> lines(String s, boolean keep) {
        List<String> lines = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c == '\n' || c == '\r') {
                int end =
                        c == '\r' && i + 1 < s.length() && s.charAt(i + 1) == '\n' ? i + 2 : i + 1;
                lines.add(s.substring(from, keep ? end : i));
                from = end;
                i = end - 1;
            }
        }
        if (from < s.length()) {
            lines.add(s.substring(from));
        }
        return lines;
    }

    private static String replace(Run run, String s, Object[] a) {
        String old = str(a[0], "old");
        String by = str(a[1], "new");
        int most = a[2] == null || a[2] instanceof None ? -1 : Values.small(a[2], "count");
        StringBuilder to = new StringBuilder();
        int from = 0;
        for (int n = 0; most < 0 || n < most; n++) {
            int at = s.indexOf(old, from);
            if (at < 0 || from > s.length()) {
                break;
            }
            to.append(s, from, at).append(by);
            run.makes(to.length());
            from = at + old.length();
            if (old.isEmpty()) {
                if (at >= s.length()) {
                    return to.toString();
                }
                to.append(s.charAt(at));
                from = at + 1;
            }
        }
        return to.append(s.substring(Math.min(from, s.length()))).toString();
    }

    private static long count(String s, Object[] a) {
        int[] span = span(s, a[1], a[2]);
        if (span[0] > span[1]) {
            return 0;
        }
        String part = s.substring(span[0], span[1]);
        String sub = str(a[0], "sub");
        if (sub.isEmpty()) {
            return part.length() + 1L;
        }
        long n = 0;
        for (int at = part.indexOf(sub); at >= 0; at = part.indexOf(sub, at + sub.length())) {
            n++;
        }
        return n;
    }

    static {
        string(
                "capitalize",
                "",
                (r, s, a) ->
                        s.isEmpty()
                                ? s
                                : s.substring(0, 1).toUpperCase(Locale.ROOT)
                                        + s.substring(1).toLowerCase(Locale.ROOT));
        string("count", "sub start? end?", (r, s, a) -> count(s, a));
        string(
                "elems",
                "",
                (r, s, a) -> listOf(r, s.chars().mapToObj(c -> String.valueOf((char) c)).toList()));
        string(
                "endswith",
                "suffix start? end?",
                (r, s, a) -> {
                    int[] p = span(s, a[1], a[2]);
                    return p[0] <= p[1] && any(a[0], s.substring(p[0], p[1])::endsWith, "suffix");
                });
        string(
                "startswith",
                "prefix start? end?",
                (r, s, a) -> {
                    int[] p = span(s, a[1], a[2]);
                    return p[0] <= p[1] && any(a[0], s.substring(p[0], p[1])::startsWith, "prefix");
                });
        string("find", "sub start? end?", (r, s, a) -> find(s, a, false));
        string("rfind", "sub start? end?", (r, s, a) -> find(s, a, true));
        string("index", "sub start? end?", (r, s, a) -> found(find(s, a, false)));
        string("rindex", "sub start? end?", (r, s, a) -> found(find(s, a, true)));
        string("isalnum", "", (r, s, a) -> all(s, Character::isLetterOrDigit));
        string("isalpha", "", (r, s, a) -> all(s, Character::isLetter));
        string("isdigit", "", (r, s, a) -> all(s, Character::isDigit));
        string("isspace", "", (r, s, a) -> all(s, Character::isWhitespace));
        string(
                "islower",
                "",
                (r, s, a) ->
                        s.equals(s.toLowerCase(Locale.ROOT))
                                && s.chars().anyMatch(Character::isLetter));
        string(
                "isupper",
                "",
                (r, s, a) ->
                        s.equals(s.toUpperCase(Locale.ROOT))
                                && s.chars().anyMatch(Character::isLetter));
        string(
                "istitle",
                "",
                (r, s, a) -> s.equals(title(s)) && s.chars().anyMatch(Character::isLetter));
        string(
                "join",
                "parts",
                (r, s, a) -> {
                    StringBuilder to = new StringBuilder();
                    for (Object part : Values.list(a[0])) {
                        to.append(to.length() == 0 ? "" : s).append(str(part, "join: each part"));
                        r.makes(to.length());
                    }
                    return to.toString();
                });
        string("lower", "", (r, s, a) -> s.toLowerCase(Locale.ROOT));
        string("upper", "", (r, s, a) -> s.toUpperCase(Locale.ROOT));
        string("title", "", (r, s, a) -> title(s));
        string("strip", "chars?", (r, s, a) -> strip(s, a[0], true, true));
        string("lstrip", "chars?", (r, s, a) -> strip(s, a[0], true, false));
        string("rstrip", "chars?", (r, s, a) -> strip(s, a[0], false, true));
        string(
                "partition",
                "sep",
                (r, s, a) -> {
                    String sep = separator(a[0]);
                    return cut(s, s.indexOf(sep), sep.length(), false);
                });
        string(
                "rpartition",
                "sep",
                (r, s, a) -> {
                    String sep = separator(a[0]);
                    return cut(s, s.lastIndexOf(sep), sep.length(), true);
                });
        string(
                "removeprefix",
                "prefix",
                (r, s, a) ->
                        s.startsWith(str(a[0], "prefix"))
                                ? s.substring(((String) a[0]).length())
                                : s);
        string(
                "removesuffix",
                "suffix",
                (r, s, a) ->
                        s.endsWith(str(a[0], "suffix"))
                                ? s.substring(0, s.length() - ((String) a[0]).length())
                                : s);
        string("replace", "old new count?", Methods::replace);
        string("split", "sep? maxsplit?", (r, s, a) -> listOf(r, split(s, a[0], a[1], false)));
        string("rsplit", "sep? maxsplit?", (r, s, a) -> listOf(r, split(s, a[0], a[1], true)));
        string(
                "splitlines",
                "keepends?",
                (r, s, a) -> listOf(r, lines(s, a[0] != null && Values.truth(a[0]))));

        list(
                "append",
                "x",
                (r, l, a) -> {
                    r.makes(8);
                    l.changeable().add(a[0]);
                    return None.NONE;
                });
        list(
                "clear",
                "",
                (r, l, a) -> {
                    l.changeable().clear();
                    return None.NONE;
                });
        list(
                "extend",
                "x",
                (r, l, a) -> {
                    List<Object> more = Values.list(a[0]);
                    r.makes(8L * more.size() + l.size());
                    l.changeable().addAll(more);
                    return None.NONE;
                });
        list(
                "index",
                "x start? end?",
                (r, l, a) -> {
                    int end = edge(a[2], l.size(), l.size());
                    for (int i = edge(a[1], 0, l.size()); i < end; i++) {
                        if (Values.equal(l.get(i), a[0])) {
                            return (long) i;
                        }
                    }
                    throw new ScriptError("value not found in list");
                });
        list(
                "insert",
                "i x",
                (r, l, a) -> {
                    r.makes(8);
                    l.changeable().add(edge(a[0], 0, l.size()), a[1]);
                    return None.NONE;
                });
        list(
                "pop",
                "i?",
                (r, l, a) -> {
                    ArrayList<Object> values = l.changeable();
                    return values.remove(
                            Ops.position(a[0] == null ? -1L : a[0], values.size(), "list"));
                });
        list(
                "remove",
                "x",
                (r, l, a) -> {
                    ArrayList<Object> values = l.changeable();
                    for (int i = 0; i < values.size(); i++) {
                        if (Values.equal(values.get(i), a[0])) {
                            values.remove(i);
                            return None.NONE;
                        }
                    }
                    throw new ScriptError("value not found in list");
                });

        dict(
                "clear",
                "",
                (r, d, a) -> {
                    d.clear();
                    return None.NONE;
                });
        dict("get", "key default?", (r, d, a) -> or(d.getOrNull(a[0]), a[1]));
        dict(
                "items",
                "",
                (r, d, a) ->
                        listOf(
                                r,
                                d.keyList().stream()
                                        .map(k -> Sequence.Tuple.of(k, d.getOrNull(k)))
                                        .toList()));
        dict("keys", "", (r, d, a) -> listOf(r, d.keyList()));
        dict("values", "", (r, d, a) -> listOf(r, d.keyList().stream().map(d::getOrNull).toList()));
        dict(
                "pop",
                "key default?",
                (r, d, a) -> {
                    Object was = d.remove(a[0]);
                    if (was == null && a[1] == null) {
                        throw new ScriptError(
                                "pop: key " + Values.repr(a[0]) + " not found in dict");
                    }
                    return was == null ? a[1] : was;
                });
        dict(
                "popitem",
                "",
                (r, d, a) -> {
                    d.check();
                    if (d.size() == 0) {
                        throw new ScriptError("popitem: empty dict");
                    }
                    Object key = d.iterator().next();
                    return Sequence.Tuple.of(key, d.remove(key));
                });
        dict(
                "setdefault",
                "key default?",
                (r, d, a) -> {
                    Object was = d.getOrNull(a[0]);
                    if (was == null) {
                        r.makes(8);
                        d.put(a[0], or(a[1], None.NONE));
                        return or(a[1], None.NONE);
                    }
                    return was;
                });
    }

    private static Object or(Object first, Object second) {
        return first != null ? first : second != null ? second : None.NONE;
    }
}
