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

    private long instant(LocalStamp s) {
        return (s.zone() == null ? site : s.zone()).instant(s.local(), mutation);
    }

    private void add(Maintenance event) {
        Set<Long> excluded = new TreeSet<>();
        if (mutation != Mutation.LEFT_OUT_KEPT) {
            event.excluded.forEach(s -> excluded.add(instant(s)));
        }
        for (LocalStamp[] move : event.moved) {
            if (mutation != Mutation.MOVED_KEPT) {
                excluded.add(instant(move[0]));
            }
            long from = instant(move[1]);
            closed.add(
                    new long[] {
                        from,
                        move[1].date()
                                ? instant(plusDays(move[1], 1))
                                : from + event.movedSeconds * 1000
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
            if (!excluded.contains(instant(s))) {
                closed.add(new long[] {instant(s), end(event, s)});
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
            return instant(s) + instant(end) - instant(event.start);
        }
        long from =
                event.days == 0
                        ? instant(s)
                        : mutation == Mutation.NOMINAL_AS_EXACT
                                ? instant(s) + event.days * 86_400_000L
                                : instant(plusDays(s, event.days));
        return from + event.seconds * 1000;
    }

    /** Returns the local times after the first that the rule matches, up to the horizon. */
    private List<LocalDateTime> ruleTimes(Maintenance event) {
        Rule rule = event.rule;
        LocalDateTime firstStart = event.start.local();
        LocalDateTime last =
                (event.start.zone() == null ? site : event.start.zone())
                        .local(generated.to)
                        .plusDays(4);
        List<LocalDateTime> all = new ArrayList<>();
        List<LocalDateTime> periodTimes = new ArrayList<>();
        long currentPeriod = Long.MIN_VALUE;
        // Starts before the period that contains the first instance, since positions count from the
        // start of the period.
        LocalDate from =
                rule.freq == Freq.YEARLY
                        ? LocalDate.of(firstStart.getYear(), 1, 1)
                        : rule.freq == Freq.MONTHLY
                                ? firstStart.toLocalDate().withDayOfMonth(1)
                                : firstStart
                                        .toLocalDate()
                                        .minusDays(rule.freq == Freq.WEEKLY ? 7 : 0);
        // Continues to the end of the last period.
        LocalDate to = last.toLocalDate().plusDays(rule.setPos.isEmpty() ? 0 : 370);
        for (LocalDate day = from; !day.isAfter(to); day = day.plusDays(1)) {
            if (!DayMatcher.matches(rule, firstStart, day, mutation)) {
                continue;
            }
            for (LocalDateTime t : times(rule, firstStart, day)) {
                long p = DayMatcher.periodNumber(rule, t, mutation);
                if (Math.floorMod(
                                p - DayMatcher.periodNumber(rule, firstStart, mutation),
                                (long) rule.interval)
                        != 0) {
                    continue;
                }
                if (p != currentPeriod) {
                    all.addAll(selectPositions(rule, periodTimes));
                    periodTimes.clear();
                    currentPeriod = p;
                }
                periodTimes.add(t);
            }
        }
        all.addAll(selectPositions(rule, periodTimes));
        return applyEnd(
                event,
                all.stream()
                        .filter(t -> t.isAfter(firstStart) && !t.isAfter(last))
                        .collect(Collectors.toList()));
    }

    private List<LocalDateTime> selectPositions(Rule rule, List<LocalDateTime> periodTimes) {
        if (rule.setPos.isEmpty()) {
            return List.copyOf(periodTimes);
        }
        Set<LocalDateTime> chosen = new TreeSet<>();
        for (int i = 0; i < periodTimes.size(); i++) {
            int fromEnd = mutation == Mutation.POSITIONS_FROM_FIRST ? i : i - periodTimes.size();
            if (rule.setPos.contains(i + 1) || rule.setPos.contains(fromEnd)) {
                chosen.add(periodTimes.get(i));
            }
        }
        return List.copyOf(chosen);
    }

    private List<LocalDateTime> applyEnd(Maintenance event, List<LocalDateTime> all) {
        Rule rule = event.rule;
        if (rule.until != null) {
            long until = instant(rule.until);
            all.removeIf(
                    t -> {
                        long at =
                                instant(
                                        new LocalStamp(
                                                t,
                                                event.start.zoneId(),
                                                event.start.zone(),
                                                event.start.date()));
                        return mutation == Mutation.UNTIL_EXCLUDED ? at >= until : at > until;
                    });
        }
        int limit =
                rule.count == 0
                        ? all.size()
                        : rule.count - (mutation == Mutation.COUNT_WITHOUT_FIRST ? 0 : 1);
        return all.subList(0, Math.min(limit, all.size()));
    }

    /** Returns every time of the day that the rule may match, in order. */
    private static List<LocalDateTime> times(Rule rule, LocalDateTime first, LocalDate day) {
        List<LocalDateTime> all = new ArrayList<>();
        List<Integer> hours =
                rule.freq.compareTo(Freq.HOURLY) <= 0
                        ? allOrGiven(rule.hour, 24)
                        : orDefault(rule.hour, first.getHour());
        List<Integer> minutes =
                rule.freq.compareTo(Freq.MINUTELY) <= 0
                        ? allOrGiven(rule.minute, 60)
                        : orDefault(rule.minute, first.getMinute());
        List<Integer> seconds =
                rule.freq == Freq.SECONDLY
                        ? allOrGiven(rule.second, 60)
                        : orDefault(rule.second, first.getSecond());
        for (int h : hours) {
            for (int min : minutes) {
                for (int s : seconds) {
                    // Most seconds do not match the rule; they are filtered by plain arithmetic,
                    // since there are many.
                    if (rule.freq != Freq.SECONDLY
                            || Math.floorMod(
                                            day.toEpochDay() * 86_400
                                                    + h * 3600
                                                    + min * 60
                                                    + s
                                                    - first.toEpochSecond(ZoneOffset.UTC),
                                            (long) rule.interval)
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
