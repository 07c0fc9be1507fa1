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
import postgrade.window.ExpansionBudget;
import postgrade.window.Intervals;
import postgrade.window.InvalidCalendarException;
import postgrade.window.MaintenanceEvent;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.ExtraInstance;
import postgrade.window.MaintenanceEvent.ZonedTime;
import postgrade.window.Recurrence;
import postgrade.window.SiteCalendar;

/**
 * Reads the zones that a calendar defines: the onsets of each observance are expanded like events,
 * in the offset that applies before them.
 */
final class ZoneReader {

    /** Earlier onsets are ignored; after the last year the offset stays as it is. */
    private static final long FIRST_ONSET_MILLIS =
            Instant.parse("1900-01-01T00:00:00Z").toEpochMilli();

    private static final long LAST_ONSET_MILLIS =
            Instant.parse("2200-01-01T00:00:00Z").toEpochMilli();
    private static final int MAX_ZONES = 20;

    private ZoneReader() {}

    private record Onset(ZoneOffset before, ZoneOffset after) {}

    static Map<String, ZoneRules> zones(Component calendar) {
        Map<String, ZoneRules> zones = new HashMap<>();
        ExpansionBudget budget = new ExpansionBudget();
        for (Component c : calendar.children) {
            if (c.name.equals("VTIMEZONE")) {
                Property id = c.required("TZID");
                if (zones.put(id.value(), rules(c, budget)) != null) {
                    throw id.invalid("defines the same zone twice");
                }
                if (zones.size() > MAX_ZONES) {
                    throw new InvalidCalendarException(
                            c.line, "VTIMEZONE", "is there more than " + MAX_ZONES + " times");
                }
            }
        }
        return zones;
    }

    private static ZoneRules rules(Component zone, ExpansionBudget budget) {
        TreeMap<Long, Onset> onsets = new TreeMap<>();
        Onset first = null;
        long firstAt = Long.MAX_VALUE;
        for (Component c : zone.children) {
            if (!c.name.equals("STANDARD") && !c.name.equals("DAYLIGHT")) {
                throw new InvalidCalendarException(c.line, c.name, "has no place in VTIMEZONE");
            }
            Onset onset =
                    new Onset(
                            ValueReader.offset(c.required("TZOFFSETFROM")),
                            ValueReader.offset(c.required("TZOFFSETTO")));
            MaintenanceEvent event = event(c, onset.before);
            if (event.start().toEpochMillis() < firstAt) {
                first = onset;
                firstAt = event.start().toEpochMillis();
            }
            Intervals at =
                    SiteCalendar.compile(
                                    "",
                                    "",
                                    List.of(event),
                                    FIRST_ONSET_MILLIS,
                                    LAST_ONSET_MILLIS,
                                    budget)
                            .closed();
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
        // An observance that began before 1900 applies from the start; a zone whose first onset is
        // later uses the offset before that onset until then.
        ZoneOffset base = firstAt < FIRST_ONSET_MILLIS ? first.after : first.before;
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
        ValueReader values = new ValueReader(before.getRules(), Map.of());
        Property p = c.required("DTSTART");
        ValueReader.Time start = values.time(p);
        if (start.allDay() || !start.floating()) {
            throw p.invalid("of an observance must be a local time without zone");
        }
        List<Recurrence> rules = new ArrayList<>();
        for (Property rule : c.all("RRULE")) {
            // The UNTIL of an observance is in UTC although its start is local.
            rules.add(
                    RuleReader.read(
                            rule, new ValueReader.Time(start.when(), false, true, false), values));
        }
        List<ExtraInstance> extras = new ArrayList<>();
        for (Property dates : c.all("RDATE")) {
            for (String date : dates.value().split(",", -1)) {
                ZonedTime when = values.time(dates.withValue(date)).when();
                extras.add(new ExtraInstance(when, EventDuration.exactly(1), dates.line()));
            }
        }
        return new MaintenanceEvent(
                c.name, c.line, start.when(), EventDuration.exactly(1), rules, extras, Set.of());
    }
}
