package postgrade.calendar;

import java.util.List;
import postgrade.window.Event;
import postgrade.window.FaultyCalendar;
import postgrade.window.SiteCalendar;
import postgrade.window.Steps;

/** Whether a calendar may be taken over. Costs up to a second for one made to; not for the loop. */
public final class CalendarCheck {

    /** How far ahead calendars are worked out. */
    public static final long HORIZON = 100L * 86_400_000;

    /** How far back: what began earlier has its end within. */
    public static final long BACK = 86_400_000;

    private CalendarCheck() {}

    /**
     * @param line of the text, from 1; 0 where it is the zone that is faulty
     * @param property where the fault lies; null where there is none
     * @param sentence what is wrong; null where nothing is
     * @param events how many were read
     */
    public record Result(boolean ok, int line, String property, String sentence, int events) {}

    /** By the machine's clock. */
    public static Result check(String site, String zone, String text) {
        return check(site, zone, text, System.currentTimeMillis());
    }

    public static Result check(String site, String zone, String text, long now) {
        try {
            List<Event> events = CalendarReader.read(zone, text);
            compile(site, "", events, now);
            Steps ahead = new Steps();
            for (Event e : events) {
                // What begins beyond the horizon is tried as if it were within.
                long begins = e.start().millis();
                if (begins > now + HORIZON) {
                    SiteCalendar.compile(site, "", List.of(e), begins, begins + HORIZON, ahead);
                }
            }
            return new Result(true, 0, null, null, events.size());
        } catch (FaultyCalendar e) {
            return new Result(false, e.line(), e.property(), e.sentence(), 0);
        }
    }

    /**
     * @throws FaultyCalendar where it is turned down
     */
    public static SiteCalendar load(
            String site, String version, String zone, String text, long now) {
        return compile(site, version, CalendarReader.read(zone, text), now);
    }

    private static SiteCalendar compile(String site, String version, List<Event> events, long now) {
        return SiteCalendar.compile(site, version, events, now - BACK, now + HORIZON);
    }
}
