package postgrade.window;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.zone.ZoneRules;
import java.util.List;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.ZonedTime;

/** Times as people write them. */
final class Times {

    static final long HOUR = 3_600_000;
    static final ZoneRules ZAGREB = zone("Europe/Zagreb");

    private Times() {}

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

    static SiteCalendar compiled(String from, String to, MaintenanceEvent... events) {
        return SiteCalendar.compile("a", "1", List.of(events), utc(from), utc(to));
    }

    /** As {@code from/to} in UTC, one after another. */
    static String told(Intervals all) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < all.size(); i++) {
            text.append(i == 0 ? "" : " ")
                    .append(Instant.ofEpochMilli(all.from(i)))
                    .append('/')
                    .append(Instant.ofEpochMilli(all.to(i)));
        }
        return text.toString();
    }
}
