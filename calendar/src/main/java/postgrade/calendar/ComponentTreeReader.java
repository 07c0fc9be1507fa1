package postgrade.calendar;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import net.fortuna.ical4j.data.CalendarParserImpl;
import net.fortuna.ical4j.data.ContentHandler;
import net.fortuna.ical4j.data.ParserException;
import postgrade.window.InvalidCalendarException;

/**
 * Builds a tree of components from the events of the library's parser; its properties carry their
 * line numbers.
 */
final class ComponentTreeReader implements ContentHandler {

    private static final int MAX_DEPTH = 4;

    private final ContentLines lines;
    private final Deque<Component> openComponents = new ArrayDeque<>();
    private Component calendar;
    private String property;
    private Map<String, String> parameters;
    private String value;

    /** Number of content lines seen; each parser event that begins a line counts it. */
    private int linesSeen;

    private ComponentTreeReader(ContentLines lines) {
        this.lines = lines;
    }

    static Component read(String text) {
        ContentLines lines = new ContentLines(text);
        ComponentTreeReader reader = new ComponentTreeReader(lines);
        try {
            new CalendarParserImpl().parse(new StringReader(lines.unfolded()), reader);
        } catch (ParserException e) {
            String message =
                    String.valueOf(e.getMessage()).replaceFirst("^Error at line \\d+:", "");
            throw new InvalidCalendarException(
                    lines.lineNumber(reader.linesSeen), "VCALENDAR", "cannot be read: " + message);
        } catch (IOException e) {
            throw new InvalidCalendarException(
                    lines.lineNumber(reader.linesSeen), "VCALENDAR", "cannot be read");
        }
        if (reader.calendar == null) {
            throw new InvalidCalendarException(1, "VCALENDAR", "is missing");
        }
        return reader.calendar;
    }

    private int nextLineNumber() {
        return lines.lineNumber(linesSeen++);
    }

    @Override
    public void startCalendar() {
        int line = nextLineNumber();
        if (calendar != null) {
            throw new InvalidCalendarException(line, "VCALENDAR", "is there twice");
        }
        calendar = new Component("VCALENDAR", line);
        openComponents.push(calendar);
    }

    @Override
    public void endCalendar() {
        nextLineNumber();
        openComponents.pop();
    }

    @Override
    public void startComponent(String name) {
        Component component = new Component(name.toUpperCase(Locale.ROOT), nextLineNumber());
        if (openComponents.size() == MAX_DEPTH) {
            throw new InvalidCalendarException(component.line, component.name, "lies too deep");
        }
        openComponents.element().children.add(component);
        openComponents.push(component);
    }

    @Override
    public void endComponent(String name) {
        nextLineNumber();
        openComponents.pop();
    }

    @Override
    public void startProperty(String name) {
        property = name.toUpperCase(Locale.ROOT);
        parameters = new LinkedHashMap<>();
        value = "";
    }

    @Override
    public void parameter(String name, String newValue) {
        boolean quoted =
                newValue.length() > 1 && newValue.startsWith("\"") && newValue.endsWith("\"");
        parameters.put(
                name.toUpperCase(Locale.ROOT),
                quoted ? newValue.substring(1, newValue.length() - 1) : newValue);
    }

    @Override
    public void propertyValue(String newValue) {
        value = newValue;
    }

    @Override
    public void endProperty(String name) {
        openComponents
                .element()
                .add(new Component.Property(property, nextLineNumber(), parameters, value));
    }
}
