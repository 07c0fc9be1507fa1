package postgrade.window;

/** The calendars of sites as one process knows them at one time. */
@FunctionalInterface
public interface CalendarLookup {

    /** Returns null where the calendar is not known; no job that needs a window may start there. */
    SiteCalendar forSite(String site);

    /**
     * Updates the current time, by the monotonic clock of the process: known calendars may have
     * become too old since the last update.
     */
    default void observeTime(long nowMicros) {}

    /** Returns why the calendar of a site is not known. */
    default String unavailableReason(String site) {
        return "its calendar is not known";
    }
}
