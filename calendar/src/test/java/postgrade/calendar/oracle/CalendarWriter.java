package postgrade.calendar.oracle;

import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.stream.Collectors;
import postgrade.calendar.oracle.GeneratedCase.LocalStamp;
import postgrade.calendar.oracle.GeneratedCase.Maintenance;
import postgrade.calendar.oracle.GeneratedCase.Rule;

/** Renders a case as iCalendar text. */
final class CalendarWriter {

    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("uuuuMMdd'T'HHmmss");
    private static final DateTimeFormatter DATE = DateTimeFormatter.ofPattern("uuuuMMdd");
    private static final String[] DAYS = {"", "MO", "TU", "WE", "TH", "FR", "SA", "SU"};

    private final StringBuilder out = new StringBuilder();

    static String of(GeneratedCase generated) {
        CalendarWriter writer = new CalendarWriter();
        writer.line("BEGIN:VCALENDAR").line("VERSION:2.0");
        if (generated.ownZone != null) {
            writer.zone(generated.ownZone);
        }
        for (int i = 0; i < generated.events.size(); i++) {
            writer.maintenance("w" + i, generated.events.get(i));
        }
        return writer.line("END:VCALENDAR").out.toString();
    }

    private CalendarWriter line(String text) {
        // Lines are folded, as RFC 5545 allows.
        for (int at = 0; at < text.length(); at += 60) {
            out.append(at == 0 ? "" : " ")
                    .append(text, at, Math.min(text.length(), at + 60))
                    .append("\r\n");
        }
        return this;
    }

    private void zone(int[] definition) {
        line("BEGIN:VTIMEZONE").line("TZID:Own");
        for (int i = 0; i < 2; i++) {
            String name = i == 0 ? "DAYLIGHT" : "STANDARD";
            LocalDateTime onset =
                    GeneratedZones.onset(1990, definition[2 + 2 * i], definition[3 + 2 * i]);
            line("BEGIN:" + name)
                    .line("DTSTART:" + TIME.format(onset))
                    .line("TZOFFSETFROM:" + offset(definition[i]))
                    .line("TZOFFSETTO:" + offset(definition[1 - i]))
                    .line(
                            "RRULE:FREQ=YEARLY;BYMONTH="
                                    + definition[2 + 2 * i]
                                    + ";BYDAY="
                                    + definition[3 + 2 * i]
                                    + "SU")
                    .line("END:" + name);
        }
        line("END:VTIMEZONE");
    }

    private static String offset(int seconds) {
        int s = Math.abs(seconds);
        return String.format("%s%02d%02d", seconds < 0 ? "-" : "+", s / 3600, s / 60 % 60);
    }

    private void maintenance(String uid, Maintenance event) {
        line("BEGIN:VEVENT").line("UID:" + uid).line(stamp("DTSTART", event.start));
        if (event.statesEnd) {
            LocalDateTime end = event.start.local().plusDays(event.days).plusSeconds(event.seconds);
            line(
                    stamp(
                            "DTEND",
                            new LocalStamp(
                                    end,
                                    event.start.zoneId(),
                                    event.start.zone(),
                                    event.start.date())));
        } else {
            line(
                    "DURATION:P"
                            + (event.days > 0 ? event.days + "D" : "")
                            + (event.seconds > 0 || event.days == 0
                                    ? "T" + event.seconds + "S"
                                    : ""));
        }
        if (event.rule != null) {
            line("RRULE:" + rule(event.rule));
        }
        event.extra.forEach(s -> line(stamp("RDATE", s)));
        event.excluded.forEach(s -> line(stamp("EXDATE", s)));
        line("END:VEVENT");
        for (LocalStamp[] move : event.moved) {
            line("BEGIN:VEVENT")
                    .line("UID:" + uid)
                    .line(stamp("RECURRENCE-ID", move[0]))
                    .line(stamp("DTSTART", move[1]))
                    .line(
                            move[1].date()
                                    ? "DURATION:P1D"
                                    : "DURATION:PT" + event.movedSeconds + "S")
                    .line("END:VEVENT");
        }
    }

    private static String stamp(String name, LocalStamp s) {
        if (s.date()) {
            return name + ";VALUE=DATE:" + DATE.format(s.local());
        }
        return name
                + (s.zoneId() == null
                        ? ":"
                        : s.zoneId().equals("Z") ? ":" : ";TZID=" + s.zoneId() + ":")
                + time(s);
    }

    private static String time(LocalStamp s) {
        return s.date()
                ? DATE.format(s.local())
                : TIME.format(s.local()) + ("Z".equals(s.zoneId()) ? "Z" : "");
    }

    private static String rule(Rule rule) {
        StringBuilder text = new StringBuilder("FREQ=" + rule.freq);
        text.append(rule.interval > 1 ? ";INTERVAL=" + rule.interval : "")
                .append(rule.count > 0 ? ";COUNT=" + rule.count : "")
                .append(rule.until != null ? ";UNTIL=" + time(rule.until) : "")
                .append(";WKST=")
                .append(DAYS[rule.weekStart.getValue()]);
        list(text, "BYMONTH", rule.month);
        list(text, "BYWEEKNO", rule.weekNo);
        list(text, "BYYEARDAY", rule.yearDay);
        list(text, "BYMONTHDAY", rule.monthDay);
        list(
                text,
                "BYDAY",
                rule.day.stream().map(d -> (d[0] == 0 ? "" : d[0]) + DAYS[d[1]]).toList());
        list(text, "BYHOUR", rule.hour);
        list(text, "BYMINUTE", rule.minute);
        list(text, "BYSECOND", rule.second);
        list(text, "BYSETPOS", rule.setPos);
        return text.toString();
    }

    private static void list(StringBuilder text, String name, List<?> values) {
        if (!values.isEmpty()) {
            text.append(';')
                    .append(name)
                    .append('=')
                    .append(values.stream().map(String::valueOf).collect(Collectors.joining(",")));
        }
    }
}
