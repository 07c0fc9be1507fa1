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
import postgrade.calendar.Values.Time;
import postgrade.window.Recurrence;
import postgrade.window.Recurrence.Day;
import postgrade.window.Recurrence.Every;

/**
 * A rule of recurrence: the library reads its parts, here they are held against each other. What
 * RFC 5545 forbids together is turned down, since what such a rule means is anyone's guess.
 */
final class RuleReader {

    private static final int MOST_INTERVAL = 100_000;

    private final Property p;
    private final Set<String> names = new HashSet<>();

    private RuleReader(Property p) {
        this.p = p;
    }

    static Recurrence read(Property p, Time first, Values values) {
        return new RuleReader(p).read(first, values);
    }

    private Recurrence read(Time first, Values values) {
        String until = null;
        for (String part : p.value().split(";", -1)) {
            int equals = part.indexOf('=');
            if (equals < 1 || equals == part.length() - 1) {
                throw p.faulty("has a part without a name or value: '" + part + "'");
            }
            String name = part.substring(0, equals);
            if (!names.add(name)) {
                throw p.faulty("has " + name + " twice");
            }
            if (name.equals("UNTIL")) {
                until = part.substring(equals + 1);
            } else if (name.equals("INTERVAL") || name.equals("COUNT")) {
                positive(name, part.substring(equals + 1));
            } else if (name.equals("RSCALE") || name.equals("SKIP")) {
                throw p.faulty("has " + name + ", which is not supported");
            }
        }
        if (until != null && names.contains("COUNT")) {
            throw p.faulty("has both COUNT and UNTIL");
        }
        Recur<?> recur;
        try {
            recur = new Recur<>(p.value());
        } catch (IllegalArgumentException | DateTimeException e) {
            throw p.faulty(
                    "is no rule: "
                            + String.valueOf(e.getMessage())
                                    .replaceAll("Optional\\[(.*)]", "$1")
                                    .replaceAll("No enum constant [\\w.]*\\.", "not known: "));
        }
        Recurrence rule =
                new Recurrence(
                        every(recur),
                        Math.max(1, recur.getInterval()),
                        Math.max(0, recur.getCount()),
                        until == null ? Long.MAX_VALUE : until(until, first, values),
                        recur.getWeekStartDay() == null
                                ? DayOfWeek.MONDAY
                                : WeekDay.getDayOfWeek(recur.getWeekStartDay()),
                        recur.getMonthList().stream().mapToInt(this::month).distinct().toArray(),
                        figures(recur.getWeekNoList()),
                        figures(recur.getYearDayList()),
                        figures(recur.getMonthDayList()),
                        days(recur),
                        figures(recur.getHourList()),
                        figures(recur.getMinuteList()),
                        figures(recur.getSecondList()),
                        figures(recur.getSetPosList()),
                        p.line());
        together(rule, first);
        return rule;
    }

    private void positive(String name, String value) {
        if (!value.matches("[0-9]{1,9}") || Integer.parseInt(value) == 0) {
            throw p.faulty("has " + name + " that is no whole number above 0: " + value);
        }
        if (name.equals("INTERVAL") && Integer.parseInt(value) > MOST_INTERVAL) {
            throw p.faulty("has INTERVAL above " + MOST_INTERVAL);
        }
    }

    private static Every every(Recur<?> recur) {
        return switch (recur.getFrequency()) {
            case SECONDLY -> Every.SECOND;
            case MINUTELY -> Every.MINUTE;
            case HOURLY -> Every.HOUR;
            case DAILY -> Every.DAY;
            case WEEKLY -> Every.WEEK;
            case MONTHLY -> Every.MONTH;
            case YEARLY -> Every.YEAR;
        };
    }

    private int month(Month month) {
        if (month.isLeapMonth()) {
            throw p.faulty("has a leap month, which is not supported");
        }
        return month.getMonthOfYear();
    }

    private static int[] figures(List<Integer> given) {
        // Each once: lists are multiplied with each other.
        return given.stream().mapToInt(Integer::intValue).distinct().sorted().toArray();
    }

    private List<Day> days(Recur<?> recur) {
        Set<Day> days = new LinkedHashSet<>();
        for (WeekDay d : recur.getDayList()) {
            if (Math.abs(d.getOffset()) > 53) {
                throw p.faulty("has BYDAY beyond the 53rd of a year: " + d);
            }
            days.add(new Day(d.getOffset(), WeekDay.getDayOfWeek(d)));
        }
        return List.copyOf(days);
    }

    private long until(String text, Time first, Values values) {
        refuse(
                first.allDay() && text.contains("T"),
                "has UNTIL that is a time though DTSTART is a date");
        refuse(
                !first.allDay() && !text.contains("T"),
                "has UNTIL that is a date though DTSTART is a time");
        Time until = values.time(p.with(text), first.allDay());
        if (!first.allDay() && until.utc() == first.floating()) {
            throw p.faulty(
                    first.floating()
                            ? "has UNTIL in UTC though DTSTART is floating"
                            : "has UNTIL that is not in UTC though DTSTART is fixed in time");
        }
        return until.when().millis();
    }

    private void together(Recurrence r, Time first) {
        Every every = r.every();
        boolean byDay = r.days().stream().anyMatch(d -> d.nth() != 0);
        refuse(
                byDay && every != Every.MONTH && every != Every.YEAR,
                "numbers its BYDAY outside months and years");
        refuse(byDay && r.weeks().length > 0, "numbers its BYDAY together with BYWEEKNO");
        refuse(r.weeks().length > 0 && every != Every.YEAR, "has BYWEEKNO outside FREQ=YEARLY");
        refuse(
                r.yearDays().length > 0
                        && (every == Every.DAY || every == Every.WEEK || every == Every.MONTH),
                "has BYYEARDAY with FREQ=DAILY, WEEKLY or MONTHLY");
        refuse(r.monthDays().length > 0 && every == Every.WEEK, "has BYMONTHDAY with FREQ=WEEKLY");
        refuse(
                first.allDay()
                        && (every.compareTo(Every.DAY) < 0
                                || r.hours().length + r.minutes().length + r.seconds().length > 0),
                "names times of day though DTSTART is a date");
        refuse(
                r.positions().length > 0
                        && r.months().length
                                        + r.weeks().length
                                        + r.yearDays().length
                                        + r.monthDays().length
                                        + r.days().size()
                                        + r.hours().length
                                        + r.minutes().length
                                        + r.seconds().length
                                == 0,
                "has BYSETPOS alone");
    }

    private void refuse(boolean faulty, String what) {
        if (faulty) {
            throw p.faulty(what);
        }
    }
}
