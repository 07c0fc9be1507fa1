package postgrade.script;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;

/** The operators. */
final class Ops {

    private static final int MOST_SHIFT = 512;

    private Ops() {}

    static Object binary(Run t, String op, Object a, Object b) {
        switch (op) {
            case "+":
                return add(t, a, b);
            case "-":
                if (a instanceof Long x && b instanceof Long y) {
                    long r = x - y;
                    return ((x ^ y) & (x ^ r)) < 0
                            ? Values.number(Values.big(a).subtract(Values.big(b)))
                            : (Object) r;
                }
                if (numbers(a, b)) {
                    return floats(a, b)
                            ? (Object) (Values.real(a) - Values.real(b))
                            : Values.number(Values.big(a).subtract(Values.big(b)));
                }
                break;
            case "*":
                return multiply(t, a, b);
            case "/":
                if (numbers(a, b)) {
                    return divisor(Values.real(b), Values.real(a) / Values.real(b));
                }
                break;
            case "//":
                if (numbers(a, b)) {
                    return floats(a, b)
                            ? divisor(Values.real(b), Math.floor(Values.real(a) / Values.real(b)))
                            : floorDivide(a, b);
                }
                break;
            case "%":
                if (a instanceof String s) {
                    return Format.percent(t, s, b);
                }
                if (numbers(a, b)) {
                    return floats(a, b)
                            ? modulo(Values.real(a), Values.real(b))
                            : floorModulo(a, b);
                }
                break;
            case "|":
                if (a instanceof DictValue x && b instanceof DictValue y) {
                    t.makes(x.size() + (long) y.size());
                    DictValue both = new DictValue();
                    x.keyList().forEach(k -> both.put(k, x.getOrNull(k)));
                    y.keyList().forEach(k -> both.put(k, y.getOrNull(k)));
                    return both;
                }
                if (ints(a, b)) {
                    return Values.number(Values.big(a).or(Values.big(b)));
                }
                break;
            case "&":
                if (ints(a, b)) {
                    return Values.number(Values.big(a).and(Values.big(b)));
                }
                break;
            case "^":
                if (ints(a, b)) {
                    return Values.number(Values.big(a).xor(Values.big(b)));
                }
                break;
            case "<<":
            case ">>":
                if (ints(a, b)) {
                    return shift(op, a, Values.small(b, "shift"));
                }
                break;
            case "==":
                return Values.equal(a, b);
            case "!=":
                return !Values.equal(a, b);
            case "<":
                return !nan(a, b) && Values.compare(a, b) < 0;
            case "<=":
                return !nan(a, b) && Values.compare(a, b) <= 0;
            case ">":
                return !nan(a, b) && Values.compare(a, b) > 0;
            case ">=":
                return !nan(a, b) && Values.compare(a, b) >= 0;
            case "in":
                return in(a, b);
            case "not in":
                return !in(a, b);
            default:
                break;
        }
        throw new ScriptError(
                "unsupported operation: " + Values.type(a) + " " + op + " " + Values.type(b));
    }

    private static boolean nan(Object a, Object b) {
        return a instanceof Double x && x.isNaN() && Values.isNumber(b)
                || b instanceof Double y && y.isNaN() && Values.isNumber(a);
    }

    private static boolean numbers(Object a, Object b) {
        return Values.isNumber(a) && Values.isNumber(b);
    }

    private static boolean ints(Object a, Object b) {
        return Values.isInt(a) && Values.isInt(b);
    }

    private static boolean floats(Object a, Object b) {
        return a instanceof Double || b instanceof Double;
    }

    private static Object add(Run t, Object a, Object b) {
        if (a instanceof Long x && b instanceof Long y) {
            long r = x + y;
            return ((x ^ r) & (y ^ r)) < 0
                    ? Values.number(Values.big(a).add(Values.big(b)))
                    : (Object) r;
        }
        if (a instanceof String x && b instanceof String y) {
            t.makes(x.length() + (long) y.length());
            return x + y;
        }
        if (numbers(a, b)) {
            return floats(a, b)
                    ? (Object) (Values.real(a) + Values.real(b))
                    : Values.number(Values.big(a).add(Values.big(b)));
        }
        if (a instanceof Sequence x
                && b instanceof Sequence y
                && x.typeName().equals(y.typeName())
                && !(x instanceof Sequence.Range)) {
            t.makes(8L * (x.size() + (long) y.size()));
            List<Object> all = new ArrayList<>(x.toList());
            all.addAll(y.toList());
            return x.sliced(all);
        }
        throw new ScriptError("unsupported operation: " + Values.type(a) + " + " + Values.type(b));
    }

    private static Object multiply(Run t, Object a, Object b) {
        if (numbers(a, b)) {
            if (floats(a, b)) {
                return Values.real(a) * Values.real(b);
            }
            if (a instanceof Long x && b instanceof Long y) {
                long high = Math.multiplyHigh(x, y);
                long low = x * y;
                if (high == 0 && low >= 0 || high == -1 && low < 0) {
                    return low;
                }
            }
            t.makes(Values.big(a).bitLength() / 8 + (long) Values.big(b).bitLength() / 8);
            return Values.number(Values.big(a).multiply(Values.big(b)));
        }
        if (Values.isInt(a) && !Values.isNumber(b)) {
            return repeat(t, b, a);
        }
        if (Values.isInt(b)) {
            return repeat(t, a, b);
        }
        throw new ScriptError("unsupported operation: " + Values.type(a) + " * " + Values.type(b));
    }

