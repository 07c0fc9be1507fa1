package postgrade.calendar;

import java.util.List;
import postgrade.window.ExpansionBudget;
import postgrade.window.InvalidCalendarException;
import postgrade.window.MaintenanceEvent;
import postgrade.window.SiteCalendar;

/**
 * Checks and compiles calendars. A calendar crafted to be costly takes up to a second, so this must
 * not run on the event loop.
 */
public final class CalendarLoader {

    /** How far ahead calendars are compiled. */
    public static final long HORIZON_MILLIS = 100L * 86_400_000;

    /**
     * How far back calendars are compiled; an earlier start with its end in this range is included.
     */
    public static final long LOOKBACK_MILLIS = 86_400_000;

    private CalendarLoader() {}

    /**
     * The result of a check.
     *
     * @param line line of the text, from 1; 0 if the zone is invalid
     * @param property the property at fault; null if there is no fault
     * @param message what is wrong; null if there is no fault
     * @param events number of events read
     */
    public record CheckResult(boolean ok, int line, String property, String message, int events) {}

    /** Checks a calendar by the system clock. */
    public static CheckResult check(String site, String zone, String text) {
        return check(site, zone, text, System.currentTimeMillis());
    }

    public static CheckResult check(String site, String zone, String text, long now) {
        try {
            List<MaintenanceEvent> events = CalendarReader.read(zone, text);
            compile(site, "", events, now);
            ExpansionBudget laterBudget = new ExpansionBudget();
            for (MaintenanceEvent event : events) {
                // An event that starts beyond the horizon is checked as if it were within.
                long start = event.start().toEpochMillis();
                if (start > now + HORIZON_MILLIS) {
                    SiteCalendar.compile(
                            site, "", List.of(event), start, start + HORIZON_MILLIS, laterBudget);
                }
            }
            return new CheckResult(true, 0, null, null, events.size());
        } catch (InvalidCalendarException event) {
            return new CheckResult(false, event.line(), event.property(), event.description(), 0);
        }
    }

    /**
     * Reads and compiles a calendar.
     *
     * @throws InvalidCalendarException if the calendar is rejected
     */
    public static SiteCalendar load(
            String site, String version, String zone, String text, long now) {
        return compile(site, version, CalendarReader.read(zone, text), now);
    }

    private static SiteCalendar compile(
            String site, String version, List<MaintenanceEvent> events, long now) {
        return SiteCalendar.compile(
                site, version, events, now - LOOKBACK_MILLIS, now + HORIZON_MILLIS);
    }
}
