package postgrade.client;

import java.util.List;
import java.util.regex.Pattern;

/** Reads the headers that describe a job. Messages of exceptions name the header. */
final class JobHeaders {

    /** Guards the module's tables against names as long as a head. */
    static final int MAX_NAME_LENGTH = 128;

    /** No deadline or figure is larger; guards what is counted with them. */
    private static final double MAX_DEADLINE_MICROS = 3_600_000_000.0;

    private static final double MAX_EXTRA = 1e6;

    /**
     * Guards against what Java takes for a number besides: signs, NaN, exponents, hex, a closing d
     * or f.
     */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?");

    /** Headers that describe the job. Guards against two readings of it, ours and a provider's. */
    static final List<String> SINGLE_HEADERS =
            List.of(
                    "x-request-id",
                    "x-class",
                    "x-tenant",
                    "x-key",
                    "x-deadline",
                    "x-extras",
                    "content-type",
                    "idempotency-key");

    private JobHeaders() {}

    /**
     * Whether the id can stand in a path. Guards the DELETE that gives its job up, whose head it
     * becomes part of.
     */
    static boolean isValidId(String value) {
        return value != null
                && !value.isEmpty()
                && value.length() <= MAX_NAME_LENGTH
                && value.chars().allMatch(c -> c > ' ' && c <= '~' && "/?#%".indexOf(c) < 0);
    }

    /** A number and a unit: {@code m} for milliseconds, {@code u} for microseconds. */
    static long deadlineMicros(String value, long defaultMicros) {
        if (value == null || value.isEmpty()) {
            return defaultMicros;
        }
        int unitAt = value.length() - 1;
        long unit = value.charAt(unitAt) == 'm' ? 1000 : value.charAt(unitAt) == 'u' ? 1 : 0;
        double micros = unit * parseNumber("X-Deadline", value.substring(0, unitAt));
        if (micros < 1 || micros > MAX_DEADLINE_MICROS) {
            throw new IllegalArgumentException("X-Deadline is not a time with the unit m or u");
        }
        return (long) micros;
    }

    /** One figure of {@code name=value,name=value}. */
    static double extra(String extras, String name, double defaultValue) {
        if (extras != null) {
            for (String pair : extras.split(",")) {
                int equalsAt = pair.indexOf('=');
                if (equalsAt > 0 && pair.substring(0, equalsAt).strip().equals(name)) {
                    double value = parseNumber("X-Extras", pair.substring(equalsAt + 1).strip());
                    if (value > MAX_EXTRA) {
                        throw new IllegalArgumentException("X-Extras has too large a figure");
                    }
                    return value;
                }
            }
        }
        return defaultValue;
    }

    /** Whether it may be a tenant's or a key's name; there may be none. */
    static boolean isValidName(String value) {
        return value == null
                || value.length() <= MAX_NAME_LENGTH
                        && value.chars().allMatch(c -> c >= ' ' && c <= '~');
    }

    private static double parseNumber(String header, String text) {
        if (!NUMBER.matcher(text).matches()) {
            throw new IllegalArgumentException(header + " is not a number");
        }
        return Double.parseDouble(text);
    }
}
