package postgrade.calendar.oracle;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.List;
import java.util.SplittableRandom;
import postgrade.calendar.oracle.GeneratedCase.Freq;
import postgrade.calendar.oracle.GeneratedCase.LocalStamp;
import postgrade.calendar.oracle.GeneratedCase.Maintenance;

/** Generates cases around clock changes, leap days and ends of years, for every zone in turn. */
final class CaseGenerator {

    private static final List<String> ZONES =
            ZoneId.getAvailableZoneIds().stream().filter(z -> z.indexOf('~') < 0).sorted().toList();
    private static final long DAY = 86_400_000;

    private final SplittableRandom random;
    private final GeneratedCase generated = new GeneratedCase();
    private ReferenceZone site;
    private ReferenceZone ownZone;
    private long focus;

    private CaseGenerator(long seed, long number) {
        random = new SplittableRandom(seed * 1_000_003 + number);
        generated.siteZone = ZONES.get((int) (number % ZONES.size()));
    }

    static GeneratedCase generate(long seed, long number) {
        return new CaseGenerator(seed, number).generate();
    }

    private int between(int min, int max) {
        return random.nextInt(min, max + 1);
    }

    private boolean oneIn(int odds) {
        return random.nextInt(odds) == 0;
    }

    private GeneratedCase generate() {
        site = ReferenceZone.of(generated.siteZone);
        focus = focus();
        if (oneIn(30)) {
            int standard = between(-12, 13) * 3600 + between(0, 1) * 1800;
            boolean north = oneIn(2);
            generated.ownZone =
                    new int[] {
                        standard,
                        standard + between(1, 4) * 1800,
                        north ? between(2, 5) : between(9, 11),
                        between(1, 4),
                        north ? between(9, 11) : between(2, 5),
                        -between(1, 3)
                    };
            ownZone = GeneratedZones.build(generated.ownZone);
            if (oneIn(2)) {
                int year = 2000 + between(0, 50);
                focus =
                        GeneratedZones.onset(year, generated.ownZone[2], generated.ownZone[3])
                                                .toEpochSecond(java.time.ZoneOffset.UTC)
                                        * 1000
                                - standard * 1000L;
            }
        }
        generated.from = focus - between(1, 3) * DAY - random.nextInt((int) DAY);
        generated.to = focus + between(1, 4) * DAY + random.nextInt((int) DAY);
        for (int i = between(1, 3); i > 0; i--) {
            generated.events.add(maintenance());
        }
        generatePlan();
        return generated;
    }

    private long focus() {
        int kind = between(0, 9);
        if (kind < 7 && site.transitions.size() > 1) {
            return site.transitions.get(between(1, site.transitions.size() - 1)) * 1000;
        }
        LocalDate day =
                kind == 7
                        ? LocalDate.of(1996 + 4 * between(0, 25), 2, 29)
                        : kind == 8
                                ? LocalDate.of(between(1971, 2099), 12, 31)
                                : LocalDate.ofEpochDay(between(0, 47_000));
        return day.toEpochDay() * DAY;
    }

    private LocalStamp stamp(LocalDateTime local, int kind) {
        if (kind == 0) {
            return new LocalStamp(local.toLocalDate().atStartOfDay(), null, null, true);
        }
        LocalDateTime whole = local.withNano(0);
        if (kind == 1) {
            return new LocalStamp(whole, "Z", ReferenceZone.of("UTC"), false);
        }
        if (kind == 2) {
            return new LocalStamp(whole, null, null, false);
        }
        if (ownZone != null && kind < 6) {
            return new LocalStamp(whole, "Own", ownZone, false);
        }
        String id = kind < 8 ? generated.siteZone : ZONES.get(random.nextInt(ZONES.size()));
        return new LocalStamp(whole, id, ReferenceZone.of(id), false);
    }

    private static LocalStamp withLocal(LocalStamp s, LocalDateTime local) {
        return new LocalStamp(
                s.date() ? local.toLocalDate().atStartOfDay() : local,
                s.zoneId(),
                s.zone(),
                s.date());
    }

