package postgrade.script;

import java.math.BigInteger;
import java.util.Iterator;
import java.util.List;

/**
 * The values of scripts and what every value can do: its type's name, truth, text, equality, order
 * and hash.
 *
 * <p>A value is one of: {@link None}, Boolean, Long, BigInteger (only beyond the range of Long),
 * Double, String, {@link Sequence.Tuple}, {@link Sequence.ListValue}, {@link Sequence.Range},
 * {@link DictValue}, {@link Struct}, {@link Callable} or {@link HostObject}.
 */
public final class Values {

    /** The value of what returns nothing. */
    public static final class None {
        public static final None NONE = new None();

        private None() {}

        @Override
        public String toString() {
            return "None";
        }
    }

    /** An object of the host's that scripts can read attributes of. */
    public interface HostObject {
        String typeName();

        /** The attribute's value, or null if there is no such attribute. */
        Object attribute(String name);
    }

    private static final int MOST_BITS = 1 << 16;
    private static final int MOST_DEPTH = 60;

    private Values() {}

    // ---- Types.

    /** The type's name as {@code type(x)} gives it. */
    public static String type(Object v) {
        if (v instanceof None) {
            return "NoneType";
        } else if (v instanceof Boolean) {
            return "bool";
        } else if (v instanceof Long || v instanceof BigInteger) {
            return "int";
        } else if (v instanceof Double) {
            return "float";
        } else if (v instanceof String) {
            return "string";
        } else if (v instanceof Sequence s) {
            return s.typeName();
        } else if (v instanceof DictValue) {
            return "dict";
        } else if (v instanceof Struct) {
            return "struct";
        } else if (v instanceof Callable c) {
            return c.typeName();
        }
        return ((HostObject) v).typeName();
    }

    static boolean isInt(Object v) {
        return v instanceof Long || v instanceof BigInteger;
    }

    static boolean isNumber(Object v) {
        return v instanceof Long || v instanceof Double || v instanceof BigInteger;
    }

    static boolean truth(Object v) {
        if (v instanceof Boolean b) {
            return b;
        } else if (v instanceof None) {
            return false;
        } else if (v instanceof String s) {
            return !s.isEmpty();
        } else if (v instanceof Long n) {
            return n != 0;
        } else if (v instanceof Double d) {
            return d != 0;
        } else if (v instanceof Sequence s) {
            return s.size() > 0;
        } else if (v instanceof DictValue d) {
            return d.size() > 0;
        }
        return true;
    }

    // ---- Numbers.

    static Object number(BigInteger n) {
        if (n.bitLength() < Long.SIZE) {
            return n.longValue();
        }
        if (n.bitLength() > MOST_BITS) {
            throw new ScriptError("int too large"); // Guards time and memory: products of products.
        }
        return n;
    }

    static BigInteger big(Object v) {
        return v instanceof Long n ? BigInteger.valueOf(n) : (BigInteger) v;
    }

    static double real(Object v) {
        return v instanceof Double d ? d : v instanceof Long n ? n : ((BigInteger) v).doubleValue();
    }

    /** An int that must fit Java's: an index, a count. */
    static int small(Object v, String what) {
        if (v instanceof Long n && n >= Integer.MIN_VALUE && n <= Integer.MAX_VALUE) {
            return (int) (long) n;
        }
        throw new ScriptError(
                what + " must be an int" + (isInt(v) ? " in range" : ", not " + type(v)));
    }

    static String text(Object v, String what) {
        if (v instanceof String s) {
            return s;
        }
        throw new ScriptError(what + " must be a string, not " + type(v));
    }

    // ---- Equality, order, hash.

    static boolean equal(Object a, Object b) {
        return equal(a, b, 0);
    }

    private static boolean equal(Object a, Object b, int depth) {
        if (a == b) {
            return !(a instanceof Double d) || !d.isNaN();
        }
        if (depth > MOST_DEPTH) {
            throw new ScriptError("values nested too deeply to compare");
        }
        if (isNumber(a) && isNumber(b)) {
            return compareNumbers(a, b) == 0;
        }
        if (a instanceof Sequence x && b instanceof Sequence y) {
            if (!x.typeName().equals(y.typeName()) || x.size() != y.size()) {
                return false;
            }
            for (int i = 0; i < x.size(); i++) {
                if (!equal(x.get(i), y.get(i), depth + 1)) {
                    return false;
                }
            }
            return true;
        }
        if (a instanceof DictValue x && b instanceof DictValue y) {
            if (x.size() != y.size()) {
                return false;
            }
            for (Object key : x.keyList()) {
                Object other = y.getOrNull(key);
                if (other == null || !equal(x.getOrNull(key), other, depth + 1)) {
                    return false;
                }
            }
            return true;
        }
        if (a instanceof Struct x && b instanceof Struct y) {
            return equal(x.fields(), y.fields(), depth + 1);
        }
        return a.equals(b);
    }

