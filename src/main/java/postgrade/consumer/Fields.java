package postgrade.consumer;

/** Reads the headers that describe a job. Messages of exceptions name the header. */
final class Fields {

    private static final long MOST_MICROS = 3_600_000_000L;

    private Fields() { }

    /** Whether the id can stand in a path. Guards the DELETE that gives its job up, whose head it becomes part of. */
    static boolean isId(String value) {
        return value != null && !value.isEmpty()
                && value.chars().allMatch(c -> c > ' ' && c <= '~' && "/?#%".indexOf(c) < 0);
    }

    /** A number and a unit: {@code m} for milliseconds, {@code u} for microseconds. */
    static long deadlineMicros(String value, long absent) {
        if (value == null || value.isEmpty()) {
            return absent;
        }
        int unitAt = value.length() - 1;
        long unit = value.charAt(unitAt) == 'm' ? 1000 : value.charAt(unitAt) == 'u' ? 1 : 0;
        double number = number("X-Deadline", value.substring(0, unitAt));
        if (unit == 0 || number < 0) {
            throw new IllegalArgumentException("X-Deadline is not a number with the unit m or u");
        }
        return Math.min(MOST_MICROS, (long) (number * unit));
    }

    /** One figure of {@code name=value,name=value}. */
    static double extra(String extras, String name, double absent) {
        if (extras != null) {
            for (String pair : extras.split(",")) {
                int eq = pair.indexOf('=');
                if (eq > 0 && pair.substring(0, eq).strip().equals(name)) {
                    return number("X-Extras", pair.substring(eq + 1));
                }
            }
        }
        return absent;
    }

    private static double number(String header, String text) {
        try {
            double value = Double.parseDouble(text.strip());
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, with the header's name.
        }
        throw new IllegalArgumentException(header + " is not a number");
    }
}
