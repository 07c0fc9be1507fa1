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

    static String of(GeneratedCase m) {
        CalendarWriter t = new CalendarWriter();
        t.line("BEGIN:VCALENDAR").line("VERSION:2.0");
        if (m.ownZone != null) {
            t.zone(m.ownZone);
        }
        for (int i = 0; i < m.events.size(); i++) {
            t.maintenance("w" + i, m.events.get(i));
        }
        return t.line("END:VCALENDAR").out.toString();
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

    private void maintenance(String uid, Maintenance w) {
        line("BEGIN:VEVENT").line("UID:" + uid).line(stamp("DTSTART", w.start));
        if (w.statesEnd) {
            LocalDateTime end = w.start.local().plusDays(w.days).plusSeconds(w.seconds);
            line(
                    stamp(
                            "DTEND",
                            new LocalStamp(end, w.start.zoneId(), w.start.zone(), w.start.date())));
        } else {
            line(
                    "DURATION:P"
                            + (w.days > 0 ? w.days + "D" : "")
                            + (w.seconds > 0 || w.days == 0 ? "T" + w.seconds + "S" : ""));
        }
        if (w.rule != null) {
            line("RRULE:" + rule(w.rule));
        }
        w.extra.forEach(s -> line(stamp("RDATE", s)));
        w.excluded.forEach(s -> line(stamp("EXDATE", s)));
        line("END:VEVENT");
        for (LocalStamp[] pair : w.moved) {
            line("BEGIN:VEVENT")
                    .line("UID:" + uid)
                    .line(stamp("RECURRENCE-ID", pair[0]))
                    .line(stamp("DTSTART", pair[1]))
                    .line(pair[1].date() ? "DURATION:P1D" : "DURATION:PT" + w.movedSeconds + "S")
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

    private static String rule(Rule r) {
        StringBuilder t = new StringBuilder("FREQ=" + r.freq);
        t.append(r.interval > 1 ? ";INTERVAL=" + r.interval : "")
                .append(r.count > 0 ? ";COUNT=" + r.count : "")
                .append(r.until != null ? ";UNTIL=" + time(r.until) : "")
                .append(";WKST=")
                .append(DAYS[r.weekStart.getValue()]);
        list(t, "BYMONTH", r.month);
        list(t, "BYWEEKNO", r.weekNo);
        list(t, "BYYEARDAY", r.yearDay);
        list(t, "BYMONTHDAY", r.monthDay);
        list(t, "BYDAY", r.day.stream().map(d -> (d[0] == 0 ? "" : d[0]) + DAYS[d[1]]).toList());
        list(t, "BYHOUR", r.hour);
        list(t, "BYMINUTE", r.minute);
        list(t, "BYSECOND", r.second);
        list(t, "BYSETPOS", r.setPos);
        return t.toString();
    }

    private static void list(StringBuilder t, String name, List<?> all) {
        if (!all.isEmpty()) {
            t.append(';')
                    .append(name)
                    .append('=')
                    .append(all.stream().map(String::valueOf).collect(Collectors.joining(",")));
        }
    }
}
