package postgrade.calendar;

import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.calendar.Component.Property;
import postgrade.calendar.ValueReader.Time;
import postgrade.window.MaintenanceEvent;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.ExtraInstance;
import postgrade.window.Recurrence;

/**
 * Reads one VEVENT. A VEVENT with a RECURRENCE-ID replaces one instance of its master, which then
 * excludes that instance.
 */
final class EventReader {

    private static final int MAX_TITLE_LENGTH = 80;

    private final Component component;
    private final ValueReader values;
    private final Time start;

    EventReader(Component component, ValueReader values) {
        this.component = component;
        this.values = values;
        start = values.time(component.required("DTSTART"));
    }

    String uid() {
        return component.required("UID").value();
    }

    int line() {
        return component.line;
    }

    /** Returns the start of the instance that this event replaces; null for a master. */
    Long replacedInstance(Map<String, EventReader> masters) {
        Property recurrenceId = component.optional("RECURRENCE-ID");
        if (recurrenceId == null) {
            return null;
        }
        if (recurrenceId.parameters().containsKey("RANGE")) {
            throw recurrenceId.invalid(
                    "has RANGE, which is not supported: end the rule and begin another");
        }
        for (String forbidden : new String[] {"RRULE", "RDATE", "EXDATE"}) {
            if (!component.all(forbidden).isEmpty()) {
                throw component.all(forbidden).get(0).invalid("has no place beside RECURRENCE-ID");
            }
        }
        EventReader master = masters.get(uid());
        Time instance = values.time(recurrenceId);
        if (master != null && instance.allDay() != master.start.allDay()) {
            throw recurrenceId.invalid(
                    "must be a date where the master's DTSTART is one, and a time where it is not");
        }
        return instance.zonedTime().toEpochMillis();
    }

    /**
     * Returns whether the event is cancelled or marked as transparent, so that it does not close
     * the site.
     */
    boolean keepsSiteOpen() {
        Property status = component.optional("STATUS");
        Property transparent = component.optional("TRANSP");
        return status != null && status.value().equalsIgnoreCase("CANCELLED")
                || transparent != null && transparent.value().equalsIgnoreCase("TRANSPARENT");
    }

    MaintenanceEvent event(Set<Long> replaced) {
        EventDuration duration = duration();
        List<Recurrence> rules = new ArrayList<>();
        for (Property p : component.all("RRULE")) {
            rules.add(RuleReader.read(p, start, values));
        }
        if (!component.all("EXRULE").isEmpty()) {
            throw component.all("EXRULE").get(0).invalid("is not supported");
        }
        List<ExtraInstance> extras = new ArrayList<>();
        for (Property p : component.all("RDATE")) {
            for (String item : p.value().split(",", -1)) {
                extras.add(extraInstance(p.withValue(item), duration));
            }
        }
        Set<Long> excludedStarts = new HashSet<>(replaced);
        for (Property p : component.all("EXDATE")) {
            for (String item : p.value().split(",", -1)) {
                excludedStarts.add(timeOfSameType(p.withValue(item)).zonedTime().toEpochMillis());
            }
        }
        return new MaintenanceEvent(
                title(),
                component.line,
                start.zonedTime(),
                duration,
                rules,
                extras,
                Set.copyOf(excludedStarts));
    }

    private ExtraInstance extraInstance(Property p, EventDuration duration) {
        if (!p.valueType("DATE-TIME").equals("PERIOD")) {
            return new ExtraInstance(timeOfSameType(p).zonedTime(), duration, p.line());
        }
        String[] bounds = p.value().split("/", -1);
        if (bounds.length != 2) {
            throw p.invalid("must be a period such as 20260101T180000Z/PT1H");
        }
        Time from = values.time(p.withValue(bounds[0]), false);
        if (bounds[1].startsWith("P") || bounds[1].startsWith("-")) {
            return new ExtraInstance(
                    from.zonedTime(), ValueReader.duration(p, bounds[1]), p.line());
        }
        long millis =
                values.time(p.withValue(bounds[1]), false).zonedTime().toEpochMillis()
                        - from.zonedTime().toEpochMillis();
        if (millis < 0) {
            throw p.invalid("ends before it begins");
        }
        return new ExtraInstance(
                from.zonedTime(), ValueReader.boundedDuration(p, 0, millis), p.line());
    }

    private Time timeOfSameType(Property p) {
        Time time = values.time(p);
        if (time.allDay() != start.allDay()) {
            throw p.invalid("must be a date where DTSTART is one, and a time where it is not");
        }
        return time;
    }

    private EventDuration duration() {
        Property end = component.optional("DTEND");
        Property duration = component.optional("DURATION");
        if (duration != null) {
            if (end != null) {
                throw duration.invalid("stands beside DTEND");
            }
            EventDuration result = ValueReader.duration(duration, duration.value());
            if (start.allDay() && result.millis() > 0) {
                throw duration.invalid("must be in days or weeks where DTSTART is a date");
            }
            return result;
        }
        if (end == null) {
            return start.allDay() ? EventDuration.ofDays(1) : EventDuration.exactly(0);
        }
        Time until = timeOfSameType(end);
        long millis = until.zonedTime().toEpochMillis() - start.zonedTime().toEpochMillis();
        if (millis < 0) {
            throw end.invalid("lies before DTSTART");
        }
        if (start.allDay()) {
            return ValueReader.boundedDuration(
                    end,
                    ChronoUnit.DAYS.between(start.zonedTime().local(), until.zonedTime().local()),
                    0);
        }
        return ValueReader.boundedDuration(end, 0, millis);
    }

    private String title() {
        String text =
                component
                        .valueOrDefault("SUMMARY", uid())
                        .replaceAll("\\\\[nN]", " ")
                        .replaceAll("\\\\(.)", "$1");
        return text.length() <= MAX_TITLE_LENGTH ? text : text.substring(0, MAX_TITLE_LENGTH);
    }

    /** Groups masters by UID and applies the replacements of their instances. */
    static List<MaintenanceEvent> events(List<EventReader> readers) {
        Map<String, EventReader> masters = new HashMap<>();
        for (EventReader reader : readers) {
            if (reader.component.optional("RECURRENCE-ID") == null
                    && masters.put(reader.uid(), reader) != null) {
                throw reader.component.required("UID").invalid("is that of an earlier event");
            }
        }
        Map<String, Set<Long>> replaced = new HashMap<>();
        for (EventReader reader : readers) {
            Long instance = reader.replacedInstance(masters);
            if (instance != null
                    && !replaced.computeIfAbsent(reader.uid(), u -> new HashSet<>())
                            .add(instance)) {
                throw reader.component
                        .required("RECURRENCE-ID")
                        .invalid("is that of an earlier event");
            }
        }
        List<MaintenanceEvent> events = new ArrayList<>();
        for (EventReader reader : readers) {
            boolean master = reader.component.optional("RECURRENCE-ID") == null;
            MaintenanceEvent event =
                    reader.event(master ? replaced.getOrDefault(reader.uid(), Set.of()) : Set.of());
            if (!reader.keepsSiteOpen()) {
                events.add(event);
            }
        }
        return events;
    }
}
