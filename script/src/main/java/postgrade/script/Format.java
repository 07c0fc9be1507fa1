package postgrade.script;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The two ways to fill a string with values: {@code %} and {@code format}. */
final class Format {

    private Format() {}

    static String percent(Run run, String pattern, Object values) {
        List<Object> args = values instanceof Sequence.Tuple t ? t.toList() : List.of(values);
        StringBuilder to = new StringBuilder();
        int next = 0;
        for (int i = 0; i < pattern.length(); i++) {
            char c = pattern.charAt(i);
            if (c != '%') {
                to.append(c);
                continue;
            }
            if (++i == pattern.length()) {
                throw new ScriptError("format ends with an incomplete %");
            }
            char verb = pattern.charAt(i);
            if (verb == '%') {
                to.append('%');
                continue;
            }
            if (next == args.size()) {
                throw new ScriptError("not enough values for the format");
            }
            to.append(one(verb, args.get(next++)));
            run.makes(to.length());
        }
        if (next < args.size() && !(values instanceof DictValue)) {
            throw new ScriptError("too many values for the format");
        }
        return to.toString();
    }

    private static String one(char verb, Object v) {
        switch (verb) {
            case 's':
                return Values.str(v);
            case 'r':
                return Values.repr(v);
            case 'd', 'o', 'x', 'X':
                if (!Values.isInt(v) && !(v instanceof Double d && !d.isNaN() && !d.isInfinite())) {
                    throw new ScriptError("%" + verb + " needs a number, not " + Values.type(v));
                }
                java.math.BigInteger n =
                        v instanceof Double d
                                ? new java.math.BigDecimal(d).toBigInteger()
                                : Values.big(v);
                String digits = n.toString(verb == 'd' ? 10 : verb == 'o' ? 8 : 16);
                return verb == 'X' ? digits.toUpperCase(Locale.ROOT) : digits;
            case 'f', 'e', 'g', 'F', 'E', 'G':
                if (!Values.isNumber(v)) {
                    throw new ScriptError("%" + verb + " needs a number, not " + Values.type(v));
                }
                double d = Values.real(v);
                if (Double.isNaN(d) || Double.isInfinite(d)) {
                    return Values.realText(d);
                }
                return verb == 'g' || verb == 'G'
                        ? Values.realText(d)
                        : String.format(Locale.ROOT, "%" + (verb == 'F' ? 'f' : verb), d);
            case 'c':
                if (v instanceof String s && s.codePointCount(0, s.length()) == 1) {
                    return s;
                }
                int point = Values.small(v, "%c");
                if (!Character.isValidCodePoint(point)) {
                    throw new ScriptError("%c: no such character: " + point);
                }
                return Character.toString(point);
            default:
                throw new ScriptError("unknown conversion %" + verb);
        }
    }

    static String braces(Run run, String pattern, List<Object> args, Map<String, Object> named) {
        StringBuilder to = new StringBuilder();
        int auto = 0;
        boolean numbered = false;
        for (int i = 0; i < pattern.length(); i++) {
            char c = pattern.charAt(i);
            boolean twice = i + 1 < pattern.length() && pattern.charAt(i + 1) == c;
            if (c == '}') {
                if (!twice) {
                    throw new ScriptError("format: single }");
                }
                i++;
            } else if (c == '{' && twice) {
                i++;
            } else if (c == '{') {
                int end = pattern.indexOf('}', i);
                if (end < 0) {
                    throw new ScriptError("format: { without }");
                }
                String field = pattern.substring(i + 1, end);
                int bang = field.indexOf('!');
                String conversion = bang < 0 ? "s" : field.substring(bang + 1);
                String name = bang < 0 ? field : field.substring(0, bang);
                Object value;
                if (name.isEmpty() || name.chars().allMatch(d -> d >= '0' && d <= '9')) {
                    if (!name.isEmpty() && auto > 0 || name.isEmpty() && numbered) {
                        throw new ScriptError("format: numbered and unnumbered fields mixed");
                    }
                    numbered |= !name.isEmpty();
                    int at =
                            name.isEmpty()
                                    ? auto++
                                    : name.length() > 6
                                            ? Integer.MAX_VALUE
                                            : Integer.parseInt(name);
                    if (at >= args.size()) {
                        throw new ScriptError("format: no value for field " + at);
                    }
                    value = args.get(at);
                } else {
                    value = named.get(name);
                    if (value == null) {
                        throw new ScriptError("format: no value named " + name);
                    }
                }
                if (!conversion.equals("s") && !conversion.equals("r")) {
                    throw new ScriptError("format: unknown conversion !" + conversion);
                }
                to.append(conversion.equals("r") ? Values.repr(value) : Values.str(value));
                run.makes(to.length());
                i = end;
                continue;
            }
            to.append(c);
        }
        return to.toString();
    }
}
