package postgrade.window;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.zone.ZoneRules;
import java.util.List;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.ZonedTime;

/** Converts between instants and their textual form in tests. */
final class TestTimes {

    static final long HOUR = 3_600_000;
    static final ZoneRules ZAGREB = zone("Europe/Zagreb");

    private TestTimes() {}

    static ZoneRules zone(String id) {
        return ZoneId.of(id).getRules();
    }

    static long utc(String text) {
        return Instant.parse(text).toEpochMilli();
    }

    static ZonedTime when(String local, ZoneRules zone) {
        return new ZonedTime(LocalDateTime.parse(local), zone);
    }

    static MaintenanceEvent event(String local, ZoneRules zone, EventDuration length) {
        return MaintenanceEvent.once("works", when(local, zone), length);
    }

    static SiteCalendar compile(String from, String to, MaintenanceEvent... events) {
        return SiteCalendar.compile("a", "1", List.of(events), utc(from), utc(to));
    }

    /** Formats intervals as {@code from/to} in UTC, separated by spaces. */
    static String format(Intervals intervals) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < intervals.size(); i++) {
            text.append(i == 0 ? "" : " ")
                    .append(Instant.ofEpochMilli(intervals.from(i)))
                    .append('/')
                    .append(Instant.ofEpochMilli(intervals.to(i)));
        }
        return text.toString();
    }
}
