package postgrade.calendar;

import java.nio.charset.StandardCharsets;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import postgrade.window.InvalidCalendarException;
import postgrade.window.MaintenanceEvent;

/**
 * Reads an iCalendar text into plain events. Whole or not at all: what is wrong is thrown with its
 * line and property.
 */
public final class CalendarReader {

    /** What is shared is kept whole by every process, so it is small. */
    public static final int MOST_BYTES = 256 * 1024;

    public static final int MOST_EVENTS = 2_000;

    static {
        // The library must not look for zones on a network; none of its zones are used here at all.
        System.setProperty("net.fortuna.ical4j.timezone.update.enabled", "false");
        System.setProperty(
                "net.fortuna.ical4j.timezone.cache.impl",
                "net.fortuna.ical4j.util.MapTimeZoneCache");
    }

    private CalendarReader() {}

    /**
     * @param zone the site's, for dates and floating times
     * @throws InvalidCalendarException where it is turned down
     */
    public static List<MaintenanceEvent> read(String zone, String text) {
        if (!Values.known(zone)) {
            throw new InvalidCalendarException(0, "zone", "is not known: " + zone);
        }
        if (text.length() > MOST_BYTES
                || text.getBytes(StandardCharsets.UTF_8).length > MOST_BYTES) {
            throw new InvalidCalendarException(
                    1, "VCALENDAR", "is longer than " + MOST_BYTES + " bytes");
        }
        Component calendar = TreeReader.read(text);
        Values values = new Values(ZoneId.of(zone).getRules(), ZoneReader.zones(calendar));
        List<EventReader> events = new ArrayList<>();
        for (Component c : calendar.within) {
            switch (c.name) {
                case "VEVENT" -> events.add(new EventReader(c, values));
                case "VTIMEZONE", "VTODO", "VJOURNAL" -> {}
                // Passing over what may close a site would let jobs start there.
                default -> throw new InvalidCalendarException(c.line, c.name, "is not supported");
            }
            if (events.size() > MOST_EVENTS) {
                throw new InvalidCalendarException(
                        c.line, "VEVENT", "is there more than " + MOST_EVENTS + " times");
            }
        }
        return EventReader.events(events);
    }
}
