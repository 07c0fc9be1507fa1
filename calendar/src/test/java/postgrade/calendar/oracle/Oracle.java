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
import postgrade.calendar.oracle.GeneratedCase.Freq;
import postgrade.calendar.oracle.GeneratedCase.LocalStamp;
import postgrade.calendar.oracle.GeneratedCase.Maintenance;
import postgrade.calendar.oracle.GeneratedCase.Rule;

/**
 * A brute-force reference: walks every day, hour, minute or second from the first instance on and
 * checks whether the rule matches it. Shares no code with the implementation under test.
 */
final class Oracle {

    private final GeneratedCase generated;
    private final ReferenceZone site;
    private final Mutation mutation;

    /** Pairs of start and end. */
    final List<long[]> closed = new ArrayList<>();

    Oracle(GeneratedCase generated, Mutation mutation) {
        this.generated = generated;
        this.mutation = mutation;
        site = ReferenceZone.of(generated.siteZone);
        generated.events.forEach(this::add);
    }

    private long at(LocalStamp s) {
        return (s.zone() == null ? site : s.zone()).instant(s.local(), mutation);
    }

    private void add(Maintenance event) {
        Set<Long> excluded = new TreeSet<>();
        if (mutation != Mutation.LEFT_OUT_KEPT) {
            event.excluded.forEach(s -> excluded.add(at(s)));
        }
        for (LocalStamp[] pair : event.moved) {
            if (mutation != Mutation.MOVED_KEPT) {
                excluded.add(at(pair[0]));
            }
            long from = at(pair[1]);
            closed.add(
                    new long[] {
                        from,
                        pair[1].date() ? at(plusDays(pair[1], 1)) : from + event.movedSeconds * 1000
                    });
        }
        List<LocalStamp> starts = new ArrayList<>(List.of(event.start));
        if (event.rule != null) {
            ruleTimes(event)
                    .forEach(
                            l ->
                                    starts.add(
                                            new LocalStamp(
                                                    l,
                                                    event.start.zoneId(),
                                                    event.start.zone(),
                                                    event.start.date())));
        }
        starts.addAll(event.extra);
        for (LocalStamp s : starts) {
            if (!excluded.contains(at(s))) {
                closed.add(new long[] {at(s), end(event, s)});
            }
        }
        closed.removeIf(c -> c[0] >= c[1]);
    }

    private static LocalStamp plusDays(LocalStamp s, int days) {
        return new LocalStamp(s.local().plusDays(days), s.zoneId(), s.zone(), s.date());
    }

    private long end(Maintenance event, LocalStamp s) {
        if (event.statesEnd && !event.start.date()) {
            LocalStamp end =
                    new LocalStamp(
                            event.start.local().plusDays(event.days).plusSeconds(event.seconds),
                            event.start.zoneId(),
                            event.start.zone(),
                            false);
            return at(s) + at(end) - at(event.start);
        }
        long from =
                event.days == 0
                        ? at(s)
                        : mutation == Mutation.NOMINAL_AS_EXACT
                                ? at(s) + event.days * 86_400_000L
                                : at(plusDays(s, event.days));
        return from + event.seconds * 1000;
    }

    /** Returns the local times after the first that the rule matches, up to the horizon. */
    private List<LocalDateTime> ruleTimes(Maintenance event) {
        Rule r = event.rule;
        LocalDateTime first = event.start.local();
        LocalDateTime last =
                (event.start.zone() == null ? site : event.start.zone())
                        .local(generated.to)
                        .plusDays(4);
        List<LocalDateTime> all = new ArrayList<>();
        List<LocalDateTime> periodTimes = new ArrayList<>();
        long period = Long.MIN_VALUE;
        // Starts before the period that contains the first instance, since positions count from the
        // start of the period.
        LocalDate from =
                r.freq == Freq.YEARLY
                        ? LocalDate.of(first.getYear(), 1, 1)
                        : r.freq == Freq.MONTHLY
                                ? first.toLocalDate().withDayOfMonth(1)
                                : first.toLocalDate().minusDays(r.freq == Freq.WEEKLY ? 7 : 0);
        // Continues to the end of the last period.
        LocalDate to = last.toLocalDate().plusDays(r.setPos.isEmpty() ? 0 : 370);
        for (LocalDate day = from; !day.isAfter(to); day = day.plusDays(1)) {
            if (!DayMatcher.matches(r, first, day, mutation)) {
                continue;
            }
            for (LocalDateTime t : times(r, first, day)) {
                long p = DayMatcher.periodNumber(r, t, mutation);
                if (Math.floorMod(
                                p - DayMatcher.periodNumber(r, first, mutation), (long) r.interval)
                        != 0) {
                    continue;
                }
                if (p != period) {
                    all.addAll(selectPositions(r, periodTimes));
                    periodTimes.clear();
                    period = p;
                }
                periodTimes.add(t);
            }
        }
        all.addAll(selectPositions(r, periodTimes));
        return applyEnd(
                event,
                all.stream()
                        .filter(t -> t.isAfter(first) && !t.isAfter(last))
                        .collect(Collectors.toList()));
    }

