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
        EventDuration duration,
        List<Recurrence> rules,
        List<ExtraInstance> extras,
        Set<Long> excludedStarts) {

    /** A local time in its zone; floating times have been given their site's. */
    public record ZonedTime(LocalDateTime local, ZoneRules zone) {
        public long toEpochMillis() {
            return LocalTimes.toEpochMillis(local, zone);
        }
    }

    /** A further instance. */
    public record ExtraInstance(ZonedTime start, EventDuration duration, int line) {}

    /**
     * Whole days by the calendar, then an exact time: one day may last 23 hours, 24 hours never do.
     */
    public record EventDuration(int days, long millis) {

        public static final int MAX_DAYS = 3_660;

        public static EventDuration exactly(long millis) {
            return new EventDuration(0, millis);
        }

        public static EventDuration ofDays(int days) {
            return new EventDuration(days, 0);
        }

        long endOf(ZonedTime start) {
            long from =
                    days == 0
                            ? start.toEpochMillis()
                            : LocalTimes.toEpochMillis(start.local().plusDays(days), start.zone());
            return Math.max(start.toEpochMillis(), from + millis);
        }
    }

    public static MaintenanceEvent once(String title, ZonedTime start, EventDuration duration) {
        return new MaintenanceEvent(title, 0, start, duration, List.of(), List.of(), Set.of());
    }

    public MaintenanceEvent withRule(Recurrence rule) {
        return new MaintenanceEvent(
                title, line, start, duration, List.of(rule), extras, excludedStarts);
    }
}
