package postgrade.log;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.time.Instant;
import java.util.List;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;

/** One log line. It stays a single line whatever its message and fields contain. */
record EventLine(
        long unixMillis,
        Level level,
        String logger,
        String message,
        List<KeyValuePair> fields,
        Throwable thrown) {

    /**
     * Returns the level name that operators search for; these names are older than the structured
     * lines.
     */
    private static String levelName(Level level) {
        return switch (level) {
            case ERROR -> "SEVERE";
            case WARN -> "WARNING";
            case INFO -> "INFO";
            default -> "FINE";
        };
    }

    String text() {
        String cause = thrown == null ? "" : " (" + thrown + " at " + firstStackFrame() + ")";
        return Instant.ofEpochMilli(unixMillis)
                + " "
                + levelName(level)
                + " "
                + escapeLineBreaks(message + cause)
                + "\n";
    }

    /** Returns {@code {"time","level","event","message","logger", and the event's own fields}}. */
    String json() {
        JsonObject line =
                Json.object()
                        .add("time", Instant.ofEpochMilli(unixMillis).toString())
                        .add("level", levelName(level));
        if (fields != null) {
            for (KeyValuePair field : fields) {
                line.set(field.key, toJsonValue(field.value));
            }
        }
        line.set("message", message);
        line.set("logger", logger);
        if (thrown != null) {
            line.set("thrown", thrown.toString());
            line.set("at", firstStackFrame());
        }
        return line + "\n";
    }

    private static JsonValue toJsonValue(Object value) {
        if (value instanceof Integer || value instanceof Long) {
            return Json.value(((Number) value).longValue());
        }
        if (value instanceof Number n && Double.isFinite(n.doubleValue())) {
            return Json.value(n.doubleValue());
        }
        return value instanceof Boolean b ? Json.value(b) : Json.value(String.valueOf(value));
    }

    private String firstStackFrame() {
        return thrown.getStackTrace().length == 0 ? "?" : thrown.getStackTrace()[0].toString();
    }

    /**
     * Escapes line breaks, which a message with external text may contain, for readers that work
     * line by line.
     */
    private static String escapeLineBreaks(String text) {
        return text.indexOf('\n') < 0 && text.indexOf('\r') < 0
                ? text
                : text.replace("\r", "\\r").replace("\n", "\\n");
    }
}