    private List<LocalDateTime> selectPositions(Rule r, List<LocalDateTime> periodTimes) {
        if (r.setPos.isEmpty()) {
            return List.copyOf(periodTimes);
        }
        Set<LocalDateTime> chosen = new TreeSet<>();
        for (int i = 0; i < periodTimes.size(); i++) {
            int fromEnd = mutation == Mutation.POSITIONS_FROM_FIRST ? i : i - periodTimes.size();
            if (r.setPos.contains(i + 1) || r.setPos.contains(fromEnd)) {
                chosen.add(periodTimes.get(i));
            }
        }
        return List.copyOf(chosen);
    }

    private List<LocalDateTime> applyEnd(Maintenance event, List<LocalDateTime> all) {
        Rule r = event.rule;
        if (r.until != null) {
            long until = at(r.until);
            all.removeIf(
                    t -> {
                        long at =
                                at(
                                        new LocalStamp(
                                                t,
                                                event.start.zoneId(),
                                                event.start.zone(),
                                                event.start.date()));
                        return mutation == Mutation.UNTIL_EXCLUDED ? at >= until : at > until;
                    });
        }
        int limit =
                r.count == 0
                        ? all.size()
                        : r.count - (mutation == Mutation.COUNT_WITHOUT_FIRST ? 0 : 1);
        return all.subList(0, Math.min(limit, all.size()));
    }

    /** Returns every time of the day that the rule may match, in order. */
    private static List<LocalDateTime> times(Rule r, LocalDateTime first, LocalDate day) {
        List<LocalDateTime> all = new ArrayList<>();
        List<Integer> hours =
                r.freq.compareTo(Freq.HOURLY) <= 0
                        ? allOrGiven(r.hour, 24)
                        : orDefault(r.hour, first.getHour());
        List<Integer> minutes =
                r.freq.compareTo(Freq.MINUTELY) <= 0
                        ? allOrGiven(r.minute, 60)
                        : orDefault(r.minute, first.getMinute());
        List<Integer> seconds =
                r.freq == Freq.SECONDLY
                        ? allOrGiven(r.second, 60)
                        : orDefault(r.second, first.getSecond());
        for (int h : hours) {
            for (int min : minutes) {
                for (int s : seconds) {
                    // Most seconds do not match the rule; they are filtered by plain arithmetic,
                    // since there are many.
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

    private static List<Integer> orDefault(List<Integer> given, int defaultValue) {
        List<Integer> sorted =
                new ArrayList<>(given.isEmpty() ? List.of(defaultValue) : new TreeSet<>(given));
        Collections.sort(sorted);
        return sorted;
    }

    private static List<Integer> allOrGiven(List<Integer> given, int below) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < below; i++) {
            if (given.isEmpty() || given.contains(i)) {
                all.add(i);
            }
        }
        return all;
    }

    /**
     * Returns whether the job may start at this time, checked against each maintenance interval in
     * turn.
     */
    boolean mayStart(long start) {
        long error = mutation == Mutation.NO_ERROR ? 0 : generated.clockErrorMillis;
        if (start < generated.now
                || start < generated.earliestStart
                || start + generated.durationMillis > generated.deadline
                || start - generated.clockErrorMillis < generated.from
                || start + generated.durationMillis + generated.clockErrorMillis > generated.to) {
            return false;
        }
        for (long[] c : closed) {
            boolean mutatedBefore =
                    mutation == Mutation.STARTS_IN_ITS_BEGIN ? start <= c[0] - error : false;
            boolean before =
                    start + generated.durationMillis <= c[0] - error && start < c[0] - error
                            || mutatedBefore;
            boolean after =
                    start >= c[1] + error + (mutation == Mutation.LAST_MILLISECOND_OPEN ? 1 : 0);
            if (!before && !after) {
                return false;
            }
        }
        return true;
    }
}
