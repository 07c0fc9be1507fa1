package postgrade.log;

import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Creates log events: lines with a stable name and fields in addition to the text for people. */
public final class Events {

    /** The key of the event's name in a line. */
    public static final String EVENT = "event";

    private Events() {}

    /**
     * Returns an event, to which the caller adds fields and then its text, with {@link
     * LoggingEventBuilder#log(String)}.
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
