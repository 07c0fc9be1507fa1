package postgrade.window;

import java.time.LocalDateTime;
import java.time.zone.ZoneRules;
import java.util.List;
import java.util.Set;

/**
 * One maintenance of a calendar, as plain figures: where it begins, how long it lasts, how it
 * recurs. An instance that was moved is left out here and stands as an event of its own.
 *
 * @param without instants at which no instance begins
 * @param line of the calendar at which it begins, for faults and reasons
 */
public record Event(
        String title,
        int line,
        When start,
        Length length,
        List<Recurrence> rules,
        List<Extra> extras,
        Set<Long> without) {

    /** A local time in its zone; floating times have been given their site's. */
    public record When(LocalDateTime local, ZoneRules zone) {
        public long millis() {
            return LocalTimes.millis(local, zone);
        }
    }

    /** A further instance. */
    public record Extra(When start, Length length, int line) {}

    /**
     * Whole days by the calendar, then an exact time: one day may last 23 hours, 24 hours never do.
     */
    public record Length(int days, long millis) {

        public static final int MOST_DAYS = 3_660;

        public static Length exactly(long millis) {
            return new Length(0, millis);
        }

        public static Length ofDays(int days) {
            return new Length(days, 0);
        }

        long end(When start) {
            long from =
                    days == 0
                            ? start.millis()
                            : LocalTimes.millis(start.local().plusDays(days), start.zone());
            return Math.max(start.millis(), from + millis);
        }
    }

    public static Event once(String title, When start, Length length) {
        return new Event(title, 0, start, length, List.of(), List.of(), Set.of());
    }

    public Event recurring(Recurrence rule) {
        return new Event(title, line, start, length, List.of(rule), extras, without);
    }
}
