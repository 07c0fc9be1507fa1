package postgrade.log;

import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes events: lines with a stable name and fields beside the text that people read. */
public final class Events {

    /** The key under which a line carries its event's name. */
    public static final String EVENT = "event";

    private Events() {}

    /**
     * An event to be given fields and then its text, by {@link LoggingEventBuilder#log(String)}.
     */
    public static LoggingEventBuilder info(Logger log, String event) {
        return log.atLevel(Level.INFO).addKeyValue(EVENT, event);
    }

    public static LoggingEventBuilder warn(Logger log, String event) {
        return log.atLevel(Level.WARN).addKeyValue(EVENT, event);
    }

    public static LoggingEventBuilder error(Logger log, String event) {
        return log.atLevel(Level.ERROR).addKeyValue(EVENT, event);
    }
}
