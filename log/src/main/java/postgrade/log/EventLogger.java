package postgrade.log;

import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.event.LoggingEvent;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.spi.LoggingEventAware;

/**
 * An SLF4J logger. Events with fields arrive at {@link #log(LoggingEvent)}, plain lines at {@link
 * #handleNormalizedLoggingCall}.
 */
final class EventLogger extends LegacyAbstractLogger implements LoggingEventAware {

    private static final long serialVersionUID = 1L;

    EventLogger(String name) {
        this.name = name;
    }

    @Override
    public void log(LoggingEvent event) {
        String message =
                event.getArguments() == null
                        ? event.getMessage()
                        : MessageFormatter.arrayFormat(event.getMessage(), event.getArgumentArray())
                                .getMessage();
        EventLogs.write(
                new EventLine(
                        System.currentTimeMillis(),
                        event.getLevel(),
                        name,
                        message,
                        event.getKeyValuePairs(),
                        event.getThrowable()));
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String message, Object[] arguments, Throwable thrown) {
        String text =
                arguments == null ? message : MessageFormatter.basicArrayFormat(message, arguments);
        EventLogs.write(new EventLine(System.currentTimeMillis(), level, name, text, null, thrown));
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null; // Lines do not contain the location in the code.
    }

    @Override
    public boolean isTraceEnabled() {
        return EventLogs.isEnabled(name, Level.TRACE);
    }

    @Override
    public boolean isDebugEnabled() {
        return EventLogs.isEnabled(name, Level.DEBUG);
    }

    @Override
    public boolean isInfoEnabled() {
        return EventLogs.isEnabled(name, Level.INFO);
    }

    @Override
    public boolean isWarnEnabled() {
        return EventLogs.isEnabled(name, Level.WARN);
    }

    @Override
    public boolean isErrorEnabled() {
        return EventLogs.isEnabled(name, Level.ERROR);
    }
}
