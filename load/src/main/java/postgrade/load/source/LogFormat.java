package postgrade.load.source;

import java.nio.charset.StandardCharsets;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A format of log lines, compiled: literal bytes with fields between them. Made from Apache's
 * {@code LogFormat}, nginx's {@code log_format} or the {@code #Fields} of W3C's extended format.
 */
public final class LogFormat {

    /** NCSA common. */
    public static final String COMMON = "%h %l %u %t \"%r\" %>s %b";

    /** NCSA combined: common with referer and user agent. */
    public static final String COMBINED = COMMON + " \"%{Referer}i\" \"%{User-Agent}i\"";

    /** How a field's bytes end. */
    private enum Ends {
        AT_LITERAL,
        AT_QUOTE,
        AT_END
    }

    /**
     * @param name of {@link Fields}, or the format's own; null for one that is passed over
     * @param stamp reads it, where it is the time
     * @param unitMicros of a duration, else 0
     */
    private record Field(String name, Stamps.Reader stamp, long unitMicros, boolean fraction) {}

    final String name;
    private final List<byte[]> literals = new ArrayList<>();
    private final List<Field> fields = new ArrayList<>();
    private final Map<String, Integer> places = new HashMap<>();
    private Ends[] ends;
    private int duration = -1;
    private int stampCount;

    /** IIS writes spaces inside fields as plus signs. */
    private boolean plusIsSpace;

    /** Places of what every line is asked for; -1 where there is none. */
    int requestAt;

    int targetAt;
    int pathAt;
    int queryAt;
    int statusAt;
    int retryAt;

    /** nginx writes the time at which the answer was done. */
    private boolean stampedAtEnd;

    private LogFormat(String name) {
        this.name = name;
    }

    // ---- Compiling.

    private final StringBuilder literal = new StringBuilder();

    private void field(Field f) {
        literals.add(literal.toString().getBytes(StandardCharsets.UTF_8));
        literal.setLength(0);
        if (f.name != null) {
            places.putIfAbsent(f.name, fields.size());
        }
        if (f.unitMicros > 0 && duration < 0) {
            duration = fields.size();
        }
        stampCount += f.stamp == null ? 0 : 1;
        fields.add(f);
    }

    private LogFormat compiled() {
        literals.add(literal.toString().getBytes(StandardCharsets.UTF_8));
        if (stampCount == 0) {
            throw new IllegalArgumentException("the format " + name + " has no time");
        }
        if (!places.containsKey(Fields.REQUEST)
                && !places.containsKey(Fields.TARGET)
                && !places.containsKey(Fields.PATH_ONLY)) {
            throw new IllegalArgumentException(
                    "the format " + name + " has neither a request nor a path");
        }
        requestAt = place(Fields.REQUEST);
        targetAt = place(Fields.TARGET);
        pathAt = place(Fields.PATH_ONLY);
        queryAt = place(Fields.QUERY_ONLY);
        statusAt = place(Fields.STATUS);
        retryAt = place("header:x-retry");
        ends = new Ends[fields.size()];
        for (int i = 0; i < ends.length; i++) {
            byte[] before = literals.get(i);
            byte[] behind = literals.get(i + 1);
            boolean quoted =
                    before.length > 0
                            && before[before.length - 1] == '"'
                            && behind.length > 0
                            && behind[0] == '"';
            if (behind.length == 0 && i + 1 < ends.length) {
                throw new IllegalArgumentException(
                        "the format " + name + " has two fields with nothing between them");
            }
            ends[i] = quoted ? Ends.AT_QUOTE : behind.length == 0 ? Ends.AT_END : Ends.AT_LITERAL;
        }
        return this;
    }

    private static Field text(String name) {
        return new Field(name, null, 0, false);
    }

    private static Field stamp(Stamps.Reader reader) {
        return new Field(null, reader, 0, false);
    }

    private static Field lasting(String name, long unitMicros) {
        return new Field(name, null, unitMicros, false);
    }

    /**
     * Apache's {@code LogFormat}.
     *
     * @param zone of times that are written without one
     * @throws IllegalArgumentException for a format that is not understood; names the directive
     */
    public static LogFormat apache(String format, ZoneId zone) {
        LogFormat f = new LogFormat(format);
        for (int i = 0; i < format.length(); i++) {
            char c = format.charAt(i);
            if (c == '\\' && i + 1 < format.length()) {
                char next = format.charAt(++i);
                f.literal.append(next == 't' ? '\t' : next == 'n' ? '\n' : next);
            } else if (c != '%') {
                f.literal.append(c);
            } else {
                i = f.directive(format, i + 1, zone);
            }
        }
        return f.compiled();
    }

