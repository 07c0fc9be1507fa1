package postgrade.window;

/** The calendars of the sites, as far as this process knows them. */
@FunctionalInterface
public interface CalendarLookup {

    /**
     * Returns the calendar of a site, or null if it is not known; then no job that needs a window
     * may start at the site.
     */
    SiteCalendar forSite(String site);

    /**
     * Updates the current time of the process's monotonic clock, because calendars that were known
     * at the last update may have become too old since then.
     */
    default void observeTime(long nowMicros) {}

    /** Returns why the calendar of a site is not known. */
    default String unavailableReason(String site) {
        return "its calendar is not known";
    }
}