    private static Object repeat(Run t, Object what, Object times) {
        long n = Math.max(0, Values.small(times, "repetition"));
        if (what instanceof String s) {
            t.makes(n * s.length());
            return s.repeat((int) n);
        }
        if (what instanceof Sequence s && !(s instanceof Sequence.Range)) {
            t.makes(8 * n * s.size());
            List<Object> all = new ArrayList<>((int) n * s.size());
            for (int i = 0; i < n; i++) {
                all.addAll(s.toList());
            }
            return s.sliced(all);
        }
        throw new ScriptError("unsupported operation: " + Values.type(what) + " * int");
    }

    private static Object divisor(double by, double result) {
        if (by == 0) {
            throw new ScriptError("division by zero");
        }
        return result;
    }

    private static Object floorDivide(Object a, Object b) {
        if (b instanceof Long y && y == 0) {
            throw new ScriptError("division by zero");
        }
        if (a instanceof Long x && b instanceof Long y && x != Long.MIN_VALUE) {
            return Math.floorDiv(x, y);
        }
        BigInteger[] qr = Values.big(a).divideAndRemainder(Values.big(b));
        boolean down = qr[1].signum() != 0 && qr[1].signum() != Values.big(b).signum();
        return Values.number(down ? qr[0].subtract(BigInteger.ONE) : qr[0]);
    }

    private static Object floorModulo(Object a, Object b) {
        if (b instanceof Long y && y == 0) {
            throw new ScriptError("division by zero");
        }
        if (a instanceof Long x && b instanceof Long y) {
            return Math.floorMod(x, y);
        }
        BigInteger r = Values.big(a).mod(Values.big(b).abs());
        return Values.number(
                Values.big(b).signum() < 0 && r.signum() != 0 ? r.add(Values.big(b)) : r);
    }

    private static Object modulo(double a, double b) {
        if (b == 0) {
            throw new ScriptError("division by zero");
        }
        double r = a % b;
        return r != 0 && (r < 0) != (b < 0) ? r + b : r;
    }

    private static Object shift(String op, Object a, int by) {
        if (by < 0 || op.equals("<<") && by > MOST_SHIFT) {
            throw new ScriptError("shift by " + by);
        }
        return Values.number(
                op.equals("<<") ? Values.big(a).shiftLeft(by) : Values.big(a).shiftRight(by));
    }

    private static boolean in(Object a, Object b) {
        if (b instanceof String s) {
            return s.contains(Values.text(a, "what is looked for in a string"));
        }
        if (b instanceof DictValue d) {
            return d.getOrNull(a) != null;
        }
        if (b instanceof Sequence s) {
            for (int i = 0; i < s.size(); i++) {
                if (Values.equal(s.get(i), a)) {
                    return true;
                }
            }
            return false;
        }
        throw new ScriptError("unsupported operation: " + Values.type(a) + " in " + Values.type(b));
    }

    static Object unary(String op, Object v) {
        if (op.equals("not")) {
            return !Values.truth(v);
        }
        if (v instanceof Double d && !op.equals("~")) {
            return op.equals("-") ? (Object) (-d) : d;
        }
        if (Values.isInt(v)) {
            return switch (op) {
                case "-" -> Values.number(Values.big(v).negate());
                case "~" -> Values.number(Values.big(v).not());
                default -> v;
            };
        }
        throw new ScriptError("unsupported operation: " + op + Values.type(v));
    }

    // ---- Indices and slices.

    static Object index(Object in, Object at) {
        if (in instanceof DictValue d) {
            Object v = d.getOrNull(at);
            if (v == null) {
                throw new ScriptError("key " + Values.repr(at) + " not found in dict");
            }
            return v;
        }
        if (in instanceof String s) {
            return String.valueOf(s.charAt(position(at, s.length(), "string")));
        }
        if (in instanceof Sequence s) {
            return s.get(position(at, s.size(), s.typeName()));
        }
        throw new ScriptError(Values.type(in) + " cannot be indexed");
    }

    static int position(Object at, int length, String what) {
        int i = Values.small(at, "index");
        int from = i < 0 ? i + length : i;
        if (from < 0 || from >= length) {
            throw new ScriptError(
                    "index " + i + " out of range: " + what + " has " + length + " elements");
        }
        return from;
    }

    static void setIndex(Object in, Object at, Object value) {
        if (in instanceof DictValue d) {
            d.put(at, value);
        } else if (in instanceof Sequence.ListValue l) {
            l.changeable().set(position(at, l.size(), "list"), value);
        } else {
            throw new ScriptError(Values.type(in) + " cannot be assigned to by index");
        }
    }

    static Object slice(Run t, Object in, Object lower, Object upper, Object step) {
        int by = step instanceof Values.None ? 1 : Values.small(step, "step");
        if (by == 0) {
            throw new ScriptError("slice: step must not be 0");
        }
        int length = Values.length(in);
        int start =
                by > 0
                        ? bound(lower, 0, length, 0, length)
                        : bound(lower, length - 1, length, -1, length - 1);
        int stop =
                by > 0
                        ? bound(upper, length, length, 0, length)
                        : bound(upper, -1, length, -1, length - 1);
        StringBuilder text = new StringBuilder();
        List<Object> part = new ArrayList<>();
        for (long i = start; by > 0 ? i < stop : i > stop; i += by) {
            if (in instanceof String s) {
                text.append(s.charAt((int) i));
            } else {
                part.add(((Sequence) in).get((int) i));
            }
        }
        t.makes(text.length() + 8L * part.size());
        if (in instanceof DictValue) {
            throw new ScriptError("dict cannot be sliced");
        }
        return in instanceof String ? text.toString() : ((Sequence) in).sliced(part);
    }

    private static int bound(Object given, int absent, int length, int least, int most) {
        if (given instanceof Values.None) {
            return absent;
        }
        long i = Values.small(given, "slice index");
        return (int) Math.max(least, Math.min(most, i < 0 ? i + length : i));
    }
}