    private int directive(String format, int from, ZoneId zone) {
        int i = from;
        while (i < format.length() && "<>!,0123456789".indexOf(format.charAt(i)) >= 0) {
            i++; // Conditions on the status, and which of several requests: the same field.
        }
        String argument = null;
        if (i < format.length() && format.charAt(i) == '{') {
            int end = format.indexOf('}', i);
            if (end < 0) {
                throw new IllegalArgumentException("{ without } in the format " + format);
            }
            argument = format.substring(i + 1, end);
            i = end + 1;
        }
        if (i >= format.length()) {
            throw new IllegalArgumentException(
                    "the format " + format + " ends with an incomplete %");
        }
        char c = format.charAt(i);
        if (c == '%') {
            literal.append('%');
            return i;
        }
        if (c == 't' && argument == null) {
            literal.append('[');
            field(stamp(Stamps.clf()));
            literal.append(']');
            return i;
        }
        if (c == '^' && i + 2 < format.length()) {
            i += 2; // Trailers: of two letters more.
            field(text("trailer:" + argument));
            return i;
        }
        field(apacheField(c, argument, zone, format));
        return i;
    }

    private static Field apacheField(char c, String argument, ZoneId zone, String format) {
        String lower = argument == null ? "" : argument.toLowerCase(Locale.ROOT);
        return switch (c) {
            case 'h', 'a' -> text(Fields.CLIENT);
            case 'l' -> text("ident");
            case 'u' -> text(Fields.USER);
            case 'r' -> text(Fields.REQUEST);
            case 's' -> text(Fields.STATUS);
            case 'b', 'B', 'O', 'S' -> text(c == 'S' ? "bytes-both" : Fields.SENT);
            case 'I' -> text(Fields.RECEIVED);
            case 'D' -> lasting("duration", 1);
            case 'T' ->
                    switch (lower) {
                        case "", "s" -> lasting("duration", 1_000_000);
                        case "ms" -> lasting("duration", 1000);
                        case "us" -> lasting("duration", 1);
                        default ->
                                throw new IllegalArgumentException(
                                        "%{" + argument + "}T is not understood");
                    };
            case 't' -> stamp(apacheTime(argument.replaceFirst("^(begin|end):", ""), zone));
            case 'm' -> text(Fields.METHOD);
            case 'U' -> text(Fields.PATH_ONLY);
            case 'q' -> text(Fields.QUERY_ONLY);
            case 'H' -> text(Fields.PROTOCOL);
            case 'v', 'V' -> text(Fields.HOST);
            case 'i' -> text("header:" + lower);
            case 'o' -> text("sent:" + lower);
            case 'A', 'C', 'e', 'f', 'k', 'L', 'n', 'p', 'P', 'R', 'X' ->
                    text(argument == null ? String.valueOf(c) : c + ":" + argument);
            default ->
                    throw new IllegalArgumentException(
                            "%" + c + " in the format " + format + " is not understood");
        };
    }

    private static Stamps.Reader apacheTime(String argument, ZoneId zone) {
        return switch (argument) {
            case "sec" -> Stamps.unix(1_000_000);
            case "msec" -> Stamps.unix(1000);
            case "usec" -> Stamps.unix(1);
            case "msec_frac", "usec_frac" ->
                    throw new IllegalArgumentException(
                            "%{" + argument + "}t alone is no time; use %{usec}t");
            default -> Stamps.strftime(argument, zone);
        };
    }

    /** nginx's {@code log_format}. */
    public static LogFormat nginx(String format, ZoneId zone) {
        LogFormat f = new LogFormat(format);
        f.stampedAtEnd = true;
        for (int i = 0; i < format.length(); i++) {
            char c = format.charAt(i);
            if (c != '$') {
                f.literal.append(c);
                continue;
            }
            int from = i + 1;
            boolean braces = from < format.length() && format.charAt(from) == '{';
            from += braces ? 1 : 0;
            int end = from;
            while (end < format.length()
                    && (Character.isLetterOrDigit(format.charAt(end))
                            || format.charAt(end) == '_')) {
                end++;
            }
            if (end == from || braces && (end == format.length() || format.charAt(end) != '}')) {
                throw new IllegalArgumentException("$ without a name in the format " + format);
            }
            f.field(nginxField(format.substring(from, end), zone));
            i = braces ? end : end - 1;
        }
        return f.compiled();
    }

    private static Field nginxField(String name, ZoneId zone) {
        if (name.startsWith("http_")) {
            return text("header:" + name.substring(5).replace('_', '-'));
        }
        if (name.startsWith("sent_http_")) {
            return text("sent:" + name.substring(10).replace('_', '-'));
        }
        return switch (name) {
            case "remote_addr" -> text(Fields.CLIENT);
            case "remote_user" -> text(Fields.USER);
            case "time_local" -> stamp(Stamps.clf());
            case "time_iso8601" -> stamp(Stamps.iso(zone));
            case "msec" -> stamp(Stamps.unix(1_000_000));
            case "request" -> text(Fields.REQUEST);
            case "status" -> text(Fields.STATUS);
            case "body_bytes_sent", "bytes_sent" -> text(Fields.SENT);
            case "request_length" -> text(Fields.RECEIVED);
            case "request_time" -> new Field("duration", null, 1_000_000, true);
            case "request_method" -> text(Fields.METHOD);
            case "request_uri" -> text(Fields.TARGET);
            case "uri", "document_uri" -> text(Fields.PATH_ONLY);
            case "args", "query_string" -> text(Fields.QUERY_ONLY);
            case "server_protocol" -> text(Fields.PROTOCOL);
            case "host", "server_name" -> text(Fields.HOST);
            default -> text(name);
        };
    }

