package postgrade.calendar.oracle;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.List;
import postgrade.calendar.oracle.GeneratedCase.Freq;
import postgrade.calendar.oracle.GeneratedCase.Rule;

/** Decides whether a rule matches a day, checking each part by counting days. */
final class DayMatcher {

    private DayMatcher() {}

    static boolean matches(Rule rule, LocalDateTime first, LocalDate day, Mutation mutation) {
        boolean dayUnspecified =
                rule.weekNo.isEmpty()
                        && rule.yearDay.isEmpty()
                        && rule.monthDay.isEmpty()
                        && rule.day.isEmpty();
        boolean yearly = rule.freq == Freq.YEARLY;
        if (dayUnspecified && yearly && rule.month.isEmpty() && !sameMonth(first, day, mutation)) {
            return false;
        }
        if (dayUnspecified
                && (yearly || rule.freq == Freq.MONTHLY)
                && !sameDay(first, day, yearly, mutation)) {
            return false;
        }
        boolean weekday =
                dayUnspecified && rule.freq == Freq.WEEKLY
                        || !rule.weekNo.isEmpty()
                                && rule.day.isEmpty()
                                && rule.yearDay.isEmpty()
                                && rule.monthDay.isEmpty();
        if (weekday && day.getDayOfWeek() != first.getDayOfWeek()) {
            return false;
        }
        return (rule.month.isEmpty() || rule.month.contains(day.getMonthValue()))
                && matchesFromEitherEnd(
                        rule.monthDay,
                        day.getDayOfMonth(),
                        -daysTo(day, day.plusMonths(1).withDayOfMonth(1)))
                && matchesFromEitherEnd(
                        rule.yearDay,
                        daysTo(LocalDate.of(day.getYear(), 1, 1), day) + 1,
                        -daysTo(day, LocalDate.of(day.getYear() + 1, 1, 1)))
                && matchesWeek(rule, day, mutation)
                && matchesWeekday(rule, day);
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

    private static boolean matchesFromEitherEnd(List<Integer> given, int value, int fromEnd) {
        return given.isEmpty() || given.contains(value) || given.contains(fromEnd);
    }

    private static long weekStart(Rule rule, LocalDate day, Mutation mutation) {
        int start = mutation == Mutation.WEEKS_FROM_SUNDAY ? 7 : rule.weekStart.getValue();
        long at = day.toEpochDay();
        while (LocalDate.ofEpochDay(at).getDayOfWeek().getValue() != start) {
            at--;
        }
        return at;
    }

    /** A week belongs to the year that contains its fourth day. */
    private static boolean matchesWeek(Rule rule, LocalDate day, Mutation mutation) {
        if (rule.weekNo.isEmpty()) {
            return true;
        }
        LocalDate fourth = LocalDate.ofEpochDay(weekStart(rule, day, mutation) + 3);
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
        return matchesFromEitherEnd(rule.weekNo, number, fromEnd);
    }

    private static boolean matchesWeekday(Rule rule, LocalDate day) {
        if (rule.day.isEmpty()) {
            return true;
        }
        boolean ofYear = rule.freq == Freq.YEARLY && rule.month.isEmpty();
        for (int[] d : rule.day) {
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

    static long periodNumber(Rule rule, LocalDateTime time, Mutation mutation) {
        return switch (rule.freq) {
            case YEARLY -> time.getYear();
            case MONTHLY -> time.getYear() * 12L + time.getMonthValue();
            case WEEKLY ->
                    Math.floorDiv(
                            weekStart(rule, time.toLocalDate(), mutation)
                                    - (rule.weekStart.getValue() - 4),
                            7L);
            case DAILY -> time.toLocalDate().toEpochDay();
            case HOURLY -> Math.floorDiv(time.toEpochSecond(ZoneOffset.UTC), 3600L);
            case MINUTELY -> Math.floorDiv(time.toEpochSecond(ZoneOffset.UTC), 60L);
            case SECONDLY -> time.toEpochSecond(ZoneOffset.UTC);
        };
    }
}
