package postgrade.calendar;

import java.util.List;
import postgrade.window.InvalidCalendarException;
import postgrade.window.MaintenanceEvent;
import postgrade.window.SiteCalendar;
import postgrade.window.Steps;

/** Whether a calendar may be taken over. Costs up to a second for one made to; not for the loop. */
public final class CalendarLoader {

    /** How far ahead calendars are worked out. */
    public static final long HORIZON_MILLIS = 100L * 86_400_000;

    /** How far back: what began earlier has its end within. */
    public static final long BACK = 86_400_000;

    private CalendarLoader() {}

    /**
     * @param line of the text, from 1; 0 where it is the zone that is faulty
     * @param property where the fault lies; null where there is none
     * @param sentence what is wrong; null where nothing is
     * @param events how many were read
     */
    public record CheckResult(boolean ok, int line, String property, String message, int events) {}

    /** By the machine's clock. */
    public static CheckResult check(String site, String zone, String text) {
        return check(site, zone, text, System.currentTimeMillis());
    }

    public static CheckResult check(String site, String zone, String text, long now) {
        try {
            List<MaintenanceEvent> events = CalendarReader.read(zone, text);
            compile(site, "", events, now);
            Steps ahead = new Steps();
            for (MaintenanceEvent e : events) {
                // What begins beyond the horizon is tried as if it were within.
                long begins = e.start().millis();
                if (begins > now + HORIZON_MILLIS) {
                    SiteCalendar.compile(
                            site, "", List.of(e), begins, begins + HORIZON_MILLIS, ahead);
                }
            }
            return new CheckResult(true, 0, null, null, events.size());
        } catch (InvalidCalendarException e) {
            return new CheckResult(false, e.line(), e.property(), e.description(), 0);
        }
    }

    /**
     * @throws InvalidCalendarException where it is turned down
     */
    public static SiteCalendar load(
            String site, String version, String zone, String text, long now) {
        return compile(site, version, CalendarReader.read(zone, text), now);
    }

    private static SiteCalendar compile(
            String site, String version, List<MaintenanceEvent> events, long now) {
        return SiteCalendar.compile(site, version, events, now - BACK, now + HORIZON_MILLIS);
    }
}
