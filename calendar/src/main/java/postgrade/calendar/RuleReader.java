package postgrade.calendar;

import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import net.fortuna.ical4j.model.Month;
import net.fortuna.ical4j.model.Recur;
import net.fortuna.ical4j.model.WeekDay;
import postgrade.calendar.Component.Property;
import postgrade.calendar.ValueReader.Time;
import postgrade.window.Recurrence;
import postgrade.window.Recurrence.Frequency;
import postgrade.window.Recurrence.NthWeekday;

/**
 * Reads a recurrence rule: the library parses its parts, this class checks them against each other.
 * Combinations that RFC 5545 forbids are rejected, since the meaning of such a rule is undefined.
 */
final class RuleReader {

    private static final int MAX_INTERVAL = 100_000;

    private final Property property;
    private final Set<String> partNames = new HashSet<>();

    private RuleReader(Property property) {
        this.property = property;
    }

    static Recurrence read(Property property, Time first, ValueReader values) {
        return new RuleReader(property).read(first, values);
    }

    private Recurrence read(Time first, ValueReader values) {
        String until = null;
        for (String part : property.value().split(";", -1)) {
            int equals = part.indexOf('=');
            if (equals < 1 || equals == part.length() - 1) {
                throw property.invalid("has a part without a name or value: '" + part + "'");
            }
            String name = part.substring(0, equals);
            if (!partNames.add(name)) {
                throw property.invalid("has " + name + " twice");
            }
            if (name.equals("UNTIL")) {
                until = part.substring(equals + 1);
            } else if (name.equals("INTERVAL") || name.equals("COUNT")) {
                checkPositive(name, part.substring(equals + 1));
            } else if (name.equals("RSCALE") || name.equals("SKIP")) {
                throw property.invalid("has " + name + ", which is not supported");
            }
        }
        if (until != null && partNames.contains("COUNT")) {
            throw property.invalid("has both COUNT and UNTIL");
        }
        Recur<?> recur;
        try {
            recur = new Recur<>(property.value());
        } catch (IllegalArgumentException | DateTimeException e) {
            throw property.invalid(
                    "is no rule: "
                            + String.valueOf(e.getMessage())
                                    .replaceAll("Optional\\[(.*)]", "$1")
                                    .replaceAll("No enum constant [\\w.]*\\.", "not known: "));
        }
        Recurrence rule =
                new Recurrence(
                        frequency(recur),
                        Math.max(1, recur.getInterval()),
                        Math.max(0, recur.getCount()),
                        until == null ? Long.MAX_VALUE : until(until, first, values),
                        recur.getWeekStartDay() == null
                                ? DayOfWeek.MONDAY
                                : WeekDay.getDayOfWeek(recur.getWeekStartDay()),
                        recur.getMonthList().stream().mapToInt(this::month).distinct().toArray(),
                        sortedDistinct(recur.getWeekNoList()),
                        sortedDistinct(recur.getYearDayList()),
                        sortedDistinct(recur.getMonthDayList()),
                        weekdays(recur),
                        sortedDistinct(recur.getHourList()),
                        sortedDistinct(recur.getMinuteList()),
                        sortedDistinct(recur.getSecondList()),
                        sortedDistinct(recur.getSetPosList()),
                        property.line());
        checkCombination(rule, first);
        return rule;
    }

    private void checkPositive(String name, String value) {
        if (!value.matches("[0-9]{1,9}") || Integer.parseInt(value) == 0) {
            throw property.invalid("has " + name + " that is no whole number above 0: " + value);
        }
        if (name.equals("INTERVAL") && Integer.parseInt(value) > MAX_INTERVAL) {
            throw property.invalid("has INTERVAL above " + MAX_INTERVAL);
        }
    }

    private static Frequency frequency(Recur<?> recur) {
        return switch (recur.getFrequency()) {
            case SECONDLY -> Frequency.SECOND;
            case MINUTELY -> Frequency.MINUTE;
            case HOURLY -> Frequency.HOUR;
            case DAILY -> Frequency.DAY;
            case WEEKLY -> Frequency.WEEK;
            case MONTHLY -> Frequency.MONTH;
            case YEARLY -> Frequency.YEAR;
        };
    }

    private int month(Month month) {
        if (month.isLeapMonth()) {
            throw property.invalid("has a leap month, which is not supported");
        }
        return month.getMonthOfYear();
    }

    private static int[] sortedDistinct(List<Integer> values) {
        // Duplicates are removed, because the expansion multiplies the lists with each other.
        return values.stream().mapToInt(Integer::intValue).distinct().sorted().toArray();
    }

    private List<NthWeekday> weekdays(Recur<?> recur) {
        Set<NthWeekday> weekdays = new LinkedHashSet<>();
        for (WeekDay weekday : recur.getDayList()) {
            if (Math.abs(weekday.getOffset()) > 53) {
                throw property.invalid("has BYDAY beyond the 53rd of a year: " + weekday);
            }
            weekdays.add(new NthWeekday(weekday.getOffset(), WeekDay.getDayOfWeek(weekday)));
        }
        return List.copyOf(weekdays);
    }

    private long until(String text, Time first, ValueReader values) {
        rejectIf(
                first.allDay() && text.contains("T"),
                "has UNTIL that is a time though DTSTART is a date");
        rejectIf(
                !first.allDay() && !text.contains("T"),
                "has UNTIL that is a date though DTSTART is a time");
        Time until = values.time(property.withValue(text), first.allDay());
        if (!first.allDay() && until.utc() == first.floating()) {
            throw property.invalid(
                    first.floating()
                            ? "has UNTIL in UTC though DTSTART is floating"
                            : "has UNTIL that is not in UTC though DTSTART is fixed in time");
        }
        return until.zonedTime().toEpochMillis();
    }

    private void checkCombination(Recurrence rule, Time first) {
        Frequency frequency = rule.frequency();
        boolean numberedWeekdays = rule.weekdays().stream().anyMatch(d -> d.nth() != 0);
        rejectIf(
                numberedWeekdays && frequency != Frequency.MONTH && frequency != Frequency.YEAR,
                "numbers its BYDAY outside months and years");
        rejectIf(
                numberedWeekdays && rule.weekNumbers().length > 0,
                "numbers its BYDAY together with BYWEEKNO");
        rejectIf(
                rule.weekNumbers().length > 0 && frequency != Frequency.YEAR,
                "has BYWEEKNO outside FREQ=YEARLY");
        rejectIf(
                rule.yearDays().length > 0
                        && (frequency == Frequency.DAY
                                || frequency == Frequency.WEEK
                                || frequency == Frequency.MONTH),
                "has BYYEARDAY with FREQ=DAILY, WEEKLY or MONTHLY");
        rejectIf(
                rule.monthDays().length > 0 && frequency == Frequency.WEEK,
                "has BYMONTHDAY with FREQ=WEEKLY");
        rejectIf(
                first.allDay()
                        && (frequency.compareTo(Frequency.DAY) < 0
                                || rule.hours().length
                                                + rule.minutes().length
                                                + rule.seconds().length
                                        > 0),
                "names times of day though DTSTART is a date");
        rejectIf(
                rule.positions().length > 0
                        && rule.months().length
                                        + rule.weekNumbers().length
                                        + rule.yearDays().length
                                        + rule.monthDays().length
                                        + rule.weekdays().size()
                                        + rule.hours().length
                                        + rule.minutes().length
                                        + rule.seconds().length
                                == 0,
                "has BYSETPOS alone");
    }

    private void rejectIf(boolean invalid, String message) {
        if (invalid) {
            throw property.invalid(message);
        }
    }
}
