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
public record MaintenanceEvent(
        String title,
        int line,
        ZonedTime start,
        EventDuration length,
        List<Recurrence> rules,
        List<Extra> extras,
        Set<Long> without) {

    /** A local time in its zone; floating times have been given their site's. */
    public record ZonedTime(LocalDateTime local, ZoneRules zone) {
        public long millis() {
            return LocalTimes.millis(local, zone);
        }
    }

    /** A further instance. */
    public record Extra(ZonedTime start, EventDuration length, int line) {}

    /**
     * Whole days by the calendar, then an exact time: one day may last 23 hours, 24 hours never do.
     */
    public record EventDuration(int days, long millis) {

        public static final int MOST_DAYS = 3_660;

        public static EventDuration exactly(long millis) {
            return new EventDuration(0, millis);
        }

        public static EventDuration ofDays(int days) {
            return new EventDuration(days, 0);
        }

        long end(ZonedTime start) {
            long from =
                    days == 0
                            ? start.millis()
                            : LocalTimes.millis(start.local().plusDays(days), start.zone());
            return Math.max(start.millis(), from + millis);
        }
    }

    public static MaintenanceEvent once(String title, ZonedTime start, EventDuration length) {
        return new MaintenanceEvent(title, 0, start, length, List.of(), List.of(), Set.of());
    }

    public MaintenanceEvent recurring(Recurrence rule) {
        return new MaintenanceEvent(title, line, start, length, List.of(rule), extras, without);
    }
}
