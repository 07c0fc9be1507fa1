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
 * The library's parser reads the text; here its events become a tree whose properties know their
 * lines.
 */
final class TreeReader implements ContentHandler {

    private static final int DEEPEST = 4;

    private final Lines lines;
    private final Deque<Component> open = new ArrayDeque<>();
    private Component calendar;
    private String property;
    private Map<String, String> parameters;
    private String value;

    /** Content lines seen: each event that begins one counts it. */
    private int seen;

    private TreeReader(Lines lines) {
        this.lines = lines;
    }

    static Component read(String text) {
        Lines lines = new Lines(text);
        TreeReader reader = new TreeReader(lines);
        try {
            new CalendarParserImpl().parse(new StringReader(lines.unfolded()), reader);
        } catch (ParserException e) {
            String what = String.valueOf(e.getMessage()).replaceFirst("^Error at line \\d+:", "");
            throw new InvalidCalendarException(
                    lines.number(reader.seen), "VCALENDAR", "cannot be read: " + what);
        } catch (IOException e) {
            throw new InvalidCalendarException(
                    lines.number(reader.seen), "VCALENDAR", "cannot be read");
        }
        if (reader.calendar == null) {
            throw new InvalidCalendarException(1, "VCALENDAR", "is missing");
        }
        return reader.calendar;
    }

    private int next() {
        return lines.number(seen++);
    }

    @Override
    public void startCalendar() {
        int line = next();
        if (calendar != null) {
            throw new InvalidCalendarException(line, "VCALENDAR", "is there twice");
        }
        calendar = new Component("VCALENDAR", line);
        open.push(calendar);
    }

    @Override
    public void endCalendar() {
        next();
        open.pop();
    }

    @Override
    public void startComponent(String name) {
        Component c = new Component(name.toUpperCase(Locale.ROOT), next());
        if (open.size() == DEEPEST) {
            throw new InvalidCalendarException(c.line, c.name, "lies too deep");
        }
        open.element().within.add(c);
        open.push(c);
    }

    @Override
    public void endComponent(String name) {
        next();
        open.pop();
    }

    @Override
    public void startProperty(String name) {
        property = name.toUpperCase(Locale.ROOT);
        parameters = new LinkedHashMap<>();
        value = "";
    }

    @Override
    public void parameter(String name, String given) {
        boolean quoted = given.length() > 1 && given.startsWith("\"") && given.endsWith("\"");
        parameters.put(
                name.toUpperCase(Locale.ROOT),
                quoted ? given.substring(1, given.length() - 1) : given);
    }

    @Override
    public void propertyValue(String given) {
        value = given;
    }

    @Override
    public void endProperty(String name) {
        open.element().add(new Component.Property(property, next(), parameters, value));
    }
}
