package postgrade.calendar;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.time.Instant;
import org.junit.Test;
import postgrade.calendar.CalendarLoader.CheckResult;

/** Faulty calendars are turned down whole, with the line and property at fault. */
public class FaultyCalendarsTest {

    private static final long NOW = Instant.parse("2026-06-01T00:00:00Z").toEpochMilli();

    /** Lines 1 to 4 stand before what is tried, which begins at line 5. */
    private static final String BEFORE =
            "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nBEGIN:VEVENT\r\nUID:a\r\n";

    private static final String START = "DTSTART:20260101T000000Z\r\n";

    private static CheckResult check(String lines) {
        return CalendarLoader.check(
                "a", "Europe/Zagreb", BEFORE + lines + "\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n", NOW);
    }

    private static void down(String lines, int line, String property, String sentence) {
        CheckResult r = check(lines);
        String shown = lines.substring(0, Math.min(200, lines.length()));
        assertFalse(shown, r.ok());
        assertEquals(shown + ": " + r.message(), line, r.line());
        assertEquals(shown, property, r.property());
        assertTrue(shown + ": " + r.message(), r.message().contains(sentence));
    }

    @Test
    public void badRules() {
        for (String[] rule :
                new String[][] {
                    {"FREQ=FORTNIGHTLY", "FORTNIGHTLY"},
                    {"BYDAY=MO", "FREQ"},
                    {"FREQ=DAILY;BYHOUR=25", "25"},
                    {"FREQ=DAILY;FREQ=WEEKLY", "twice"},
                    {"FREQ=DAILY;INTERVAL=0", "INTERVAL"},
                    {"FREQ=DAILY;COUNT=-1", "COUNT"},
                    {"FREQ=DAILY;COUNT=2;UNTIL=20270101T000000Z", "both"},
                    {"FREQ=DAILY;UNTIL=20270101", "is a date"},
                    {"FREQ=DAILY;UNTIL=20270101T000000", "not in UTC"},
                    {"FREQ=DAILY;FOO=1", "FOO"},
                    {"FREQ=DAILY;", "without a name"},
                    {"FREQ=WEEKLY;BYDAY=1MO", "numbers"},
                    {"FREQ=MONTHLY;BYWEEKNO=3", "BYWEEKNO"},
                    {"FREQ=WEEKLY;BYMONTHDAY=3", "BYMONTHDAY"},
                    {"FREQ=MONTHLY;BYSETPOS=1", "alone"},
                    {"FREQ=YEARLY;RSCALE=CHINESE", "RSCALE"},
                    {"FREQ=DAILY;BYSECOND=60", "60"},
                    {"FREQ=DAILY;INTERVAL=9999999999", "INTERVAL"}
                }) {
            down(START + "RRULE:" + rule[0], 6, "RRULE", rule[1]);
        }
    }

    @Test
    public void unknownZonesAndTimesThatAreNone() {
        down("DTSTART;TZID=Europe/Atlantis:20260101T000000", 5, "DTSTART", "Europe/Atlantis");
        down("DTSTART:20260230T000000", 5, "DTSTART", "no date");
        down("DTSTART:20260101", 5, "DTSTART", "VALUE=DATE");
        down("DTSTART:20260101T250000Z", 5, "DTSTART", "time of day");
        down("DTSTART;TZID=Europe/Zagreb:20260101T000000Z", 5, "DTSTART", "no TZID");
        down("SUMMARY:no start", 3, "DTSTART", "missing");
        down(START + "DTEND:20251231T000000Z", 6, "DTEND", "before");
        down(START + "DURATION:-PT1H", 6, "DURATION", "negative");
        down(START + "DURATION:P1DT", 6, "DURATION", "duration");
        down(START + "EXDATE;VALUE=DATE:20260101", 6, "EXDATE", "date");
        down(START + "DTSTART:20260101T000000Z", 6, "DTSTART", "twice");
        assertEquals("zone", CalendarLoader.check("a", "Mars/Base", BEFORE, NOW).property());
    }

    @Test
    public void tooMuch() {
        down(START + "DURATION:PT1S\r\nRRULE:FREQ=SECONDLY;INTERVAL=2", 7, "RRULE", "occurrences");
        down(
                START + "DURATION:PT1S\r\nRRULE:FREQ=SECONDLY;COUNT=2000000;BYMONTH=2",
                7,
                "RRULE",
                "steps");
        down(
                "DTSTART:20300101T000000Z\r\nDURATION:PT1S\r\nRRULE:FREQ=SECONDLY",
                7,
                "RRULE",
                "occurrences");
        down(START + "X-LONG:" + "x".repeat(10_000_000), 1, "VCALENDAR", "longer than");
        down(
                START + "X-LONG:" + ("x".repeat(10_000) + "\r\n ").repeat(7),
                6,
                "X-LONG",
                "longer than");
        down(START + "X" + ";A=b".repeat(10_000) + ":1", 6, "X", "no content line");
    }

    @Test
    public void brokenText() {
        down(START + "DURATION PT1H", 6, "DURATION", "no content line");
        down(START + "SUMMARY:folded\r\n  on\r\nRRULE:FREQ=NEVER", 8, "RRULE", "NEVER");
        down(START + "BEGIN:VALARM\r\nTRIGGER:-PT1H", 8, "VCALENDAR", "cannot be read");
        for (String text : new String[] {"", "hello", "BEGIN:VCALENDAR\r\n", BEFORE, "\0"}) {
            assertFalse(text, CalendarLoader.check("a", "Europe/Zagreb", text, NOW).ok());
        }
        String whole = BEFORE + START + "END:VEVENT\r\nEND:VCALENDAR\r\n";
        assertTrue(CalendarLoader.check("a", "Europe/Zagreb", whole, NOW).ok());
        assertFalse(
                "two of them", CalendarLoader.check("a", "Europe/Zagreb", whole + whole, NOW).ok());
        for (int cut = 0; cut < whole.length() - 2; cut++) {
            assertFalse(
                    "cut at " + cut,
                    CalendarLoader.check("a", "Europe/Zagreb", whole.substring(0, cut), NOW).ok());
        }
    }
}
