package postgrade.window;

import java.util.ArrayList;
import java.util.List;
import postgrade.window.Exclusion.Reason;

/**
 * Computes when a job may start, from its plan and the calendars of its sites. Reads no clock: all
 * times are passed in.
 */
public final class StartWindows {

    /** Stands for a time that never comes. */
    public static final long NEVER = Long.MAX_VALUE;

    private StartWindows() {}

    /**
     * The result of a query.
     *
     * @param bySite start times per site, in the plan's order; sites whose calendar is not known
     *     are absent
     * @param unknownSites why the absent sites are not known
     * @param anySite when the job may start at one site or more
     * @param opensAt the first time from now on at which the job may start, {@link #NEVER} if there
     *     is none
     * @param closesAt the end of that opening
     */
    public record Result(
            List<SiteStartTimes> bySite,
            List<Exclusion> unknownSites,
            Intervals anySite,
            long opensAt,
            long closesAt) {

        public boolean mayStart(long now) {
            return opensAt == now;
        }

        /**
         * Returns each interval in which the job may not start at some site, and why. Computed on
         * demand.
         */
        public List<Exclusion> exclusions() {
            List<Exclusion> exclusions = new ArrayList<>(unknownSites);
            bySite.forEach(
                    s ->
                            s.exclusions().stream()
                                    // What the plan excludes is the same at every site, so it is
                                    // listed once.
                                    .filter(e -> e.site() != null || s == bySite.get(0))
                                    .forEach(exclusions::add));
            return exclusions;
        }
    }

    /**
     * Returns the start times of every site and of all of them together.
     *
     * @param now nothing starts before this
     * @param clockErrorMillis how far the wall clock may be off
     */
    public static Result query(
            StartPlan plan, CalendarLookup calendars, long now, long clockErrorMillis) {
        List<SiteStartTimes> bySite = new ArrayList<>(plan.sites().size());
        List<Exclusion> unknownSites = new ArrayList<>();
        Intervals.Builder union = new Intervals.Builder();
        for (String site : plan.sites()) {
            SiteCalendar calendar = calendars.forSite(site);
            if (calendar == null) {
                unknownSites.add(
                        new Exclusion(
                                now,
                                NEVER,
                                site,
                                Reason.UNKNOWN,
                                calendars.unavailableReason(site)));
                continue;
            }
            SiteStartTimes siteStarts = new SiteStartTimes(plan, calendar, now, clockErrorMillis);
            bySite.add(siteStarts);
            union.add(siteStarts.starts());
        }
        Intervals anySite = bySite.size() == 1 ? bySite.get(0).starts() : union.buildUnion();
        return anySite.isEmpty()
                ? new Result(bySite, unknownSites, anySite, NEVER, NEVER)
                : new Result(bySite, unknownSites, anySite, anySite.from(0), anySite.to(0));
    }

    /**
     * Returns the first time, from now on, at which the job may start at some site; {@link #NEVER}
     * if there is none.
     */
    public static long nextOpening(
            StartPlan plan, CalendarLookup calendars, long now, long clockErrorMillis) {
        long earliest = NEVER;
        for (String site : plan.sites()) {
            SiteCalendar calendar = calendars.forSite(site);
            if (calendar != null) {
                earliest =
                        Math.min(
                                earliest,
                                SiteStartTimes.nextStart(plan, calendar, now, clockErrorMillis));
                if (earliest <= now) {
                    return earliest;
                }
            }
        }
        return earliest;
    }

    /** Returns whether the job may start at the site at this time. */
    public static boolean mayStart(
            StartPlan plan, SiteCalendar calendar, long time, long clockErrorMillis) {
        return calendar != null
                && SiteStartTimes.nextStart(plan, calendar, time, clockErrorMillis) == time;
    }
}
