package postgrade.calendar;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import postgrade.calendar.Component.Property;
import postgrade.window.Intervals;
import postgrade.window.InvalidCalendarException;
import postgrade.window.MaintenanceEvent;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.Extra;
import postgrade.window.MaintenanceEvent.ZonedTime;
import postgrade.window.Recurrence;
import postgrade.window.SiteCalendar;
import postgrade.window.Steps;

/**
 * The zones that a calendar defines: each observance's onsets are worked out like events, in the
 * offset before them.
 */
final class ZoneReader {

    /** Onsets before are not asked for; after the last year the offset stays as it is. */
    private static final long FROM = Instant.parse("1900-01-01T00:00:00Z").toEpochMilli();

    private static final long TO = Instant.parse("2200-01-01T00:00:00Z").toEpochMilli();
    private static final int MOST = 20;

    private ZoneReader() {}

    private record Onset(ZoneOffset before, ZoneOffset after) {}

    static Map<String, ZoneRules> zones(Component calendar) {
        Map<String, ZoneRules> zones = new HashMap<>();
        Steps steps = new Steps();
        for (Component c : calendar.within) {
            if (c.name.equals("VTIMEZONE")) {
                Property id = c.needed("TZID");
                if (zones.put(id.value(), rules(c, steps)) != null) {
                    throw id.faulty("defines the same zone twice");
                }
                if (zones.size() > MOST) {
                    throw new InvalidCalendarException(
                            c.line, "VTIMEZONE", "is there more than " + MOST + " times");
                }
            }
        }
        return zones;
    }

    private static ZoneRules rules(Component zone, Steps steps) {
        TreeMap<Long, Onset> onsets = new TreeMap<>();
        Onset first = null;
        long firstAt = Long.MAX_VALUE;
        for (Component c : zone.within) {
            if (!c.name.equals("STANDARD") && !c.name.equals("DAYLIGHT")) {
                throw new InvalidCalendarException(c.line, c.name, "has no place in VTIMEZONE");
            }
            Onset onset =
                    new Onset(
                            Values.offset(c.needed("TZOFFSETFROM")),
                            Values.offset(c.needed("TZOFFSETTO")));
            MaintenanceEvent event = event(c, onset.before);
            if (event.start().millis() < firstAt) {
                first = onset;
                firstAt = event.start().millis();
            }
            Intervals at = SiteCalendar.compile("", "", List.of(event), FROM, TO, steps).closed();
            for (int i = 0; i < at.size(); i++) {
                onsets.put(at.from(i), onset);
            }
        }
        if (first == null) {
            throw new InvalidCalendarException(
                    zone.line, "VTIMEZONE", "has neither STANDARD nor DAYLIGHT");
        }
        return rules(first, firstAt, onsets);
    }

    private static ZoneRules rules(Onset first, long firstAt, TreeMap<Long, Onset> onsets) {
        // What began before 1900 holds then; a zone that begins later was in the offset before its
        // first onset.
        ZoneOffset base = firstAt < FROM ? first.after : first.before;
        ZoneOffset now = base;
        List<ZoneOffsetTransition> transitions = new ArrayList<>();
        for (Map.Entry<Long, Onset> e : onsets.entrySet()) {
            ZoneOffset after = e.getValue().after;
            if (!after.equals(now)) {
                transitions.add(
                        ZoneOffsetTransition.of(
                                LocalDateTime.ofEpochSecond(
                                        Math.floorDiv(e.getKey(), 1000L), 0, now),
                                now,
                                after));
                now = after;
            }
        }
        return ZoneRules.of(base, base, List.of(), transitions, List.of());
    }

    private static MaintenanceEvent event(Component c, ZoneOffset before) {
        Values values = new Values(before.getRules(), Map.of());
        Property p = c.needed("DTSTART");
        Values.Time start = values.time(p);
        if (start.allDay() || !start.floating()) {
            throw p.faulty("of an observance must be a local time without zone");
        }
        List<Recurrence> rules = new ArrayList<>();
        for (Property rule : c.all("RRULE")) {
            // An observance's UNTIL is in UTC though its start is local.
            rules.add(
                    RuleReader.read(
                            rule, new Values.Time(start.when(), false, true, false), values));
        }
        List<Extra> extras = new ArrayList<>();
        for (Property dates : c.all("RDATE")) {
            for (String date : dates.value().split(",", -1)) {
                ZonedTime when = values.time(dates.with(date)).when();
                extras.add(new Extra(when, EventDuration.exactly(1), dates.line()));
            }
        }
        return new MaintenanceEvent(
                c.name, c.line, start.when(), EventDuration.exactly(1), rules, extras, Set.of());
    }
}
