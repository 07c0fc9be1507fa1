package postgrade.calendar.oracle;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import postgrade.calendar.oracle.Made.Freq;
import postgrade.calendar.oracle.Made.Rule;
import postgrade.calendar.oracle.Made.Stamp;
import postgrade.calendar.oracle.Made.Works;

/**
 * By brute force: walks every day, hour, minute or second from the first instance on and asks
 * whether the rule names it. Shares no code with what it judges.
 */
final class Oracle {

    private final Made m;
    private final Zone site;
    private final Mutation mutation;

    /** Pairs of begin and end. */
    final List<long[]> closed = new ArrayList<>();

    Oracle(Made m, Mutation mutation) {
        this.m = m;
        this.mutation = mutation;
        site = Zone.of(m.siteZone);
        m.works.forEach(this::add);
    }

    private long at(Stamp s) {
        return (s.zone() == null ? site : s.zone()).instant(s.local(), mutation);
    }

    private void add(Works w) {
        Set<Long> without = new TreeSet<>();
        if (mutation != Mutation.LEFT_OUT_KEPT) {
            w.without.forEach(s -> without.add(at(s)));
        }
        for (Stamp[] pair : w.moved) {
            if (mutation != Mutation.MOVED_KEPT) {
                without.add(at(pair[0]));
            }
            long from = at(pair[1]);
            closed.add(
                    new long[] {
                        from,
                        pair[1].date() ? at(plusDays(pair[1], 1)) : from + w.movedSeconds * 1000
                    });
        }
        List<Stamp> starts = new ArrayList<>(List.of(w.start));
        if (w.rule != null) {
            named(w).forEach(
                            l ->
                                    starts.add(
                                            new Stamp(
                                                    l,
                                                    w.start.zoneId(),
                                                    w.start.zone(),
                                                    w.start.date())));
        }
        starts.addAll(w.extra);
        for (Stamp s : starts) {
            if (!without.contains(at(s))) {
                closed.add(new long[] {at(s), end(w, s)});
            }
        }
        closed.removeIf(c -> c[0] >= c[1]);
    }

    private static Stamp plusDays(Stamp s, int days) {
        return new Stamp(s.local().plusDays(days), s.zoneId(), s.zone(), s.date());
    }

    private long end(Works w, Stamp s) {
        if (w.asEnd && !w.start.date()) {
            Stamp end =
                    new Stamp(
                            w.start.local().plusDays(w.days).plusSeconds(w.seconds),
                            w.start.zoneId(),
                            w.start.zone(),
                            false);
            return at(s) + at(end) - at(w.start);
        }
        long from =
                w.days == 0
                        ? at(s)
                        : mutation == Mutation.NOMINAL_AS_EXACT
                                ? at(s) + w.days * 86_400_000L
                                : at(plusDays(s, w.days));
        return from + w.seconds * 1000;
    }

    /** Local times after the first that the rule names, up to the horizon. */
    private List<LocalDateTime> named(Works w) {
        Rule r = w.rule;
        LocalDateTime first = w.start.local();
        LocalDateTime last =
                (w.start.zone() == null ? site : w.start.zone()).local(m.to).plusDays(4);
        List<LocalDateTime> all = new ArrayList<>();
        List<LocalDateTime> group = new ArrayList<>();
        long period = Long.MIN_VALUE;
        // From before the period that holds the first, since positions count from its begin.
        LocalDate from =
                r.freq == Freq.YEARLY
                        ? LocalDate.of(first.getYear(), 1, 1)
                        : r.freq == Freq.MONTHLY
                                ? first.toLocalDate().withDayOfMonth(1)
                                : first.toLocalDate().minusDays(r.freq == Freq.WEEKLY ? 7 : 0);
        // And to the end of the last period.
        LocalDate to = last.toLocalDate().plusDays(r.setPos.isEmpty() ? 0 : 370);
        for (LocalDate day = from; !day.isAfter(to); day = day.plusDays(1)) {
            if (!Days.named(r, first, day, mutation)) {
                continue;
            }
            for (LocalDateTime t : times(r, first, day)) {
                long p = Days.period(r, t, mutation);
                if (Math.floorMod(p - Days.period(r, first, mutation), (long) r.interval) != 0) {
                    continue;
                }
                if (p != period) {
                    all.addAll(chosen(r, group));
                    group.clear();
                    period = p;
                }
                group.add(t);
            }
        }
        all.addAll(chosen(r, group));
        return ended(
                w,
                all.stream()
                        .filter(t -> t.isAfter(first) && !t.isAfter(last))
                        .collect(Collectors.toList()));
    }