    private Maintenance maintenance() {
        Maintenance event = new Maintenance();
        Freq freq =
                oneIn(1000)
                        ? Freq.SECONDLY
                        : oneIn(50)
                                ? Freq.MINUTELY
                                : oneIn(8) ? Freq.HOURLY : Freq.values()[between(3, 6)];
        boolean subDaily = freq.compareTo(Freq.DAILY) < 0;
        // Near the time of day of the clock change, so that rules meet gaps and overlaps.
        LocalDateTime nearFocus =
                site.local(focus)
                        .plusMinutes(between(-3, 3) * 30L)
                        .plusSeconds(oneIn(2) ? 0 : between(-3600, 3600));
        LocalDateTime local =
                subDaily
                        ? nearFocus.minusHours(between(0, 40))
                        : nearFocus.minusDays(
                                oneIn(3)
                                        ? between(0, 2)
                                        : oneIn(3)
                                                ? 7L * between(0, 9)
                                                : oneIn(4)
                                                        ? 365L * between(0, 4) + between(0, 3)
                                                        : between(0, 100));
        if (freq == Freq.YEARLY && local.getYear() > 1972) {
            local = oneIn(2) ? nearFocus.minusYears(between(0, 5)) : local;
        }
        event.start = stamp(local, subDaily ? between(1, 9) : between(0, 9));
        event.days = event.start.date() ? between(0, 2) : oneIn(3) ? between(0, 2) : 0;
        event.seconds =
                event.start.date() || oneIn(8)
                        ? 0
                        : oneIn(3)
                                ? between(1, 40_000)
                                : oneIn(2) ? 1800L * between(1, 6) : between(1, 90);
        if (subDaily) {
            event.days = 0;
            event.seconds = Math.min(event.seconds, 900);
        }
        event.statesEnd =
                oneIn(3) && !(event.start.date() && event.days == 0) && endsAfterStart(event);
        if (!oneIn(5)) {
            event.rule = new RuleGenerator(random, event.start, freq).generate();
        }
        int modifications = oneIn(2) ? 0 : between(1, 3);
        for (int i = 0; i < modifications; i++) {
            LocalDateTime instance =
                    freq == Freq.WEEKLY
                            ? event.start.local().plusWeeks(between(0, 8))
                            : freq == Freq.HOURLY
                                    ? event.start.local().plusHours(between(0, 60))
                                    : event.start.local().plusDays(between(0, 20));
            LocalDateTime other = nearFocus.plusMinutes(between(-2000, 2000));
            switch (between(0, 2)) {
                case 0 -> event.excluded.add(withLocal(event.start, instance));
                case 1 -> event.extra.add(withLocal(event.start, other));
                default -> {
                    event.movedSeconds = between(0, 9000);
                    if (event.moved.stream()
                            .noneMatch(
                                    p ->
                                            instant(p[0])
                                                    == instant(withLocal(event.start, instance)))) {
                        event.moved.add(
                                new LocalStamp[] {
                                    withLocal(event.start, instance), withLocal(event.start, other)
                                });
                    }
                }
            }
        }
        return event;
    }

    private long instant(LocalStamp s) {
        return (s.zone() == null ? site : s.zone()).instant(s.local(), Mutation.NONE);
    }

    /**
     * Returns whether a stated end is not before its start; where clocks go back it may be, and
     * such a calendar is invalid.
     */
    private boolean endsAfterStart(Maintenance event) {
        LocalDateTime end = event.start.local().plusDays(event.days).plusSeconds(event.seconds);
        return instant(withLocal(event.start, end)) >= instant(event.start);
    }

    private void generatePlan() {
        generated.durationMillis =
                oneIn(8)
                        ? 0
                        : oneIn(8)
                                ? 1
                                : oneIn(2) ? between(1, 7_200_000) : 1800_000L * between(1, 30);
        generated.clockErrorMillis = oneIn(2) ? 0 : between(1, 5_000);
        generated.now = generated.from + between(-1, 2) * DAY / 2 + between(0, 10_000_000);
        generated.earliestStart =
                generated.now + (oneIn(2) ? 0 : between(-100_000_000, 100_000_000));
        generated.deadline =
                oneIn(4)
                        ? generated.to + DAY
                        : oneIn(10)
                                ? generated.earliestStart
                                        + generated.durationMillis
                                        + between(-1, 1)
                                : generated.now + between(0, 400_000_000);
    }
}
