package postgrade.log;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.helpers.BasicMDCAdapter;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * The SLF4J backend of all programs: one line per event on standard error, as text or as a JSON
 * object. It holds no thread, file or shutdown hook, so lines written during an orderly stop are
 * kept.
 */
public final class EventLogs implements SLF4JServiceProvider {

    /** The format of the lines. */
    public enum Format {
        TEXT,
        JSON
    }

    private static final String SLF4J_API = "2.0.99";
    private static final Map<String, Level> MINIMUM_LEVELS = new ConcurrentHashMap<>();
    private static volatile Format format = Format.TEXT;
    private static volatile Level minimumLevel = Level.INFO;
    private static volatile PrintStream out = System.err;

    private final Map<String, Logger> loggers = new ConcurrentHashMap<>();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter contexts = new BasicMDCAdapter();

    /**
     * Sets the format and names this backend to SLF4J, so that SLF4J does not search for providers,
     * which would delay the start of the process.
     */
    public static void configure(Format newFormat) {
        System.setProperty("slf4j.provider", EventLogs.class.getName());
        // Otherwise SLF4J writes a line about the provider.
        System.setProperty("slf4j.internal.verbosity", "WARN");
        format = newFormat;
    }

    /**
     * Parses {@code text} or {@code json}; any other name is an {@link IllegalArgumentException}.
     */
    public static Format parseFormat(String name) {
        for (Format format : Format.values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(name)) {
                return format;
            }
        }
        throw new IllegalArgumentException("--log-format is text or json, not " + name);
    }

    /** Sets the level below which no lines are written. */
    public static void setMinimumLevel(Level level) {
        minimumLevel = level;
    }

    /**
     * Sets the level below which no lines are written by the loggers whose names start with the
     * prefix, for verbose libraries.
     */
    public static void setLoggerLevel(String prefix, Level level) {
        MINIMUM_LEVELS.put(prefix, level);
    }

    /** Sets the stream that lines are written to, for tests. */
    public static void setOutput(PrintStream stream) {
        out = stream;
    }

    static boolean isEnabled(String logger, Level level) {
        return level.toInt() >= minimumLevel.toInt()
                && MINIMUM_LEVELS.entrySet().stream()
                        .noneMatch(
                                q ->
                                        level.toInt() < q.getValue().toInt()
                                                && logger.startsWith(q.getKey()));
    }

    static void write(EventLine line) {
        String text = format == Format.JSON ? line.json() : line.text();
        out.print(text); // One call per line, so that lines of several threads do not mix.
        out.flush();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return name -> loggers.computeIfAbsent(name, EventLogger::new);
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return contexts;
    }

    @Override
    public String getRequestedApiVersion() {
        return SLF4J_API;
    }

    @Override
    public void initialize() {
        // Nothing to set up: the format is set by configure().
    }
}
