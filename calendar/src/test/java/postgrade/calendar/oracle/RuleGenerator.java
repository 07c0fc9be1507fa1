package postgrade.calendar.oracle;

import java.time.DayOfWeek;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.List;
import java.util.SplittableRandom;
import postgrade.calendar.oracle.GeneratedCase.Freq;
import postgrade.calendar.oracle.GeneratedCase.LocalStamp;
import postgrade.calendar.oracle.GeneratedCase.Rule;

/** Generates rules that RFC 5545 allows. */
final class RuleGenerator {

    private final SplittableRandom random;
    private final LocalStamp start;
    private final Rule rule = new Rule();

    RuleGenerator(SplittableRandom random, LocalStamp start, Freq freq) {
        this.random = random;
        this.start = start;
        rule.freq = freq;
    }

    private int between(int min, int max) {
        return random.nextInt(min, max + 1);
    }

    private boolean oneIn(int odds) {
        return random.nextInt(odds) == 0;
    }

    private void addRandom(List<Integer> values, int min, int max, boolean fromEnd) {
        for (int i = between(1, 3); i > 0; i--) {
            int value = between(min, max);
            values.add(fromEnd && oneIn(3) ? -value : value);
        }
    }

    Rule generate() {
        rule.weekStart = oneIn(2) ? DayOfWeek.MONDAY : DayOfWeek.of(between(1, 7));
        rule.interval =
                switch (rule.freq) {
                    case SECONDLY -> between(900, 9000);
                    case MINUTELY -> between(15, 400);
                    case HOURLY -> between(1, 30);
                    default -> oneIn(3) ? between(2, 4) : 1;
                };
        LocalDateTime local = start.local();
        boolean subDaily = rule.freq.compareTo(Freq.DAILY) < 0;
        if (oneIn(2)) {
            if (rule.freq == Freq.YEARLY) {
                addYearlyParts(local);
            } else if (rule.freq == Freq.MONTHLY) {
                if (oneIn(2)) {
                    addMatching(rule.monthDay, local.getDayOfMonth(), 1, 31, true);
                }
                if (rule.monthDay.isEmpty() || oneIn(4)) {
                    addWeekdays(5, local);
                }
            } else if (oneIn(2)) {
                addWeekdays(0, local);
            }
            if (rule.freq != Freq.YEARLY && oneIn(5)) {
                addMatching(rule.month, local.getMonthValue(), 1, 12, false);
            }
            if (rule.freq == Freq.DAILY && oneIn(5)) {
                addMatching(rule.monthDay, local.getDayOfMonth(), 1, 31, true);
            }
            if (subDaily && oneIn(6)) {
                addMatching(rule.yearDay, local.getDayOfYear(), 1, 366, true);
            }
        }
        if (!start.date() && oneIn(3)) {
            addMatching(rule.hour, local.getHour(), 0, 23, false);
            if (oneIn(2)) {
                addMatching(rule.minute, local.getMinute(), 0, 59, false);
            }
            if (oneIn(3)) {
                addMatching(rule.second, local.getSecond(), 0, 59, false);
            }
        }
        if (oneIn(4)
                && rule.month.size()
                                + rule.weekNo.size()
                                + rule.yearDay.size()
                                + rule.monthDay.size()
                                + rule.day.size()
                                + rule.hour.size()
                                + rule.minute.size()
                                + rule.second.size()
                        > 0) {
            addRandom(rule.setPos, 1, 3, true);
        }
        addEnd(local);
        return rule;
    }

    /**
     * Adds a value that matches the first instance and some others, so that most rules match
     * something.
     */
    private void addMatching(List<Integer> values, int value, int min, int max, boolean fromEnd) {
        values.add(value);
        if (oneIn(2)) {
            addRandom(values, min, max, fromEnd);
        }
        if (oneIn(4)) {
            values.remove(0);
            addRandom(values, min, max, fromEnd);
        }
    }

    private void addWeekdays(int maxNth, LocalDateTime local) {
        for (int i = between(1, 3); i > 0; i--) {
            int nth = maxNth == 0 || oneIn(2) ? 0 : between(1, maxNth) * (oneIn(2) ? -1 : 1);
            rule.day.add(new int[] {nth, i == 1 ? local.getDayOfWeek().getValue() : between(1, 7)});
        }
    }

    private void addYearlyParts(LocalDateTime local) {
        switch (between(0, 4)) {
            case 0 -> addMatching(rule.weekNo, (local.getDayOfYear() + 6) / 7, 1, 53, true);
            case 1 -> addMatching(rule.yearDay, local.getDayOfYear(), 1, 366, true);
            case 2 -> addWeekdays(53, local);
            case 3 -> {
                addMatching(rule.month, local.getMonthValue(), 1, 12, false);
                addWeekdays(5, local);
            }
            default -> {
                addMatching(rule.monthDay, local.getDayOfMonth(), 1, 31, true);
                if (oneIn(2)) {
                    addMatching(rule.month, local.getMonthValue(), 1, 12, false);
                }
            }
        }
        if (!rule.weekNo.isEmpty() && oneIn(2)) {
            addWeekdays(0, local);
        }
    }

    private void addEnd(LocalDateTime local) {
        if (oneIn(4)) {
            rule.count = between(1, 40);
        } else if (oneIn(3)) {
            LocalDateTime until =
                    rule.freq.compareTo(Freq.DAILY) < 0
                            ? local.plusHours(between(0, 60))
                            : local.plusDays(between(0, 120));
            if (start.date() || start.zoneId() == null) {
                rule.until = new LocalStamp(until, start.zoneId(), start.zone(), start.date());
            } else {
                // At the exact instant of an instance, in about half of the cases.
                long at =
                        start.zone().instant(until, Mutation.NONE)
                                + (oneIn(2) ? 0 : 1000L * between(-4000, 4000));
                rule.until =
                        new LocalStamp(
                                LocalDateTime.ofEpochSecond(at / 1000, 0, ZoneOffset.UTC),
                                "Z",
                                ReferenceZone.of("UTC"),
                                false);
            }
        }
    }
}
