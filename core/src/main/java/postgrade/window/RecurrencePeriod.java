package postgrade.window;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.temporal.WeekFields;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import postgrade.window.Recurrence.Frequency;
import postgrade.window.Recurrence.NthWeekday;

/**
 * Computes, in order, the local times that a rule matches in one of its periods. Parts that the
 * rule does not specify are taken from the first instance.
 */
final class RecurrencePeriod {

    private final Recurrence rule;
    private final WeekFields weekFields;
    private final int[] months;
    private final int[] monthDays;
    private final List<NthWeekday> weekdays;
    private final List<LocalTime> timesOfDay;

    RecurrencePeriod(Recurrence rule, LocalDateTime first) {
        this.rule = rule;
        weekFields = WeekFields.of(rule.weekStart(), 4);
        boolean dayUnspecified =
                rule.weekNumbers().length == 0
                        && rule.yearDays().length == 0
                        && rule.monthDays().length == 0
                        && rule.weekdays().isEmpty();
        boolean yearly = rule.frequency() == Frequency.YEAR;
        months =
                dayUnspecified && yearly && rule.months().length == 0
                        ? new int[] {first.getMonthValue()}
                        : rule.months();
        monthDays =
                dayUnspecified && (yearly || rule.frequency() == Frequency.MONTH)
                        ? new int[] {first.getDayOfMonth()}
                        : rule.monthDays();
        boolean weekdayUnspecified =
                dayUnspecified && rule.frequency() == Frequency.WEEK
                        || rule.weekNumbers().length > 0
                                && rule.weekdays().isEmpty()
                                && rule.yearDays().length == 0
                                && rule.monthDays().length == 0;
        weekdays =
                weekdayUnspecified
                        ? List.of(new NthWeekday(0, first.getDayOfWeek()))
                        : rule.weekdays();
        timesOfDay = rule.frequency().compareTo(Frequency.DAY) >= 0 ? timesOfDay(first) : List.of();
    }

    private List<LocalTime> timesOfDay(LocalDateTime first) {
        TreeSet<LocalTime> result = new TreeSet<>();
        for (int hour : orDefault(rule.hours(), first.getHour())) {
            for (int minute : orDefault(rule.minutes(), first.getMinute())) {
                for (int second : orDefault(rule.seconds(), first.getSecond())) {
                    result.add(LocalTime.of(hour, minute, second));
                }
            }
        }
        return List.copyOf(result);
    }

    private static int[] orDefault(int[] values, int defaultValue) {
        return values.length > 0 ? values : new int[] {defaultValue};
    }

    /**
     * Returns the matching local times of the period that starts at {@code periodStart}.
     *
     * @param first supplies minutes and seconds in hourly and minutely rules
     */
    List<LocalDateTime> times(
            LocalDateTime periodStart, LocalDateTime first, ExpansionBudget budget) {
        List<LocalDateTime> result = new ArrayList<>();
        switch (rule.frequency()) {
            case YEAR -> addTimesOfDays(periodStart, periodStart.plusYears(1), budget, result);
            case MONTH -> addTimesOfDays(periodStart, periodStart.plusMonths(1), budget, result);
            case WEEK -> addTimesOfDays(periodStart, periodStart.plusWeeks(1), budget, result);
            case DAY -> addTimesOfDays(periodStart, periodStart.plusDays(1), budget, result);
            default -> addSubDailyTimes(periodStart, first, budget, result);
        }
        return rule.positions().length == 0 ? result : selectPositions(result);
    }

    private void addTimesOfDays(
            LocalDateTime periodStart,
            LocalDateTime periodEnd,
            ExpansionBudget budget,
            List<LocalDateTime> result) {
        LocalDate last = periodEnd.toLocalDate();
        for (LocalDate day = periodStart.toLocalDate(); day.isBefore(last); day = day.plusDays(1)) {
            budget.spend(1);
            if (!matchesAny(months, day.getMonthValue())) {
                // Skips the rest of a month that the rule does not match instead of checking each
                // of its days.
                day = day.withDayOfMonth(day.lengthOfMonth());
            } else if (matches(day)) {
                budget.spend(timesOfDay.size());
                for (LocalTime time : timesOfDay) {
                    result.add(day.atTime(time));
                }
            }
        }
    }

    private void addSubDailyTimes(
            LocalDateTime periodStart,
            LocalDateTime first,
            ExpansionBudget budget,
            List<LocalDateTime> result) {
        budget.spend(1);
        if (!matches(periodStart.toLocalDate())
                || !matchesAny(rule.hours(), periodStart.getHour())) {
            return;
        }
        if (rule.frequency() == Frequency.HOUR) {
            TreeSet<LocalDateTime> sorted = new TreeSet<>();
            for (int minute : orDefault(rule.minutes(), first.getMinute())) {
                for (int second : orDefault(rule.seconds(), first.getSecond())) {
                    sorted.add(periodStart.withMinute(minute).withSecond(second));
                }
            }
            budget.spend(sorted.size());
            result.addAll(sorted);
        } else if (matchesAny(rule.minutes(), periodStart.getMinute())) {
            if (rule.frequency() == Frequency.SECOND) {
                if (matchesAny(rule.seconds(), periodStart.getSecond())) {
                    result.add(periodStart);
                }
                return;
            }
            TreeSet<LocalDateTime> sorted = new TreeSet<>();
            for (int second : orDefault(rule.seconds(), first.getSecond())) {
                sorted.add(periodStart.withSecond(second));
            }
            result.addAll(sorted);
        }
    }

    private boolean matches(LocalDate day) {
        return matchesAny(months, day.getMonthValue())
                && matchesFromEitherEnd(monthDays, day.getDayOfMonth(), day.lengthOfMonth())
                && matchesFromEitherEnd(rule.yearDays(), day.getDayOfYear(), day.lengthOfYear())
                && (rule.weekNumbers().length == 0
                        || matchesFromEitherEnd(
                                rule.weekNumbers(),
                                day.get(weekFields.weekOfWeekBasedYear()),
                                (int) day.range(weekFields.weekOfWeekBasedYear()).getMaximum()))
                && (weekdays.isEmpty() || matchesWeekday(day));
    }

    private boolean matchesWeekday(LocalDate date) {
        DayOfWeek weekday = date.getDayOfWeek();
        boolean ofYear = rule.frequency() == Frequency.YEAR && rule.months().length == 0;
        int position = ofYear ? date.getDayOfYear() : date.getDayOfMonth();
        int length = ofYear ? date.lengthOfYear() : date.lengthOfMonth();
        for (NthWeekday candidate : weekdays) {
            if (candidate.weekday() == weekday
                    && (candidate.nth() == 0
                            || candidate.nth() == (position - 1) / 7 + 1
                            || candidate.nth() == -((length - position) / 7 + 1))) {
                return true;
            }
        }
        return false;
    }

    private List<LocalDateTime> selectPositions(List<LocalDateTime> times) {
        TreeSet<LocalDateTime> selected = new TreeSet<>();
        for (int position : rule.positions()) {
            int index = position > 0 ? position - 1 : times.size() + position;
            if (index >= 0 && index < times.size()) {
                selected.add(times.get(index));
            }
        }
        return List.copyOf(selected);
    }

    private static boolean matchesAny(int[] allowed, int value) {
        if (allowed.length == 0) {
            return true;
        }
        for (int g : allowed) {
            if (g == value) {
                return true;
            }
        }
        return false;
    }

    private static boolean matchesFromEitherEnd(int[] allowed, int value, int length) {
        return matchesAny(allowed, value) || matchesAny(allowed, value - length - 1);
    }
}
