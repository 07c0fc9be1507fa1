package postgrade.window;

import java.time.DayOfWeek;
import java.time.LocalDateTime;
import java.util.List;

/**
 * A rule of recurrence as plain figures, after RFC 5545. Its parts are taken to fit together; who
 * reads calendars checks it.
 *
 * @param count how many instances in all, the first included; 0 for no such end
 * @param untilMillis the last instant an instance may begin at; {@link Long#MAX_VALUE} for no such
 *     end
 * @param weekStart which day weeks begin with
 * @param line of the calendar, for faults
 */
public record Recurrence(
        Every every,
        int interval,
        int count,
        long untilMillis,
        DayOfWeek weekStart,
        int[] months,
        int[] weeks,
        int[] yearDays,
        int[] monthDays,
        List<Day> days,
        int[] hours,
        int[] minutes,
        int[] seconds,
        int[] positions,
        int line) {

    public enum Every {
        SECOND,
        MINUTE,
        HOUR,
        DAY,
        WEEK,
        MONTH,
        YEAR
    }

    /**
     * @param nth 0 for each such day; else the nth of the month or year, from its end where
     *     negative
     */
    public record Day(int nth, DayOfWeek day) {}

    private static final int[] ANY = {};

    public static Recurrence every(Every every, int interval) {
        return new Recurrence(
                every,
                interval,
                0,
                Long.MAX_VALUE,
                DayOfWeek.MONDAY,
                ANY,
                ANY,
                ANY,
                ANY,
                List.of(),
                ANY,
                ANY,
                ANY,
                ANY,
                0);
    }

    public Recurrence times(int newCount) {
        return new Recurrence(
                every,
                interval,
                newCount,
                untilMillis,
                weekStart,
                months,
                weeks,
                yearDays,
                monthDays,
                days,
                hours,
                minutes,
                seconds,
                positions,
                line);
    }

    public Recurrence on(List<Day> newDays) {
        return new Recurrence(
                every,
                interval,
                count,
                untilMillis,
                weekStart,
                months,
                weeks,
                yearDays,
                monthDays,
                newDays,
                hours,
                minutes,
                seconds,
                positions,
                line);
    }

    /** The beginning of the period the first instance lies in, by local time. */
    LocalDateTime firstPeriod(LocalDateTime first) {
        LocalDateTime midnight = first.toLocalDate().atStartOfDay();
        return switch (every) {
            case SECOND -> first.withNano(0);
            case MINUTE -> first.withNano(0).withSecond(0);
            case HOUR -> midnight.withHour(first.getHour());
            case DAY -> midnight;
            case WEEK ->
                    midnight.minusDays(
                            Math.floorMod(
                                    first.getDayOfWeek().getValue() - weekStart.getValue(), 7));
            case MONTH -> midnight.withDayOfMonth(1);
            case YEAR -> midnight.withDayOfYear(1);
        };
    }

    LocalDateTime period(LocalDateTime firstPeriod, long index) {
        long by = index * interval;
        return switch (every) {
            case SECOND -> firstPeriod.plusSeconds(by);
            case MINUTE -> firstPeriod.plusMinutes(by);
            case HOUR -> firstPeriod.plusHours(by);
            case DAY -> firstPeriod.plusDays(by);
            case WEEK -> firstPeriod.plusWeeks(by);
            case MONTH -> firstPeriod.plusMonths(by);
            case YEAR -> firstPeriod.plusYears(by);
        };
    }

    /** Less than or as many periods as lie between: where to begin without walking there. */
    long periodsUpTo(LocalDateTime firstPeriod, LocalDateTime time) {
        if (!time.isAfter(firstPeriod)) {
            return 0;
        }
        java.time.temporal.ChronoUnit unit =
                switch (every) {
                    case SECOND -> java.time.temporal.ChronoUnit.SECONDS;
                    case MINUTE -> java.time.temporal.ChronoUnit.MINUTES;
                    case HOUR -> java.time.temporal.ChronoUnit.HOURS;
                    case DAY -> java.time.temporal.ChronoUnit.DAYS;
                    case WEEK -> java.time.temporal.ChronoUnit.WEEKS;
                    case MONTH -> java.time.temporal.ChronoUnit.MONTHS;
                    case YEAR -> java.time.temporal.ChronoUnit.YEARS;
                };
        return unit.between(firstPeriod, time) / interval;
    }
}
