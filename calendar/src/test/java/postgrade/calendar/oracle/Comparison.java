package postgrade.calendar.oracle;

import java.util.List;
import java.util.TreeSet;
import postgrade.calendar.CalendarReader;
import postgrade.window.Intervals;
import postgrade.window.InvalidCalendarException;
import postgrade.window.MaintenanceEvent;
import postgrade.window.SiteCalendar;
import postgrade.window.StartPlan;
import postgrade.window.StartWindows;

/** One case through the product and the oracle. */
final class Comparison {

    private Comparison() {}

    /** Null where they agree; else what differs. */
    static String differs(Made m, Mutation mutation) {
        SiteCalendar calendar;
        try {
            List<MaintenanceEvent> events = CalendarReader.read(m.siteZone, m.text());
            calendar = SiteCalendar.compile("a", "1", events, m.from, m.to);
        } catch (InvalidCalendarException e) {
            return "turned down: line " + e.line() + ": " + e.description();
        }
        StartPlan plan = new StartPlan(m.earliest, m.deadline, m.lasts, List.of("a"));
        StartWindows.Result answer = StartWindows.query(plan, s -> calendar, m.now, m.error);
        Intervals starts = answer.anySite();
        Oracle oracle = new Oracle(m, mutation);
        // Wherever either of them may change its mind, and a millisecond to each side.
        TreeSet<Long> points =
                new TreeSet<>(
                        List.of(
                                m.now,
                                m.earliest,
                                m.deadline - m.lasts,
                                m.from + m.error,
                                m.to - m.error - m.lasts));
        for (long[] c : oracle.closed) {
            points.add(c[0] - m.error - m.lasts);
            points.add(c[0] - m.error);
            points.add(c[1] + m.error);
        }
        for (int i = 0; i < starts.size(); i++) {
            points.add(starts.from(i));
            points.add(starts.to(i));
        }
        long first = StartWindows.NEVER;
        for (long point : points) {
            for (long at = point - 1; at <= point + 1; at++) {
                boolean may = oracle.may(at);
                if (may && first == StartWindows.NEVER) {
                    first = at;
                }
                if (may != starts.contains(at)) {
                    return "a start at "
                            + at
                            + ": "
                            + starts.contains(at)
                            + ", by the oracle "
                            + may;
                }
            }
        }
        long opens = StartWindows.opens(plan, s -> calendar, m.now, m.error);
        if (opens != first
                || answer.opensAt() != first
                || StartWindows.able(plan, calendar, m.now, m.error) != oracle.may(m.now)) {
            return "opens at " + opens + " and " + answer.opensAt() + ", by the oracle " + first;
        }
        return null;
    }
}
