package postgrade.window;

import java.util.ArrayList;
import java.util.List;
import postgrade.window.Exclusion.Reason;

/**
 * When a job may start at a site. It may while it neither overlaps maintenance nor starts in it,
 * with maintenance made longer by the clock's error at both ends: {@code start + lasts <= begin -
 * error} or {@code start >= end + error}.
 */
public final class SiteStarts {

    private final StartPlan plan;
    private final SiteCalendar calendar;
    private final long now;
    private final long error;
    private final Intervals starts;

    SiteStarts(StartPlan plan, SiteCalendar calendar, long now, long error) {
        this.plan = plan;
        this.calendar = calendar;
        this.now = now;
        this.error = error;
        Intervals.Gathering open = new Intervals.Gathering();
        long end = end();
        long at = begin();
        Intervals closed = calendar.closed();
        for (int i = closed.endingAfter(at - error); at < end && i < closed.size(); i++) {
            long out = lastStart(closed.from(i));
            if (out >= end) {
                break;
            }
            open.add(at, out);
            at = Math.max(at, closed.to(i) + error);
        }
        open.add(at, end);
        starts = open.asAdded();
    }

    /**
     * From here on a start is excluded by maintenance that begins then. A job that takes no time
     * may end in a begin.
     */
    private long lastStart(long closes) {
        return closes - error - Math.max(0, plan.durationMillis() - 1);
    }

    private long begin() {
        return Math.max(Math.max(plan.earliestStart(), now), calendar.knownFrom() + error);
    }

    private long end() {
        return Math.min(plan.startsEnd(), calendar.knownTo() - error - plan.durationMillis() + 1);
    }

    /**
     * Whether it may start at this time, and if not, when next.
     *
     * @return the time itself, a later one, or {@link StartWindows#NEVER}
     */
    static long next(StartPlan plan, SiteCalendar calendar, long time, long error) {
        Intervals closed = calendar.closed();
        long at = Math.max(Math.max(plan.earliestStart(), time), calendar.knownFrom() + error);
        long end =
                Math.min(plan.startsEnd(), calendar.knownTo() - error - plan.durationMillis() + 1);
        long before = error + Math.max(0, plan.durationMillis() - 1);
        for (int i = closed.endingAfter(at - error); at < end; i++) {
            if (i == closed.size() || closed.from(i) - before > at) {
                return at;
            }
            at = Math.max(at, closed.to(i) + error);
        }
        return StartWindows.NEVER;
    }

    public String site() {
        return calendar.site();
    }

    public String version() {
        return calendar.version();
    }

    /** The times at which it may start, from now on. */
    public Intervals starts() {
        return starts;
    }

    /**
     * Why not at other times, from the earliest start or now to the deadline, in order of their
     * begins.
     */
    public List<Exclusion> exclusions() {
        List<Exclusion> all = new ArrayList<>();
        String site = site();
        long from = Math.max(plan.earliestStart(), now);
        long to =
                plan.deadline() == Long.MAX_VALUE
                        ? Long.MAX_VALUE / 4
                        : Math.max(from, plan.deadline() + 1);
        if (now < plan.earliestStart()) {
            all.add(
                    new Exclusion(
                            now,
                            plan.earliestStart(),
                            null,
                            Reason.TOO_EARLY,
                            "before its earliest start"));
        }
        if (from < begin()) {
            all.add(
                    new Exclusion(
                            from,
                            Math.min(to, begin()),
                            site,
                            Reason.BEYOND_HORIZON,
                            "before what is worked out"));
        }
        Intervals closed = calendar.closed();
        for (int i = closed.endingAfter(begin() - error); i < closed.size(); i++) {
            long begin = Math.max(begin(), lastStart(closed.from(i)));
            long end = Math.min(end(), closed.to(i) + error);
            if (begin >= end) {
                break;
            }
            all.add(new Exclusion(begin, end, site, Reason.MAINTENANCE, calendar.why(i)));
        }
        long known = Math.max(from, calendar.knownTo() - error - plan.durationMillis() + 1);
        if (known < Math.min(to, plan.startsEnd())) {
            all.add(
                    new Exclusion(
                            known,
                            Math.min(to, plan.startsEnd()),
                            site,
                            Reason.BEYOND_HORIZON,
                            "after what is worked out"));
        }
        if (Math.max(from, plan.startsEnd()) < to) {
            all.add(
                    new Exclusion(
                            Math.max(from, plan.startsEnd()),
                            to,
                            null,
                            Reason.TOO_LATE,
                            "would end after its deadline"));
        }
        return all;
    }
}
