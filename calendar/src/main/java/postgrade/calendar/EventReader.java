package postgrade.calendar;

import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.calendar.Component.Property;
import postgrade.calendar.Values.Time;
import postgrade.window.MaintenanceEvent;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.Extra;
import postgrade.window.Recurrence;

/**
 * One VEVENT. Those with a RECURRENCE-ID stand for one instance of their master, which leaves that
 * one out.
 */
final class EventReader {

    private static final int LONGEST_TITLE = 80;

    private final Component c;
    private final Values values;
    private final Time start;

    EventReader(Component c, Values values) {
        this.c = c;
        this.values = values;
        start = values.time(c.needed("DTSTART"));
    }

    String uid() {
        return c.needed("UID").value();
    }

    int line() {
        return c.line;
    }

    /** Null for a master. */
    Long replaces(Map<String, EventReader> masters) {
        Property p = c.one("RECURRENCE-ID");
        if (p == null) {
            return null;
        }
        if (p.parameters().containsKey("RANGE")) {
            throw p.faulty("has RANGE, which is not supported: end the rule and begin another");
        }
        for (String none : new String[] {"RRULE", "RDATE", "EXDATE"}) {
            if (!c.all(none).isEmpty()) {
                throw c.all(none).get(0).faulty("has no place beside RECURRENCE-ID");
            }
        }
        EventReader master = masters.get(uid());
        Time at = values.time(p);
        if (master != null && at.allDay() != master.start.allDay()) {
            throw p.faulty(
                    "must be a date where the master's DTSTART is one, and a time where it is not");
        }
        return at.when().millis();
    }

    /** Closes nothing: called off, or said to take no time. */
    boolean closesNothing() {
        Property status = c.one("STATUS");
        Property transparent = c.one("TRANSP");
        return status != null && status.value().equalsIgnoreCase("CANCELLED")
                || transparent != null && transparent.value().equalsIgnoreCase("TRANSPARENT");
    }

    MaintenanceEvent event(Set<Long> replaced) {
        EventDuration length = length();
        List<Recurrence> rules = new ArrayList<>();
        for (Property p : c.all("RRULE")) {
            rules.add(RuleReader.read(p, start, values));
        }
        if (!c.all("EXRULE").isEmpty()) {
            throw c.all("EXRULE").get(0).faulty("is not supported");
        }
        List<Extra> extras = new ArrayList<>();
        for (Property p : c.all("RDATE")) {
            for (String one : p.value().split(",", -1)) {
                extras.add(extra(p.with(one), length));
            }
        }
        Set<Long> without = new HashSet<>(replaced);
        for (Property p : c.all("EXDATE")) {
            for (String one : p.value().split(",", -1)) {
                without.add(sameKind(p.with(one)).when().millis());
            }
        }
        return new MaintenanceEvent(
                title(), c.line, start.when(), length, rules, extras, Set.copyOf(without));
    }

    private Extra extra(Property p, EventDuration length) {
        if (!p.kind("DATE-TIME").equals("PERIOD")) {
            return new Extra(sameKind(p).when(), length, p.line());
        }
        String[] both = p.value().split("/", -1);
        if (both.length != 2) {
            throw p.faulty("must be a period such as 20260101T180000Z/PT1H");
        }
        Time from = values.time(p.with(both[0]), false);
        if (both[1].startsWith("P") || both[1].startsWith("-")) {
            return new Extra(from.when(), Values.length(p, both[1]), p.line());
        }
        long millis = values.time(p.with(both[1]), false).when().millis() - from.when().millis();
        if (millis < 0) {
            throw p.faulty("ends before it begins");
        }
        return new Extra(from.when(), Values.bounded(p, 0, millis), p.line());
    }

    private Time sameKind(Property p) {
        Time time = values.time(p);
        if (time.allDay() != start.allDay()) {
            throw p.faulty("must be a date where DTSTART is one, and a time where it is not");
        }
        return time;
    }

    private EventDuration length() {
        Property end = c.one("DTEND");
        Property duration = c.one("DURATION");
        if (duration != null) {
            if (end != null) {
                throw duration.faulty("stands beside DTEND");
            }
            EventDuration length = Values.length(duration, duration.value());
            if (start.allDay() && length.millis() > 0) {
                throw duration.faulty("must be in days or weeks where DTSTART is a date");
            }
            return length;
        }
        if (end == null) {
            return start.allDay() ? EventDuration.ofDays(1) : EventDuration.exactly(0);
        }
        Time until = sameKind(end);
        long millis = until.when().millis() - start.when().millis();
        if (millis < 0) {
            throw end.faulty("lies before DTSTART");
        }
        if (start.allDay()) {
            return Values.bounded(
                    end, ChronoUnit.DAYS.between(start.when().local(), until.when().local()), 0);
        }
        return Values.bounded(end, 0, millis);
    }

    private String title() {
        String text =
                c.text("SUMMARY", uid()).replaceAll("\\\\[nN]", " ").replaceAll("\\\\(.)", "$1");
        return text.length() <= LONGEST_TITLE ? text : text.substring(0, LONGEST_TITLE);
    }

    /** Masters by their UID, and what replaces which instance of them. */
    static List<MaintenanceEvent> events(List<EventReader> all) {
        Map<String, EventReader> masters = new HashMap<>();
        for (EventReader e : all) {
            if (e.c.one("RECURRENCE-ID") == null && masters.put(e.uid(), e) != null) {
                throw e.c.needed("UID").faulty("is that of an earlier event");
            }
        }
        Map<String, Set<Long>> replaced = new HashMap<>();
        for (EventReader e : all) {
            Long instance = e.replaces(masters);
            if (instance != null
                    && !replaced.computeIfAbsent(e.uid(), u -> new HashSet<>()).add(instance)) {
                throw e.c.needed("RECURRENCE-ID").faulty("is that of an earlier event");
            }
        }
        List<MaintenanceEvent> events = new ArrayList<>();
        for (EventReader e : all) {
            boolean master = e.c.one("RECURRENCE-ID") == null;
            MaintenanceEvent event =
                    e.event(master ? replaced.getOrDefault(e.uid(), Set.of()) : Set.of());
            if (!e.closesNothing()) {
                events.add(event);
            }
        }
        return events;
    }
}
