package postgrade.calendar.oracle;

import java.time.DayOfWeek;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.List;
import java.util.SplittableRandom;
import postgrade.calendar.oracle.Made.Freq;
import postgrade.calendar.oracle.Made.Rule;
import postgrade.calendar.oracle.Made.Stamp;

/** Makes rules that RFC 5545 allows. */
final class Rules {

    private final SplittableRandom random;
    private final Stamp start;
    private final Rule r = new Rule();

    Rules(SplittableRandom random, Stamp start, Freq freq) {
        this.random = random;
        this.start = start;
        r.freq = freq;
    }

    private int up(int from, int to) {
        return random.nextInt(from, to + 1);
    }

    private boolean one(int in) {
        return random.nextInt(in) == 0;
    }

    private void some(List<Integer> to, int from, int up, boolean fromEnd) {
        for (int i = up(1, 3); i > 0; i--) {
            int value = up(from, up);
            to.add(fromEnd && one(3) ? -value : value);
        }
    }

    Rule make() {
        r.weekStart = one(2) ? DayOfWeek.MONDAY : DayOfWeek.of(up(1, 7));
        r.interval =
                switch (r.freq) {
                    case SECONDLY -> up(900, 9000);
                    case MINUTELY -> up(15, 400);
                    case HOURLY -> up(1, 30);
                    default -> one(3) ? up(2, 4) : 1;
                };
        LocalDateTime local = start.local();
        boolean often = r.freq.compareTo(Freq.DAILY) < 0;
        if (one(2)) {
            if (r.freq == Freq.YEARLY) {
                year(local);
            } else if (r.freq == Freq.MONTHLY) {
                if (one(2)) {
                    near(r.monthDay, local.getDayOfMonth(), 1, 31, true);
                }
                if (r.monthDay.isEmpty() || one(4)) {
                    days(5, local);
                }
            } else if (one(2)) {
                days(0, local);
            }
            if (r.freq != Freq.YEARLY && one(5)) {
                near(r.month, local.getMonthValue(), 1, 12, false);
            }
            if (r.freq == Freq.DAILY && one(5)) {
                near(r.monthDay, local.getDayOfMonth(), 1, 31, true);
            }
            if (often && one(6)) {
                near(r.yearDay, local.getDayOfYear(), 1, 366, true);
            }
        }
        if (!start.date() && one(3)) {
            near(r.hour, local.getHour(), 0, 23, false);
            if (one(2)) {
                near(r.minute, local.getMinute(), 0, 59, false);
            }
            if (one(3)) {
                near(r.second, local.getSecond(), 0, 59, false);
            }
        }
        if (one(4)
                && r.month.size()
                                + r.weekNo.size()
                                + r.yearDay.size()
                                + r.monthDay.size()
                                + r.day.size()
                                + r.hour.size()
                                + r.minute.size()
                                + r.second.size()
                        > 0) {
            some(r.setPos, 1, 3, true);
        }
        end(local);
        return r;
    }

    /** A value that fits the first instance and some others, so that most rules name something. */
    private void near(List<Integer> to, int value, int from, int up, boolean fromEnd) {
        to.add(value);
        if (one(2)) {
            some(to, from, up, fromEnd);
        }
        if (one(4)) {
            to.remove(0);
            some(to, from, up, fromEnd);
        }
    }

    private void days(int mostNth, LocalDateTime local) {
        for (int i = up(1, 3); i > 0; i--) {
            int nth = mostNth == 0 || one(2) ? 0 : up(1, mostNth) * (one(2) ? -1 : 1);
            r.day.add(new int[] {nth, i == 1 ? local.getDayOfWeek().getValue() : up(1, 7)});
        }
    }

    private void year(LocalDateTime local) {
        switch (up(0, 4)) {
            case 0 -> near(r.weekNo, (local.getDayOfYear() + 6) / 7, 1, 53, true);
            case 1 -> near(r.yearDay, local.getDayOfYear(), 1, 366, true);
            case 2 -> days(53, local);
            case 3 -> {
                near(r.month, local.getMonthValue(), 1, 12, false);
                days(5, local);
            }
            default -> {
                near(r.monthDay, local.getDayOfMonth(), 1, 31, true);
                if (one(2)) {
                    near(r.month, local.getMonthValue(), 1, 12, false);
                }
            }
        }
        if (!r.weekNo.isEmpty() && one(2)) {
            days(0, local);
        }
    }

    private void end(LocalDateTime local) {
        if (one(4)) {
            r.count = up(1, 40);
        } else if (one(3)) {
            LocalDateTime until =
                    r.freq.compareTo(Freq.DAILY) < 0
                            ? local.plusHours(up(0, 60))
                            : local.plusDays(up(0, 120));
            if (start.date() || start.zoneId() == null) {
                r.until = new Stamp(until, start.zoneId(), start.zone(), start.date());
            } else {
                // At the very instant of an instance, as often as not.
                long at =
                        start.zone().instant(until, Mutation.NONE)
                                + (one(2) ? 0 : 1000L * up(-4000, 4000));
                r.until =
                        new Stamp(
                                LocalDateTime.ofEpochSecond(at / 1000, 0, ZoneOffset.UTC),
                                "Z",
                                Zone.of("UTC"),
                                false);
            }
        }
    }
}
