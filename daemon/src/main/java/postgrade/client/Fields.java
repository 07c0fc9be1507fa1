package postgrade.client;

import java.util.List;
import java.util.regex.Pattern;

/** Reads the headers that describe a job. Messages of exceptions name the header. */
final class Fields {

    /** Guards the module's tables against names as long as a head. */
    static final int MOST_NAME = 128;

    /** No deadline or figure is larger; guards what is counted with them. */
    private static final double MOST_MICROS = 3_600_000_000.0;

    private static final double MOST_FIGURE = 1e6;

    /**
     * Guards against what Java takes for a number besides: signs, NaN, exponents, hex, a closing d
     * or f.
     */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?");

    /** Headers that describe the job. Guards against two readings of it, ours and a provider's. */
    static final List<String> ONCE =
            List.of(
                    "x-request-id",
                    "x-class",
                    "x-tenant",
                    "x-key",
                    "x-deadline",
                    "x-extras",
                    "content-type",
                    "idempotency-key");

    private Fields() {}

    /**
     * Whether the id can stand in a path. Guards the DELETE that gives its job up, whose head it
     * becomes part of.
     */
    static boolean isId(String value) {
        return value != null
                && !value.isEmpty()
                && value.length() <= MOST_NAME
                && value.chars().allMatch(c -> c > ' ' && c <= '~' && "/?#%".indexOf(c) < 0);
    }

    /** A number and a unit: {@code m} for milliseconds, {@code u} for microseconds. */
    static long deadlineMicros(String value, long absent) {
        if (value == null || value.isEmpty()) {
            return absent;
        }
        int unitAt = value.length() - 1;
        long unit = value.charAt(unitAt) == 'm' ? 1000 : value.charAt(unitAt) == 'u' ? 1 : 0;
        double micros = unit * number("X-Deadline", value.substring(0, unitAt));
        if (micros < 1 || micros > MOST_MICROS) {
            throw new IllegalArgumentException("X-Deadline is not a time with the unit m or u");
        }
        return (long) micros;
    }

    /** One figure of {@code name=value,name=value}. */
    static double extra(String extras, String name, double absent) {
        if (extras != null) {
            for (String pair : extras.split(",")) {
                int eq = pair.indexOf('=');
                if (eq > 0 && pair.substring(0, eq).strip().equals(name)) {
                    double value = number("X-Extras", pair.substring(eq + 1).strip());
                    if (value > MOST_FIGURE) {
                        throw new IllegalArgumentException("X-Extras has too large a figure");
                    }
                    return value;
                }
            }
        }
        return absent;
    }

    /** Whether it may be a tenant's or a key's name; there may be none. */
    static boolean isName(String value) {
        return value == null
                || value.length() <= MOST_NAME && value.chars().allMatch(c -> c >= ' ' && c <= '~');
    }

    private static double number(String header, String text) {
        if (!NUMBER.matcher(text).matches()) {
            throw new IllegalArgumentException(header + " is not a number");
        }
        return Double.parseDouble(text);
    }
}
