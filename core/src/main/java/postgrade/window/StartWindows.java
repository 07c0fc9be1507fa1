package postgrade.window;

import java.util.ArrayList;
import java.util.List;
import postgrade.window.Exclusion.Reason;

/**
 * When a job may start, from its plan and the calendars of its sites. Knows no clock: all times are
 * handed in.
 */
public final class StartWindows {

    /** No time at all. */
    public static final long NEVER = Long.MAX_VALUE;

    private StartWindows() {}

    /**
     * @param starts per site, in the plan's order; sites whose calendar is not known are missing
     * @param unknown why the missing ones are
     * @param together when it may start at one of them at least
     * @param opens the first time from now on at which it may start, {@link #NEVER} where there is
     *     none
     * @param closes the end of that opening
     */
    public record Result(
            List<SiteStarts> bySite,
            List<Exclusion> unknownSites,
            Intervals anySite,
            long opensAt,
            long closesAt) {

        public boolean mayStart(long now) {
            return opensAt == now;
        }

        /** Each stretch in which it may not start somewhere, and why. Worked out when asked for. */
        public List<Exclusion> exclusions() {
            List<Exclusion> all = new ArrayList<>(unknownSites);
            bySite.forEach(
                    s ->
                            s.exclusions().stream()
                                    // What the plan excludes is the same at every site.
                                    .filter(e -> e.site() != null || s == bySite.get(0))
                                    .forEach(all::add));
            return all;
        }
    }

    /**
     * The full account.
     *
     * @param now nothing starts before this
     * @param error how far the wall clock may be off
     */
    public static Result query(StartPlan plan, CalendarLookup calendars, long now, long error) {
        List<SiteStarts> starts = new ArrayList<>(plan.sites().size());
        List<Exclusion> unknown = new ArrayList<>();
        Intervals.Gathering all = new Intervals.Gathering();
        for (String site : plan.sites()) {
            SiteCalendar calendar = calendars.forSite(site);
            if (calendar == null) {
                unknown.add(new Exclusion(now, NEVER, site, Reason.UNKNOWN, calendars.why(site)));
                continue;
            }
            SiteStarts s = new SiteStarts(plan, calendar, now, error);
            starts.add(s);
            all.add(s.starts());
        }
        Intervals together = starts.size() == 1 ? starts.get(0).starts() : all.union();
        return together.isEmpty()
                ? new Result(starts, unknown, together, NEVER, NEVER)
                : new Result(starts, unknown, together, together.from(0), together.to(0));
    }

    /**
     * The first time, from now on, at which it may start somewhere; {@link #NEVER} where there is
     * none.
     */
    public static long opens(StartPlan plan, CalendarLookup calendars, long now, long error) {
        long first = NEVER;
        for (String site : plan.sites()) {
            SiteCalendar calendar = calendars.forSite(site);
            if (calendar != null) {
                first = Math.min(first, SiteStarts.next(plan, calendar, now, error));
                if (first <= now) {
                    return first;
                }
            }
        }
        return first;
    }

    /** Whether it may start there at this time. */
    public static boolean able(StartPlan plan, SiteCalendar calendar, long time, long error) {
        return calendar != null && SiteStarts.next(plan, calendar, time, error) == time;
    }
}
