package postgrade.window;

import java.time.DayOfWeek;
import java.time.LocalDateTime;
import java.util.List;

/**
 * A recurrence rule of RFC 5545 as plain numbers. Its parts are assumed to be consistent; the
 * reader of the calendar checks them.
 *
 * @param count number of instances in all, the first included; 0 for no limit
 * @param untilMillis the last instant at which an instance may start; {@link Long#MAX_VALUE} for no
 *     limit
 * @param weekStart the day on which weeks start
 * @param line line of the calendar, for error messages
 */
public record Recurrence(
        Frequency frequency,
        int interval,
        int count,
        long untilMillis,
        DayOfWeek weekStart,
        int[] months,
        int[] weekNumbers,
        int[] yearDays,
        int[] monthDays,
        List<NthWeekday> weekdays,
        int[] hours,
        int[] minutes,
        int[] seconds,
        int[] positions,
        int line) {

    public enum Frequency {
        SECOND,
        MINUTE,
        HOUR,
        DAY,
        WEEK,
        MONTH,
        YEAR
    }

    /**
     * A weekday of a rule, every one or the nth.
     *
     * @param nth 0 for every such weekday; else the nth of the month or year, counted from its end
     *     where negative
     */
    public record NthWeekday(int nth, DayOfWeek weekday) {}

    private static final int[] UNRESTRICTED = {};

    public static Recurrence of(Frequency frequency, int interval) {
        return new Recurrence(
                frequency,
                interval,
                0,
                Long.MAX_VALUE,
                DayOfWeek.MONDAY,
                UNRESTRICTED,
                UNRESTRICTED,
                UNRESTRICTED,
                UNRESTRICTED,
                List.of(),
                UNRESTRICTED,
                UNRESTRICTED,
                UNRESTRICTED,
                UNRESTRICTED,
                0);
    }

    public Recurrence withCount(int newCount) {
        return new Recurrence(
                frequency,
                interval,
                newCount,
                untilMillis,
                weekStart,
                months,
                weekNumbers,
                yearDays,
                monthDays,
                weekdays,
                hours,
                minutes,
                seconds,
                positions,
                line);
    }

    public Recurrence withWeekdays(List<NthWeekday> newWeekdays) {
        return new Recurrence(
                frequency,
                interval,
                count,
                untilMillis,
                weekStart,
                months,
                weekNumbers,
                yearDays,
                monthDays,
                newWeekdays,
                hours,
                minutes,
                seconds,
                positions,
                line);
    }

    /** Returns the start, in local time, of the period that contains the first instance. */
    LocalDateTime firstPeriodStart(LocalDateTime first) {
        LocalDateTime midnight = first.toLocalDate().atStartOfDay();
        return switch (frequency) {
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

    LocalDateTime periodStart(LocalDateTime firstPeriod, long index) {
        long offset = index * interval;
        return switch (frequency) {
            case SECOND -> firstPeriod.plusSeconds(offset);
            case MINUTE -> firstPeriod.plusMinutes(offset);
            case HOUR -> firstPeriod.plusHours(offset);
            case DAY -> firstPeriod.plusDays(offset);
            case WEEK -> firstPeriod.plusWeeks(offset);
            case MONTH -> firstPeriod.plusMonths(offset);
            case YEAR -> firstPeriod.plusYears(offset);
        };
    }

    /**
     * Returns a number of whole periods that is not greater than the number between the two times,
     * so that expansion can skip them.
     */
    long periodsBetween(LocalDateTime firstPeriod, LocalDateTime time) {
        if (!time.isAfter(firstPeriod)) {
            return 0;
        }
        java.time.temporal.ChronoUnit unit =
                switch (frequency) {
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