    private static int compareNumbers(Object a, Object b) {
        if (a instanceof Long x && b instanceof Long y) {
            return Long.compare(x, y);
        }
        if (a instanceof Double || b instanceof Double) {
            double x = real(a);
            double y = real(b);
            if (a instanceof Double && b instanceof Double
                    || Double.isNaN(x)
                    || Double.isInfinite(x)
                    || Double.isNaN(y)
                    || Double.isInfinite(y)) {
                return x == y ? 0 : Double.compare(x, y);
            }
            return new java.math.BigDecimal(exact(a)).compareTo(new java.math.BigDecimal(exact(b)));
        }
        return big(a).compareTo(big(b));
    }

    private static String exact(Object v) {
        return v instanceof Double d ? new java.math.BigDecimal(d).toString() : v.toString();
    }

    static int compare(Object a, Object b) {
        return compare(a, b, 0);
    }

    private static int compare(Object a, Object b, int depth) {
        if (depth > MOST_DEPTH) {
            throw new ScriptError("values nested too deeply to compare");
        }
        if (isNumber(a) && isNumber(b)) {
            return compareNumbers(a, b);
        }
        if (a instanceof String x && b instanceof String y) {
            return x.compareTo(y);
        }
        if (a instanceof Boolean x && b instanceof Boolean y) {
            return x.compareTo(y);
        }
        if (a instanceof Sequence x
                && b instanceof Sequence y
                && x.typeName().equals(y.typeName())
                && !(x instanceof Sequence.Range)) {
            for (int i = 0; i < Math.min(x.size(), y.size()); i++) {
                if (!equal(x.get(i), y.get(i), depth + 1)) {
                    return compare(x.get(i), y.get(i), depth + 1);
                }
            }
            return Integer.compare(x.size(), y.size());
        }
        throw new ScriptError("cannot order " + type(a) + " and " + type(b));
    }

    /** The form in which a value is a key of a Java map: numbers that are equal must be one key. */
    static Object key(Object v) {
        if (v instanceof String
                || v instanceof Long
                || v instanceof Boolean
                || v instanceof None
                || v instanceof BigInteger
                || v instanceof Callable) {
            return v;
        }
        if (v instanceof Double d) {
            if (d == Math.rint(d) && !Double.isInfinite(d)) {
                return number(new java.math.BigDecimal(d).toBigInteger());
            }
            return d;
        }
        if (v instanceof Sequence.Tuple t) {
            return List.of("tuple", t.toList().stream().map(Values::key).toList());
        }
        if (v instanceof Sequence.Range r) {
            return List.of("range", r.toList());
        }
        if (v instanceof Struct s) {
            return List.of(
                    "struct",
                    s.fields().keyList().stream()
                            .map(k -> List.of(k, key(s.get((String) k))))
                            .toList());
        }
        throw new ScriptError("unhashable type: " + type(v));
    }

    // ---- Text.

    /** What {@code str(x)} gives. */
    public static String str(Object v) {
        return v instanceof String s ? s : repr(v);
    }

    /** What {@code repr(x)} gives. */
    public static String repr(Object v) {
        StringBuilder to = new StringBuilder();
        repr(v, to, 0);
        return to.toString();
    }

    private static void repr(Object v, StringBuilder to, int depth) {
        if (depth > MOST_DEPTH) {
            to.append("...");
        } else if (v instanceof Boolean b) {
            to.append(b ? "True" : "False");
        } else if (v instanceof String s) {
            quote(s, to);
        } else if (v instanceof Double d) {
            to.append(realText(d));
        } else if (v instanceof Sequence.Range r) {
            to.append(r.text());
        } else if (v instanceof Sequence s) {
            boolean tuple = s instanceof Sequence.Tuple;
            to.append(tuple ? '(' : '[');
            for (int i = 0; i < s.size() && withinText(to); i++) {
                to.append(i == 0 ? "" : ", ");
                repr(s.get(i), to, depth + 1);
            }
            to.append(tuple ? s.size() == 1 ? ",)" : ")" : "]");
        } else if (v instanceof DictValue d) {
            to.append('{');
            String comma = "";
            for (Object key : d.keyList()) {
                if (!withinText(to)) {
                    break;
                }
                to.append(comma);
                repr(key, to, depth + 1);
                to.append(": ");
                repr(d.getOrNull(key), to, depth + 1);
                comma = ", ";
            }
            to.append('}');
        } else if (v instanceof Struct s) {
            to.append("struct(");
            String comma = "";
            for (Object key : s.fields().keyList()) {
                to.append(comma).append(key).append(" = ");
                repr(s.get((String) key), to, depth + 1);
                comma = ", ";
            }
            to.append(')');
        } else if (v instanceof HostObject h) {
            to.append('<').append(h.typeName()).append('>');
        } else {
            to.append(v);
        }
    }

