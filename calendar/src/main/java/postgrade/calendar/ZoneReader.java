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
        for (Component component : calendar.children) {
            if (component.name.equals("VTIMEZONE")) {
                Property id = component.required("TZID");
                if (zones.put(id.value(), rules(component, budget)) != null) {
                    throw id.invalid("defines the same zone twice");
                }
                if (zones.size() > MAX_ZONES) {
                    throw new InvalidCalendarException(
                            component.line,
                            "VTIMEZONE",
                            "is there more than " + MAX_ZONES + " times");
                }
            }
        }
        return zones;
    }

    private static ZoneRules rules(Component zone, ExpansionBudget budget) {
        TreeMap<Long, Onset> onsets = new TreeMap<>();
        Onset first = null;
        long firstAt = Long.MAX_VALUE;
        for (Component observance : zone.children) {
            if (!observance.name.equals("STANDARD") && !observance.name.equals("DAYLIGHT")) {
                throw new InvalidCalendarException(
                        observance.line, observance.name, "has no place in VTIMEZONE");
            }
            Onset onset =
                    new Onset(
                            ValueReader.offset(observance.required("TZOFFSETFROM")),
                            ValueReader.offset(observance.required("TZOFFSETTO")));
            MaintenanceEvent event = event(observance, onset.before);
            if (event.start().toEpochMillis() < firstAt) {
                first = onset;
                firstAt = event.start().toEpochMillis();
            }
            Intervals onsetTimes =
                    SiteCalendar.compile(
                                    "",
                                    "",
                                    List.of(event),
                                    FIRST_ONSET_MILLIS,
                                    LAST_ONSET_MILLIS,
                                    budget)
                            .closed();
            for (int i = 0; i < onsetTimes.size(); i++) {
                onsets.put(onsetTimes.from(i), onset);
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
        ZoneOffset current = base;
        List<ZoneOffsetTransition> transitions = new ArrayList<>();
        for (Map.Entry<Long, Onset> e : onsets.entrySet()) {
            ZoneOffset after = e.getValue().after;
            if (!after.equals(current)) {
                transitions.add(
                        ZoneOffsetTransition.of(
                                LocalDateTime.ofEpochSecond(
                                        Math.floorDiv(e.getKey(), 1000L), 0, current),
                                current,
                                after));
                current = after;
            }
        }
        return ZoneRules.of(base, base, List.of(), transitions, List.of());
    }

    private static MaintenanceEvent event(Component observance, ZoneOffset before) {
        ValueReader values = new ValueReader(before.getRules(), Map.of());
        Property property = observance.required("DTSTART");
        ValueReader.Time start = values.time(property);
        if (start.allDay() || !start.floating()) {
            throw property.invalid("of an observance must be a local time without zone");
        }
        List<Recurrence> rules = new ArrayList<>();
        for (Property rule : observance.all("RRULE")) {
            // The UNTIL of an observance is in UTC although its start is local.
            rules.add(
                    RuleReader.read(
                            rule,
                            new ValueReader.Time(start.zonedTime(), false, true, false),
                            values));
        }
        List<ExtraInstance> extras = new ArrayList<>();
        for (Property dates : observance.all("RDATE")) {
            for (String date : dates.value().split(",", -1)) {
                ZonedTime when = values.time(dates.withValue(date)).zonedTime();
                extras.add(new ExtraInstance(when, EventDuration.exactly(1), dates.line()));
            }
        }
        return new MaintenanceEvent(
                observance.name,
                observance.line,
                start.zonedTime(),
                EventDuration.exactly(1),
                rules,
                extras,
                Set.of());
    }
}
