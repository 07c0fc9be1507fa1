package postgrade.window;

import java.time.LocalDateTime;
import java.time.zone.ZoneRules;
import java.util.List;
import java.util.Set;

/**
 * One maintenance event of a calendar: its start, duration and recurrence. An instance that was
 * moved is excluded here and is an event of its own.
 *
 * @param excludedStarts instants at which no instance starts
 * @param line line of the calendar at which the event begins, for error messages and reasons
 */
public record MaintenanceEvent(
        String title,
        int line,
        ZonedTime start,
        EventDuration duration,
        List<Recurrence> rules,
        List<ExtraInstance> extras,
        Set<Long> excludedStarts) {

    /** A local time in its zone; floating times carry the zone of their site. */
    public record ZonedTime(LocalDateTime local, ZoneRules zone) {
        public long toEpochMillis() {
            return LocalTimes.toEpochMillis(local, zone);
        }
    }

    /** An additional instance of the event. */
    public record ExtraInstance(ZonedTime start, EventDuration duration, int line) {}

    /**
     * A number of calendar days followed by an exact time: a day may last 23 hours, 24 hours are
     * always 24 hours.
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
            long daysEnd =
                    days == 0
                            ? start.toEpochMillis()
                            : LocalTimes.toEpochMillis(start.local().plusDays(days), start.zone());
            return Math.max(start.toEpochMillis(), daysEnd + millis);
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