    /** Guards the memory: a list that holds one list often is long as text though it is small. */
    private static boolean withinText(StringBuilder to) {
        if (to.length() > Run.MOST_SIZE) {
            throw new ScriptError("text too long");
        }
        return true;
    }

    static String realText(double d) {
        if (Double.isInfinite(d)) {
            return d > 0 ? "+inf" : "-inf";
        }
        if (Double.isNaN(d)) {
            return "nan";
        }
        if (d == Math.rint(d) && Math.abs(d) < 1e17) {
            String whole = java.math.BigDecimal.valueOf(d).toBigInteger().toString();
            return (d == 0 && 1 / d < 0 ? "-0" : whole) + ".0";
        }
        String text = Double.toString(d);
        int e = text.indexOf('E');
        if (e < 0) {
            return text;
        }
        String digits =
                text.substring(0, e).endsWith(".0")
                        ? text.substring(0, e - 2)
                        : text.substring(0, e);
        int power = Integer.parseInt(text.substring(e + 1));
        return digits
                + "e"
                + (power < 0 ? "-" : "+")
                + (Math.abs(power) < 10 ? "0" : "")
                + Math.abs(power);
    }

    private static void quote(String s, StringBuilder to) {
        to.append('"');
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            switch (c) {
                case '"' -> to.append("\\\"");
                case '\\' -> to.append("\\\\");
                case '\n' -> to.append("\\n");
                case '\r' -> to.append("\\r");
                case '\t' -> to.append("\\t");
                default -> {
                    if (c < ' ' || c == 127) {
                        to.append(String.format("\\x%02x", (int) c));
                    } else {
                        to.append(c);
                    }
                }
            }
        }
        to.append('"');
    }

    // ---- Iteration.

    /**
     * Walks over a list, tuple, range or a dict's keys; whoever changes it meanwhile gets an error.
     */
    static Iterator<Object> iterate(Object v) {
        if (v instanceof Sequence s) {
            return s.iterator();
        }
        if (v instanceof DictValue d) {
            return d.iterator();
        }
        throw new ScriptError(type(v) + " is not iterable");
    }

    static List<Object> list(Object v) {
        List<Object> all = new java.util.ArrayList<>();
        iterate(v).forEachRemaining(all::add);
        return all;
    }

    static int length(Object v) {
        if (v instanceof String s) {
            return s.length();
        } else if (v instanceof Sequence s) {
            return s.size();
        } else if (v instanceof DictValue d) {
            return d.size();
        }
        throw new ScriptError("len: " + type(v) + " has no length");
    }

    /** Makes a value, and all that it holds, unchangeable. */
    static void freeze(Object v) {
        if (v instanceof Sequence.ListValue l) {
            l.freeze();
        } else if (v instanceof Sequence.Tuple t) {
            t.toList().forEach(Values::freeze);
        } else if (v instanceof DictValue d) {
            d.freeze();
        } else if (v instanceof Struct s) {
            freeze(s.fields());
        } else if (v instanceof Callable c) {
            c.freeze();
        }
    }

    /** Turns what a host gives (Java's numbers, lists, maps and null) into a value. */
    public static Object of(Object java) {
        if (java == null) {
            return None.NONE;
        } else if (java instanceof Integer || java instanceof Short || java instanceof Byte) {
            return ((Number) java).longValue();
        } else if (java instanceof Float f) {
            return (double) f;
        } else if (java instanceof List<?> l) {
            return new Sequence.ListValue(
                    new java.util.ArrayList<>(l.stream().map(Values::of).toList()));
        } else if (java instanceof java.util.Map<?, ?> m) {
            DictValue d = new DictValue();
            m.forEach((k, v) -> d.put(of(k), of(v)));
            return d;
        }
        return java;
    }
}
