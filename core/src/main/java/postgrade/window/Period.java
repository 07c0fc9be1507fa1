package postgrade.window;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.temporal.WeekFields;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import postgrade.window.Recurrence.Day;
import postgrade.window.Recurrence.Every;

/**
 * One period of a rule: the local times it names there, in order. What the rule leaves open is
 * taken from the first.
 */
final class Period {

    private final Recurrence rule;
    private final WeekFields weekFields;
    private final int[] months;
    private final int[] monthDays;
    private final List<Day> days;
    private final List<LocalTime> times;

    Period(Recurrence rule, LocalDateTime first) {
        this.rule = rule;
        weekFields = WeekFields.of(rule.weekStart(), 4);
        boolean dayLeftOpen =
                rule.weeks().length == 0
                        && rule.yearDays().length == 0
                        && rule.monthDays().length == 0
                        && rule.days().isEmpty();
        boolean yearly = rule.every() == Every.YEAR;
        months =
                dayLeftOpen && yearly && rule.months().length == 0
                        ? new int[] {first.getMonthValue()}
                        : rule.months();
        monthDays =
                dayLeftOpen && (yearly || rule.every() == Every.MONTH)
                        ? new int[] {first.getDayOfMonth()}
                        : rule.monthDays();
        boolean weekdayLeftOpen =
                dayLeftOpen && rule.every() == Every.WEEK
                        || rule.weeks().length > 0
                                && rule.days().isEmpty()
                                && rule.yearDays().length == 0
                                && rule.monthDays().length == 0;
        days = weekdayLeftOpen ? List.of(new Day(0, first.getDayOfWeek())) : rule.days();
        times = rule.every().compareTo(Every.DAY) >= 0 ? timesOfDay(first) : List.of();
    }

    private List<LocalTime> timesOfDay(LocalDateTime first) {
        TreeSet<LocalTime> all = new TreeSet<>();
        for (int hour : or(rule.hours(), first.getHour())) {
            for (int minute : or(rule.minutes(), first.getMinute())) {
                for (int second : or(rule.seconds(), first.getSecond())) {
                    all.add(LocalTime.of(hour, minute, second));
                }
            }
        }
        return List.copyOf(all);
    }

    private static int[] or(int[] given, int otherwise) {
        return given.length > 0 ? given : new int[] {otherwise};
    }

    /**
     * @param first where minutes and seconds come from in rules by the hour or minute
     */
    List<LocalDateTime> times(LocalDateTime begin, LocalDateTime first, Steps steps) {
        List<LocalDateTime> all = new ArrayList<>();
        switch (rule.every()) {
            case YEAR -> days(begin, begin.plusYears(1), steps, all);
            case MONTH -> days(begin, begin.plusMonths(1), steps, all);
            case WEEK -> days(begin, begin.plusWeeks(1), steps, all);
            case DAY -> days(begin, begin.plusDays(1), steps, all);
            default -> within(begin, first, steps, all);
        }
        return rule.positions().length == 0 ? all : positions(all);
    }

    private void days(
            LocalDateTime begin, LocalDateTime end, Steps steps, List<LocalDateTime> all) {
        LocalDate last = end.toLocalDate();
        for (LocalDate day = begin.toLocalDate(); day.isBefore(last); day = day.plusDays(1)) {
            steps.take(1);
            if (!any(months, day.getMonthValue())) {
                // A rule for one month of the year is not asked for each day of the others.
                day = day.withDayOfMonth(day.lengthOfMonth());
            } else if (named(day)) {
                steps.take(times.size());
                for (LocalTime time : times) {
                    all.add(day.atTime(time));
                }
            }
        }
    }

    private void within(
            LocalDateTime begin, LocalDateTime first, Steps steps, List<LocalDateTime> all) {
        steps.take(1);
        if (!named(begin.toLocalDate()) || !any(rule.hours(), begin.getHour())) {
            return;
        }
        if (rule.every() == Every.HOUR) {
            TreeSet<LocalDateTime> sorted = new TreeSet<>();
            for (int minute : or(rule.minutes(), first.getMinute())) {
                for (int second : or(rule.seconds(), first.getSecond())) {
                    sorted.add(begin.withMinute(minute).withSecond(second));
                }
            }
            steps.take(sorted.size());
            all.addAll(sorted);
        } else if (any(rule.minutes(), begin.getMinute())) {
            if (rule.every() == Every.SECOND) {
                if (any(rule.seconds(), begin.getSecond())) {
                    all.add(begin);
                }
                return;
            }
            TreeSet<LocalDateTime> sorted = new TreeSet<>();
            for (int second : or(rule.seconds(), first.getSecond())) {
                sorted.add(begin.withSecond(second));
            }
            all.addAll(sorted);
        }
    }

    private boolean named(LocalDate day) {
        return any(months, day.getMonthValue())
                && anyFromEnd(monthDays, day.getDayOfMonth(), day.lengthOfMonth())
                && anyFromEnd(rule.yearDays(), day.getDayOfYear(), day.lengthOfYear())
                && (rule.weeks().length == 0
                        || anyFromEnd(
                                rule.weeks(),
                                day.get(weekFields.weekOfWeekBasedYear()),
                                (int) day.range(weekFields.weekOfWeekBasedYear()).getMaximum()))
                && (days.isEmpty() || namedDay(day));
    }

    private boolean namedDay(LocalDate date) {
        DayOfWeek weekday = date.getDayOfWeek();
        boolean ofYear = rule.every() == Every.YEAR && rule.months().length == 0;
        int position = ofYear ? date.getDayOfYear() : date.getDayOfMonth();
        int length = ofYear ? date.lengthOfYear() : date.lengthOfMonth();
        for (Day d : days) {
            if (d.day() == weekday
                    && (d.nth() == 0
                            || d.nth() == (position - 1) / 7 + 1
                            || d.nth() == -((length - position) / 7 + 1))) {
                return true;
            }
        }
        return false;
    }

    private List<LocalDateTime> positions(List<LocalDateTime> all) {
        TreeSet<LocalDateTime> chosen = new TreeSet<>();
        for (int position : rule.positions()) {
            int at = position > 0 ? position - 1 : all.size() + position;
            if (at >= 0 && at < all.size()) {
                chosen.add(all.get(at));
            }
        }
        return List.copyOf(chosen);
    }

    private static boolean any(int[] given, int value) {
        if (given.length == 0) {
            return true;
        }
        for (int g : given) {
            if (g == value) {
                return true;
            }
        }
        return false;
    }

    private static boolean anyFromEnd(int[] given, int value, int length) {
        return any(given, value) || any(given, value - length - 1);
    }
}
