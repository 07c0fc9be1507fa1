package postgrade.calendar.oracle;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * The zone that a generated calendar defines: summer and standard time, each from a Sunday of a
 * month at two o'clock.
 */
final class Zones {

    private Zones() {}

    /** By counting days; the nth Sunday, from the end where negative. */
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
     * @param z standard and summer offset, then month and Sunday of each onset: of summer time, of
     *     standard time
     */
    static Zone own(int[] z) {
        Zone zone = new Zone(z[2] < z[4] ? z[0] : z[1]);
        for (int year = 1990; year < 2110; year++) {
            LocalDateTime summer = onset(year, z[2], z[3]);
            LocalDateTime standard = onset(year, z[4], z[5]);
            // Months differ, so which comes first is plain.
            if (z[2] < z[4]) {
                zone.change(summer.toEpochSecond(ZoneOffset.UTC) - z[0], z[1]);
                zone.change(standard.toEpochSecond(ZoneOffset.UTC) - z[1], z[0]);
            } else {
                zone.change(standard.toEpochSecond(ZoneOffset.UTC) - z[1], z[0]);
                zone.change(summer.toEpochSecond(ZoneOffset.UTC) - z[0], z[1]);
            }
        }
        return zone;
    }
}
