package postgrade.window;

/** The calendars of sites as they are known in one place at one time. */
@FunctionalInterface
public interface CalendarLookup {

    /** Null where it is not known, and nothing that needs a window may start there. */
    SiteCalendar forSite(String site);

    /**
     * It is this time, by the process's monotonic clock: what is known may have become too old
     * since it was last told.
     */
    default void at(long nowMicros) {}

    /** Why it is not known. */
    default String why(String site) {
        return "its calendar is not known";
    }
}
