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

/** Runs one case through the implementation and the oracle. */
final class Comparison {

    private Comparison() {}

    /** Returns null if they agree; else what differs. */
    static String findDifference(GeneratedCase generated, Mutation mutation) {
        SiteCalendar calendar;
        try {
            List<MaintenanceEvent> events =
                    CalendarReader.read(generated.siteZone, generated.text());
            calendar = SiteCalendar.compile("a", "1", events, generated.from, generated.to);
        } catch (InvalidCalendarException e) {
            return "rejected: line " + e.line() + ": " + e.description();
        }
        StartPlan plan =
                new StartPlan(
                        generated.earliestStart,
                        generated.deadline,
                        generated.durationMillis,
                        List.of("a"));
        StartWindows.Result result =
                StartWindows.query(plan, s -> calendar, generated.now, generated.clockErrorMillis);
        Intervals starts = result.anySite();
        Oracle oracle = new Oracle(generated, mutation);
        // Every point at which the result of either may change, and a millisecond to each side.
        TreeSet<Long> points =
                new TreeSet<>(
                        List.of(
                                generated.now,
                                generated.earliestStart,
                                generated.deadline - generated.durationMillis,
                                generated.from + generated.clockErrorMillis,
                                generated.to
                                        - generated.clockErrorMillis
                                        - generated.durationMillis));
        for (long[] c : oracle.closed) {
            points.add(c[0] - generated.clockErrorMillis - generated.durationMillis);
            points.add(c[0] - generated.clockErrorMillis);
            points.add(c[1] + generated.clockErrorMillis);
        }
        for (int i = 0; i < starts.size(); i++) {
            points.add(starts.from(i));
            points.add(starts.to(i));
        }
        long firstExpected = StartWindows.NEVER;
        for (long point : points) {
            for (long start = point - 1; start <= point + 1; start++) {
                boolean expected = oracle.mayStart(start);
                if (expected && firstExpected == StartWindows.NEVER) {
                    firstExpected = start;
                }
                if (expected != starts.contains(start)) {
                    return "a start at "
                            + start
                            + ": "
                            + starts.contains(start)
                            + ", by the oracle "
                            + expected;
                }
            }
        }
        long nextOpening =
                StartWindows.nextOpening(
                        plan, s -> calendar, generated.now, generated.clockErrorMillis);
        if (nextOpening != firstExpected
                || result.opensAt() != firstExpected
                || StartWindows.mayStart(plan, calendar, generated.now, generated.clockErrorMillis)
                        != oracle.mayStart(generated.now)) {
            return "opens at "
                    + nextOpening
                    + " and "
                    + result.opensAt()
                    + ", by the oracle "
                    + firstExpected;
        }
        return null;
    }
}
