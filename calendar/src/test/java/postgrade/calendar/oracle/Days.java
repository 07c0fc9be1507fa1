package postgrade.calendar.oracle;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.List;
import postgrade.calendar.oracle.Made.Freq;
import postgrade.calendar.oracle.Made.Rule;

/** Whether a rule names a day, each part asked by counting days. */
final class Days {

    private Days() {}

    static boolean named(Rule r, LocalDateTime first, LocalDate day, Mutation mutation) {
        boolean open =
                r.weekNo.isEmpty()
                        && r.yearDay.isEmpty()
                        && r.monthDay.isEmpty()
                        && r.day.isEmpty();
        boolean yearly = r.freq == Freq.YEARLY;
        if (open && yearly && r.month.isEmpty() && !sameMonth(first, day, mutation)) {
            return false;
        }
        if (open && (yearly || r.freq == Freq.MONTHLY) && !sameDay(first, day, yearly, mutation)) {
            return false;
        }
        boolean weekday =
                open && r.freq == Freq.WEEKLY
                        || !r.weekNo.isEmpty()
                                && r.day.isEmpty()
                                && r.yearDay.isEmpty()
                                && r.monthDay.isEmpty();
        if (weekday && day.getDayOfWeek() != first.getDayOfWeek()) {
            return false;
        }
        return (r.month.isEmpty() || r.month.contains(day.getMonthValue()))
                && either(
                        r.monthDay,
                        day.getDayOfMonth(),
                        -daysTo(day, day.plusMonths(1).withDayOfMonth(1)))
                && either(
                        r.yearDay,
                        daysTo(LocalDate.of(day.getYear(), 1, 1), day) + 1,
                        -daysTo(day, LocalDate.of(day.getYear() + 1, 1, 1)))
                && week(r, day, mutation)
                && weekday(r, day);
    }

    private static boolean leapDay(LocalDateTime first, Mutation mutation) {
        return mutation == Mutation.LEAP_DAY_AS_MARCH
                && first.getMonthValue() == 2
                && first.getDayOfMonth() == 29;
    }

    private static boolean sameMonth(LocalDateTime first, LocalDate day, Mutation mutation) {
        return day.getMonthValue()
                == (leapDay(first, mutation) && !day.isLeapYear() ? 3 : first.getMonthValue());
    }

    private static boolean sameDay(
            LocalDateTime first, LocalDate day, boolean yearly, Mutation mutation) {
        return day.getDayOfMonth()
                == (yearly && leapDay(first, mutation) && !day.isLeapYear()
                        ? 1
                        : first.getDayOfMonth());
    }

    private static int daysTo(LocalDate from, LocalDate to) {
        return (int) (to.toEpochDay() - from.toEpochDay());
    }

    private static boolean either(List<Integer> given, int value, int fromEnd) {
        return given.isEmpty() || given.contains(value) || given.contains(fromEnd);
    }

    private static long weekStart(Rule r, LocalDate day, Mutation mutation) {
        int start = mutation == Mutation.WEEKS_FROM_SUNDAY ? 7 : r.weekStart.getValue();
        long at = day.toEpochDay();
        while (LocalDate.ofEpochDay(at).getDayOfWeek().getValue() != start) {
            at--;
        }
        return at;
    }

    /** A week is of the year that its fourth day lies in. */
    private static boolean week(Rule r, LocalDate day, Mutation mutation) {
        if (r.weekNo.isEmpty()) {
            return true;
        }
        LocalDate fourth = LocalDate.ofEpochDay(weekStart(r, day, mutation) + 3);
        int number = 1;
        for (LocalDate d = fourth.minusDays(7);
                d.getYear() == fourth.getYear();
                d = d.minusDays(7)) {
            number++;
        }
        int fromEnd = -1;
        for (LocalDate d = fourth.plusDays(7); d.getYear() == fourth.getYear(); d = d.plusDays(7)) {
            fromEnd--;
        }
        return either(r.weekNo, number, fromEnd);
    }

    private static boolean weekday(Rule r, LocalDate day) {
        if (r.day.isEmpty()) {
            return true;
        }
        boolean ofYear = r.freq == Freq.YEARLY && r.month.isEmpty();
        for (int[] d : r.day) {
            if (d[1] == day.getDayOfWeek().getValue()) {
                int step = d[0] > 0 ? -7 : 7;
                int nth = 1;
                for (LocalDate other = day.plusDays(step);
                        other.getYear() == day.getYear()
                                && (ofYear || other.getMonthValue() == day.getMonthValue());
                        other = other.plusDays(step)) {
                    nth++;
                }
                if (d[0] == 0 || nth == Math.abs(d[0])) {
                    return true;
                }
            }
        }
        return false;
    }

    static long period(Rule r, LocalDateTime t, Mutation mutation) {
        return switch (r.freq) {
            case YEARLY -> t.getYear();
            case MONTHLY -> t.getYear() * 12L + t.getMonthValue();
            case WEEKLY ->
                    Math.floorDiv(
                            weekStart(r, t.toLocalDate(), mutation) - (r.weekStart.getValue() - 4),
                            7L);
            case DAILY -> t.toLocalDate().toEpochDay();
            case HOURLY -> Math.floorDiv(t.toEpochSecond(ZoneOffset.UTC), 3600L);
            case MINUTELY -> Math.floorDiv(t.toEpochSecond(ZoneOffset.UTC), 60L);
            case SECONDLY -> t.toEpochSecond(ZoneOffset.UTC);
        };
    }
}