    private List<LocalDateTime> chosen(Rule r, List<LocalDateTime> group) {
        if (r.setPos.isEmpty()) {
            return List.copyOf(group);
        }
        Set<LocalDateTime> chosen = new TreeSet<>();
        for (int i = 0; i < group.size(); i++) {
            int fromEnd = mutation == Mutation.POSITIONS_FROM_FIRST ? i : i - group.size();
            if (r.setPos.contains(i + 1) || r.setPos.contains(fromEnd)) {
                chosen.add(group.get(i));
            }
        }
        return List.copyOf(chosen);
    }

    private List<LocalDateTime> ended(Works w, List<LocalDateTime> all) {
        Rule r = w.rule;
        if (r.until != null) {
            long until = at(r.until);
            all.removeIf(
                    t -> {
                        long at =
                                at(new Stamp(t, w.start.zoneId(), w.start.zone(), w.start.date()));
                        return mutation == Mutation.UNTIL_EXCLUDED ? at >= until : at > until;
                    });
        }
        int most =
                r.count == 0
                        ? all.size()
                        : r.count - (mutation == Mutation.COUNT_WITHOUT_FIRST ? 0 : 1);
        return all.subList(0, Math.min(most, all.size()));
    }

    /** Every time of the day that the rule may name, in order. */
    private static List<LocalDateTime> times(Rule r, LocalDateTime first, LocalDate day) {
        List<LocalDateTime> all = new ArrayList<>();
        List<Integer> hours =
                r.freq.compareTo(Freq.HOURLY) <= 0 ? each(r.hour, 24) : or(r.hour, first.getHour());
        List<Integer> minutes =
                r.freq.compareTo(Freq.MINUTELY) <= 0
                        ? each(r.minute, 60)
                        : or(r.minute, first.getMinute());
        List<Integer> seconds =
                r.freq == Freq.SECONDLY ? each(r.second, 60) : or(r.second, first.getSecond());
        for (int h : hours) {
            for (int min : minutes) {
                for (int s : seconds) {
                    // Most seconds are none of the rule's; asked by plain figures, as there are
                    // many.
                    if (r.freq != Freq.SECONDLY
                            || Math.floorMod(
                                            day.toEpochDay() * 86_400
                                                    + h * 3600
                                                    + min * 60
                                                    + s
                                                    - first.toEpochSecond(ZoneOffset.UTC),
                                            (long) r.interval)
                                    == 0) {
                        all.add(day.atTime(h, min, s));
                    }
                }
            }
        }
        return all;
    }

    private static List<Integer> or(List<Integer> given, int otherwise) {
        List<Integer> sorted =
                new ArrayList<>(given.isEmpty() ? List.of(otherwise) : new TreeSet<>(given));
        Collections.sort(sorted);
        return sorted;
    }

    private static List<Integer> each(List<Integer> given, int below) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < below; i++) {
            if (given.isEmpty() || given.contains(i)) {
                all.add(i);
            }
        }
        return all;
    }

    /** Whether the job may start then: asked of each stretch of maintenance in turn. */
    boolean may(long start) {
        long error = mutation == Mutation.NO_ERROR ? 0 : m.error;
        if (start < m.now
                || start < m.earliest
                || start + m.lasts > m.deadline
                || start - m.error < m.from
                || start + m.lasts + m.error > m.to) {
            return false;
        }
        for (long[] c : closed) {
            boolean begun =
                    mutation == Mutation.STARTS_IN_ITS_BEGIN ? start <= c[0] - error : false;
            boolean before = start + m.lasts <= c[0] - error && start < c[0] - error || begun;
            boolean after =
                    start >= c[1] + error + (mutation == Mutation.LAST_MILLISECOND_OPEN ? 1 : 0);
            if (!before && !after) {
                return false;
            }
        }
        return true;
    }
}
