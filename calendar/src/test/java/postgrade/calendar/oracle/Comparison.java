package postgrade.calendar.oracle;

import java.util.List;
import java.util.TreeSet;
import postgrade.calendar.CalendarReader;
import postgrade.window.Event;
import postgrade.window.FaultyCalendar;
import postgrade.window.Intervals;
import postgrade.window.Plan;
import postgrade.window.SiteCalendar;
import postgrade.window.Windows;

/** One case through the product and the oracle. */
final class Comparison {

    private Comparison() {}

    /** Null where they agree; else what differs. */
    static String differs(Made m, Mutation mutation) {
        SiteCalendar calendar;
        try {
            List<Event> events = CalendarReader.read(m.siteZone, m.text());
            calendar = SiteCalendar.compile("a", "1", events, m.from, m.to);
        } catch (FaultyCalendar e) {
            return "turned down: line " + e.line() + ": " + e.sentence();
        }
        Plan plan = new Plan(m.earliest, m.deadline, m.lasts, List.of("a"));
        Windows.Answer answer = Windows.query(plan, s -> calendar, m.now, m.error);
        Intervals starts = answer.together();
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
        long first = Windows.NEVER;
        for (long point : points) {
            for (long at = point - 1; at <= point + 1; at++) {
                boolean may = oracle.may(at);
                if (may && first == Windows.NEVER) {
                    first = at;
                }
                if (may != starts.holds(at)) {
                    return "a start at " + at + ": " + starts.holds(at) + ", by the oracle " + may;
                }
            }
        }
        long opens = Windows.opens(plan, s -> calendar, m.now, m.error);
        if (opens != first
                || answer.opens() != first
                || Windows.able(plan, calendar, m.now, m.error) != oracle.may(m.now)) {
            return "opens at " + opens + " and " + answer.opens() + ", by the oracle " + first;
        }
        return null;
    }
}
