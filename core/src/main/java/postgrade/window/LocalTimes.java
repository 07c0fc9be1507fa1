package postgrade.window;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;

/**
 * Converts local times to instants by one rule throughout: a local time that occurs twice means the
 * first occurrence; one that falls into a gap is read by the offset before the gap, so it moves
 * forward by the length of the gap.
 */
public final class LocalTimes {

    private LocalTimes() {}

    public static long toEpochMillis(LocalDateTime local, ZoneRules zone) {
        ZoneOffsetTransition transition = zone.isFixedOffset() ? null : zone.getTransition(local);
        // The offset before the transition applies both in a gap and in an overlap.
        ZoneOffset offset =
                transition != null ? transition.getOffsetBefore() : zone.getOffset(local);
        return local.toEpochSecond(offset) * 1000 + local.getNano() / 1_000_000;
    }

    public static LocalDateTime toLocal(long millis, ZoneRules zone) {
        java.time.Instant instant = java.time.Instant.ofEpochMilli(millis);
        return LocalDateTime.ofEpochSecond(
                instant.getEpochSecond(), instant.getNano(), zone.getOffset(instant));
    }

    /**
     * Returns the first instant, not before the given one, at which clocks in the zone reach the
     * time of day.
     */
    public static long nextOccurrence(LocalTime time, ZoneRules zone, long notBefore) {
        LocalDate day = toLocal(notBefore, zone).toLocalDate();
        long best = Long.MAX_VALUE;
        // The day before matters where a gap pushes its time past midnight; the days after matter
        // where a whole day is left out.
        for (int i = -2; i <= 3; i++) {
            long candidate = toEpochMillis(day.plusDays(i).atTime(time), zone);
            if (candidate >= notBefore && candidate < best) {
                best = candidate;
            }
        }
        return best;
    }

    /**
     * Returns the last instant, not after the given one, at which clocks in the zone reached the
     * time of day.
     */
    public static long previousOccurrence(LocalTime time, ZoneRules zone, long notAfter) {
        LocalDate day = toLocal(notAfter, zone).toLocalDate();
        long best = Long.MIN_VALUE;
        for (int i = -3; i <= 2; i++) {
            long candidate = toEpochMillis(day.plusDays(i).atTime(time), zone);
            if (candidate <= notAfter && candidate > best) {
                best = candidate;
            }
        }
        return best;
    }
}