    /** The fields of a W3C extended log, as its {@code #Fields} line names them. */
    public static LogFormat w3c(String names, ZoneId zone) {
        LogFormat f = new LogFormat("w3c");
        f.plusIsSpace = true;
        String[] all = names.strip().split("[ \t]+");
        for (int i = 0; i < all.length; i++) {
            if (i > 0) {
                f.literal.append(' ');
            }
            if (all[i].equals("date") && i + 1 < all.length && all[i + 1].equals("time")) {
                Stamps.Reader both = Stamps.iso(zone);
                f.field(
                        new Field(
                                null, both, 0,
                                true)); // Reads over the space to the end of the time behind it.
                i++;
                continue;
            }
            f.field(w3cField(all[i]));
        }
        return f.compiled();
    }

    private static Field w3cField(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        if (lower.startsWith("cs(") && lower.endsWith(")")) {
            return text("header:" + lower.substring(3, lower.length() - 1));
        }
        if (lower.startsWith("sc(") && lower.endsWith(")")) {
            return text("sent:" + lower.substring(3, lower.length() - 1));
        }
        return switch (lower) {
            case "c-ip" -> text(Fields.CLIENT);
            case "cs-username" -> text(Fields.USER);
            case "cs-method" -> text(Fields.METHOD);
            case "cs-uri" -> text(Fields.TARGET);
            case "cs-uri-stem" -> text(Fields.PATH_ONLY);
            case "cs-uri-query" -> text(Fields.QUERY_ONLY);
            case "cs-version" -> text(Fields.PROTOCOL);
            case "sc-status" -> text(Fields.STATUS);
            case "sc-bytes" -> text(Fields.SENT);
            case "cs-bytes" -> text(Fields.RECEIVED);
            case "cs-host" -> text(Fields.HOST);
            // Milliseconds as IIS writes it; the draft's seconds have a fraction.
            case "time-taken" -> new Field("duration", null, 1000, true);
            default -> text(lower);
        };
    }

    // ---- Reading.

    /** What is wrong with a line. */
    public enum Fault {
        NOT_OF_THE_FORMAT,
        CUT_SHORT,
        BAD_TIME
    }

    /** Reads a line into the entry. Returns null, or what is wrong. */
    Fault read(byte[] line, int length, LogEntry into) {
        into.begin(this, line, length, fields.size());
        int at = 0;
        for (int i = 0; i < fields.size(); i++) {
            byte[] before = literals.get(i);
            if (!matches(line, at, length, before)) {
                return at + before.length > length ? Fault.CUT_SHORT : Fault.NOT_OF_THE_FORMAT;
            }
            at += before.length;
            Field f = fields.get(i);
            int end = end(line, at, length, i);
            if (end >= 0 && f.stamp != null && f.fraction) {
                end = end(line, end + 1, length, i); // Date and time, with a space between.
            }
            if (end < 0) {
                return Fault.CUT_SHORT;
            }
            if (f.stamp != null && !f.stamp.read(line, at, end, into)) {
                return Fault.BAD_TIME;
            }
            into.span(i, at, end);
            at = end;
        }
        byte[] last = literals.get(fields.size());
        if (!matches(line, at, length, last)) {
            return Fault.CUT_SHORT;
        }
        if (at + last.length < length) {
            return Fault.NOT_OF_THE_FORMAT;
        }
        if (stampedAtEnd && duration >= 0) {
            into.timeMicros -= Math.max(0, into.durationMicros());
        }
        return null;
    }

    private static boolean matches(byte[] line, int at, int length, byte[] literal) {
        if (at + literal.length > length) {
            return false;
        }
        for (int i = 0; i < literal.length; i++) {
            if (line[at + i] != literal[i]) {
                return false;
            }
        }
        return true;
    }

    private int end(byte[] line, int from, int length, int i) {
        switch (ends[i]) {
            case AT_END:
                return length;
            case AT_QUOTE:
                for (int at = from; at < length; at++) {
                    if (line[at] == '\\') {
                        at++;
                    } else if (line[at] == '"') {
                        return at;
                    }
                }
                return -1;
            default:
                byte[] behind = literals.get(i + 1);
                for (int at = from; at <= length - behind.length; at++) {
                    if (line[at] == behind[0] && matches(line, at, length, behind)) {
                        return at;
                    }
                }
                return -1;
        }
    }

    int place(String field) {
        Integer at = places.get(field);
        return at == null ? -1 : at;
    }

    int durationPlace() {
        return duration;
    }

    boolean plusIsSpace() {
        return plusIsSpace;
    }

    /** A duration as written, in microseconds; -1 for none. */
    long micros(String text) {
        Field f = fields.get(duration);
        try {
            if (f.fraction && text.indexOf('.') >= 0) {
                return Math.round(Double.parseDouble(text) * 1_000_000);
            }
            long value = Long.parseLong(text);
            return value < 0 ? -1 : Math.multiplyExact(value, f.unitMicros);
        } catch (ArithmeticException | NumberFormatException e) {
            return -1;
        }
    }
}
