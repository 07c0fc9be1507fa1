package postgrade.shared;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** Immutable named values: a row of the replicated state or the arguments of a command. */
public final class Row {

    public static final Row EMPTY = new Row(Map.of());

    private final Map<String, String> values;

    public Row(Map<String, String> values) {
        this.values = Collections.unmodifiableMap(new TreeMap<>(values));
    }

    /** Alternating names and values; values are converted with {@code toString}. */
    public static Row of(Object... namesAndValues) {
        return EMPTY.with(namesAndValues);
    }

    /** A copy with these names set. */
    public Row with(Object... namesAndValues) {
        Map<String, String> copy = new TreeMap<>(values);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            copy.put((String) namesAndValues[i], String.valueOf(namesAndValues[i + 1]));
        }
        return new Row(copy);
    }

    public Map<String, String> values() {
        return values;
    }

    public boolean has(String name) {
        return values.containsKey(name);
    }

    public String text(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new InvalidFieldException(name, "is missing");
        }
        return value;
    }

    public String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    public long integer(String name) {
        try {
            return Long.parseLong(text(name));
        } catch (NumberFormatException e) {
            throw new InvalidFieldException(name, "must be a whole number");
        }
    }

    public long integer(String name, long defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** An integer within bounds, both inclusive. */
    public long integer(String name, long min, long max) {
        long value = integer(name);
        if (value < min || value > max) {
            throw new InvalidFieldException(name, "must lie between " + min + " and " + max);
        }
        return value;
    }

    public double decimal(String name) {
        try {
            double value = Double.parseDouble(text(name));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Falls through to the shared error message.
        }
        throw new InvalidFieldException(name, "must be a number");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Row r && values.equals(r.values);
    }

    @Override
    public int hashCode() {
        return values.hashCode();
    }

    @Override
    public String toString() {
        return values.toString();
    }

    /** A command has a missing or invalid field. */
    public static final class InvalidFieldException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public InvalidFieldException(String field, String problem) {
            super(field + " " + problem, null, false, false);
        }
    }
}
