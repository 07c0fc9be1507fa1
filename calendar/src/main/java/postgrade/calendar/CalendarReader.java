package postgrade.calendar;

import java.nio.charset.StandardCharsets;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import postgrade.window.InvalidCalendarException;
import postgrade.window.MaintenanceEvent;

/**
 * Reads an iCalendar text into maintenance events. A text is accepted or rejected as a whole; the
 * exception carries the line and the property at fault.
 */
public final class CalendarReader {

    /** Every process keeps the whole text of each replicated calendar, so the limit is small. */
    public static final int MAX_BYTES = 256 * 1024;

    public static final int MAX_EVENTS = 2_000;

    static {
        // The library must not fetch zones over the network; none of its zones are used here.
        System.setProperty("net.fortuna.ical4j.timezone.update.enabled", "false");
        System.setProperty(
                "net.fortuna.ical4j.timezone.cache.impl",
                "net.fortuna.ical4j.util.MapTimeZoneCache");
    }

    private CalendarReader() {}

    /**
     * Reads a calendar.
     *
     * @param zone the site's zone, for dates and floating times
     * @throws InvalidCalendarException if the calendar is rejected
     */
    public static List<MaintenanceEvent> read(String zone, String text) {
        if (!ValueReader.isKnownZone(zone)) {
            throw new InvalidCalendarException(0, "zone", "is not known: " + zone);
        }
        if (text.length() > MAX_BYTES || text.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES) {
            throw new InvalidCalendarException(
                    1, "VCALENDAR", "is longer than " + MAX_BYTES + " bytes");
        }
        Component calendar = ComponentTreeReader.read(text);
        ValueReader values =
                new ValueReader(ZoneId.of(zone).getRules(), ZoneReader.zones(calendar));
        List<EventReader> events = new ArrayList<>();
        for (Component component : calendar.children) {
            switch (component.name) {
                case "VEVENT" -> events.add(new EventReader(component, values));
                case "VTIMEZONE", "VTODO", "VJOURNAL" -> {}
                // Ignoring a component that may close a site would let jobs start there.
                default ->
                        throw new InvalidCalendarException(
                                component.line, component.name, "is not supported");
            }
            if (events.size() > MAX_EVENTS) {
                throw new InvalidCalendarException(
                        component.line, "VEVENT", "is there more than " + MAX_EVENTS + " times");
            }
        }
        return EventReader.events(events);
    }
}
