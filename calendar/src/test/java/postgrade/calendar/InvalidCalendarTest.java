package postgrade.calendar;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.time.Instant;
import org.junit.Test;
import postgrade.calendar.CalendarLoader.CheckResult;

/** Invalid calendars are rejected as a whole, with the line and property at fault. */
public class InvalidCalendarTest {

    private static final long NOW = Instant.parse("2026-06-01T00:00:00Z").toEpochMilli();

    /** Lines 1 to 4 precede the lines under test, which start at line 5. */
    private static final String HEADER =
            "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nBEGIN:VEVENT\r\nUID:a\r\n";

    private static final String START = "DTSTART:20260101T000000Z\r\n";

    private static CheckResult check(String lines) {
        return CalendarLoader.check(
                "a", "Europe/Zagreb", HEADER + lines + "\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n", NOW);
    }

    private static void assertInvalid(String lines, int line, String property, String sentence) {
        CheckResult result = check(lines);
        String excerpt = lines.substring(0, Math.min(200, lines.length()));
        assertFalse(excerpt, result.ok());
        assertEquals(excerpt + ": " + result.message(), line, result.line());
        assertEquals(excerpt, property, result.property());
        assertTrue(excerpt + ": " + result.message(), result.message().contains(sentence));
    }

    @Test
    public void invalidRules() {
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
            assertInvalid(START + "RRULE:" + rule[0], 6, "RRULE", rule[1]);
        }
    }

    @Test
    public void unknownZonesAndInvalidTimes() {
        assertInvalid(
                "DTSTART;TZID=Europe/Atlantis:20260101T000000", 5, "DTSTART", "Europe/Atlantis");
        assertInvalid("DTSTART:20260230T000000", 5, "DTSTART", "no date");
        assertInvalid("DTSTART:20260101", 5, "DTSTART", "VALUE=DATE");
        assertInvalid("DTSTART:20260101T250000Z", 5, "DTSTART", "time of day");
        assertInvalid("DTSTART;TZID=Europe/Zagreb:20260101T000000Z", 5, "DTSTART", "no TZID");
        assertInvalid("SUMMARY:no start", 3, "DTSTART", "missing");
        assertInvalid(START + "DTEND:20251231T000000Z", 6, "DTEND", "before");
        assertInvalid(START + "DURATION:-PT1H", 6, "DURATION", "negative");
        assertInvalid(START + "DURATION:P1DT", 6, "DURATION", "duration");
        assertInvalid(START + "EXDATE;VALUE=DATE:20260101", 6, "EXDATE", "date");
        assertInvalid(START + "DTSTART:20260101T000000Z", 6, "DTSTART", "twice");
        assertEquals("zone", CalendarLoader.check("a", "Mars/Base", HEADER, NOW).property());
    }

    @Test
    public void limitsAreEnforced() {
        assertInvalid(
                START + "DURATION:PT1S\r\nRRULE:FREQ=SECONDLY;INTERVAL=2",
                7,
                "RRULE",
                "occurrences");
        assertInvalid(
                START + "DURATION:PT1S\r\nRRULE:FREQ=SECONDLY;COUNT=2000000;BYMONTH=2",
                7,
                "RRULE",
                "steps");
        assertInvalid(
                "DTSTART:20300101T000000Z\r\nDURATION:PT1S\r\nRRULE:FREQ=SECONDLY",
                7,
                "RRULE",
                "occurrences");
        assertInvalid(START + "X-LONG:" + "x".repeat(10_000_000), 1, "VCALENDAR", "longer than");
        assertInvalid(
                START + "X-LONG:" + ("x".repeat(10_000) + "\r\n ").repeat(7),
                6,
                "X-LONG",
                "longer than");
        assertInvalid(START + "X" + ";A=b".repeat(10_000) + ":1", 6, "X", "no content line");
    }

    @Test
    public void malformedText() {
        assertInvalid(START + "DURATION PT1H", 6, "DURATION", "no content line");
        assertInvalid(START + "SUMMARY:folded\r\n  on\r\nRRULE:FREQ=NEVER", 8, "RRULE", "NEVER");
        assertInvalid(START + "BEGIN:VALARM\r\nTRIGGER:-PT1H", 8, "VCALENDAR", "cannot be read");
        for (String text : new String[] {"", "hello", "BEGIN:VCALENDAR\r\n", HEADER, "\0"}) {
            assertFalse(text, CalendarLoader.check("a", "Europe/Zagreb", text, NOW).ok());
        }
        String whole = HEADER + START + "END:VEVENT\r\nEND:VCALENDAR\r\n";
        assertTrue(CalendarLoader.check("a", "Europe/Zagreb", whole, NOW).ok());
        assertFalse(
                "two calendars in one text",
                CalendarLoader.check("a", "Europe/Zagreb", whole + whole, NOW).ok());
        for (int cut = 0; cut < whole.length() - 2; cut++) {
            assertFalse(
                    "truncated at " + cut,
                    CalendarLoader.check("a", "Europe/Zagreb", whole.substring(0, cut), NOW).ok());
        }
    }
}
