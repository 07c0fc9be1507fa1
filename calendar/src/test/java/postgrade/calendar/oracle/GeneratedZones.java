package postgrade.calendar.oracle;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Builds the zone that a generated calendar defines: summer and standard time, each starting at two
 * o'clock on a Sunday of a month.
 */
final class GeneratedZones {

    private GeneratedZones() {}

    /** Counts days to the nth Sunday of the month, from its end if negative. */
    static LocalDateTime onset(int year, int month, int nth) {
        LocalDate day = LocalDate.of(year, month, 1);
        if (nth < 0) {
            day = day.plusMonths(1).minusDays(1);
        }
        for (int left = Math.abs(nth); ; day = day.plusDays(nth < 0 ? -1 : 1)) {
            if (day.getDayOfWeek() == DayOfWeek.SUNDAY && --left == 0) {
                return day.atTime(2, 0);
            }
        }
    }

    /**
     * Builds the transitions of the zone.
     *
     * @param definition standard and summer offset, then month and Sunday of each onset: of summer
     *     time, of standard time
     */
    static ReferenceZone build(int[] definition) {
        ReferenceZone zone =
                new ReferenceZone(definition[2] < definition[4] ? definition[0] : definition[1]);
        for (int year = 1990; year < 2110; year++) {
            LocalDateTime summer = onset(year, definition[2], definition[3]);
            LocalDateTime standard = onset(year, definition[4], definition[5]);
            // The months differ, so their order decides which comes first.
            if (definition[2] < definition[4]) {
                zone.addTransition(
                        summer.toEpochSecond(ZoneOffset.UTC) - definition[0], definition[1]);
                zone.addTransition(
                        standard.toEpochSecond(ZoneOffset.UTC) - definition[1], definition[0]);
            } else {
                zone.addTransition(
                        standard.toEpochSecond(ZoneOffset.UTC) - definition[1], definition[0]);
                zone.addTransition(
                        summer.toEpochSecond(ZoneOffset.UTC) - definition[0], definition[1]);
            }
        }
        return zone;
    }
}
