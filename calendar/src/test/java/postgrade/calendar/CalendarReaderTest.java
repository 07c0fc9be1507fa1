package postgrade.calendar;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.junit.Test;
import postgrade.window.Intervals;
import postgrade.window.SiteCalendar;

/** Calendar texts and the times at which they close the site. */
public class CalendarReaderTest {

    private static String closedTimes(String zone, String from, String to, String... lines) {
        String calendarText =
                "BEGIN:VCALENDAR\nVERSION:2.0\n" + String.join("\n", lines) + "\nEND:VCALENDAR\n";
        Intervals closed =
                SiteCalendar.compile(
                                "a",
                                "1",
                                CalendarReader.read(zone, calendarText),
                                Instant.parse(from + ":00Z").toEpochMilli(),
                                Instant.parse(to + ":00Z").toEpochMilli())
                        .closed();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < closed.size(); i++) {
            text.append(i == 0 ? "" : " ")
                    .append(Instant.ofEpochMilli(closed.from(i)).toString(), 5, 16)
                    .append('/')
                    .append(Instant.ofEpochMilli(closed.to(i)).toString(), 5, 16);
        }
        return text.toString();
    }

    private static String event(String uid, String... lines) {
        return "BEGIN:VEVENT\nUID:" + uid + "\n" + String.join("\n", lines) + "\nEND:VEVENT";
    }

    @Test
    public void datesAndFloatingTimesUseSiteZoneAndZonedTimesTheirOwn() {
        assertEquals(
                "10-24T22:00/10-25T23:00",
                closedTimes(
                        "Europe/Zagreb",
                        "2026-10-20T00:00",
                        "2026-10-30T00:00",
                        event("a", "DTSTART;VALUE=DATE:20261025")));
        assertEquals(
                "10-24T07:00/10-24T08:00 10-24T10:00/10-24T11:00 10-24T12:00/10-24T13:00",
                closedTimes(
                        "America/New_York",
                        "2026-10-20T00:00",
                        "2026-10-30T00:00",
                        event("a", "DTSTART:20261024T060000", "DURATION:PT1H"),
                        event("b", "DTSTART:20261024T120000Z", "DURATION:PT1H"),
                        event(
                                "c",
                                "DTSTART;TZID=Europe/Zagreb:20261024T090000",
                                "DTEND;TZID=Europe/London:20261024T090000")));
    }

    @Test
    public void nominalDayIsNot24HoursAndExplicitEndIsExact() {
        String start = "DTSTART;TZID=Europe/Zagreb:20261024T120000";
        assertEquals(
                "10-24T10:00/10-25T11:00",
                closedTimes(
                        "UTC",
                        "2026-10-20T00:00",
                        "2026-10-30T00:00",
                        event("a", start, "DURATION:P1D")));
        assertEquals(
                "10-24T10:00/10-25T10:00",
                closedTimes(
                        "UTC",
                        "2026-10-20T00:00",
                        "2026-10-30T00:00",
                        event("a", start, "DURATION:PT24H")));
        assertEquals(
                "10-24T10:00/10-25T13:00",
                closedTimes(
                        "UTC",
                        "2026-10-20T00:00",
                        "2026-10-30T00:00",
                        event("a", start, "DURATION:P1DT2H")));
        assertEquals(
                "03-27T11:00/03-28T11:00",
                closedTimes(
                        "UTC",
                        "2027-03-27T00:00",
                        "2027-03-28T11:00",
                        event(
                                "a",
                                "DTSTART;TZID=Europe/Zagreb:20270320T120000",
                                "DTEND;TZID=Europe/Zagreb:20270321T120000",
                                "RRULE:FREQ=WEEKLY")));
    }

    @Test
    public void instancesAreExcludedAddedAndMoved() {
        assertEquals(
                "01-01T06:00/01-01T07:00 01-03T09:00/01-03T09:30 01-05T06:00/01-05T07:00 01-09T00:00/01-09T02:00",
                closedTimes(
                        "UTC",
                        "2026-01-01T00:00",
                        "2026-02-01T00:00",
                        event(
                                "a",
                                "DTSTART:20260101T060000Z",
                                "DURATION:PT1H",
                                "RRULE:FREQ=DAILY;UNTIL=20260106T055959Z",
                                "EXDATE:20260102T060000Z",
                                "RDATE;VALUE=PERIOD:20260109T000000Z/PT2H"),
                        event(
                                "a",
                                "RECURRENCE-ID:20260103T060000Z",
                                "DTSTART:20260103T090000Z",
                                "DURATION:PT30M"),
                        event(
                                "a",
                                "RECURRENCE-ID:20260104T060000Z",
                                "DTSTART:20260104T060000Z",
                                "DURATION:PT30M",
                                "STATUS:CANCELLED"),
                        event(
                                "b",
                                "DTSTART:20260120T060000Z",
                                "DURATION:PT1H",
                                "TRANSP:TRANSPARENT")));
    }

    @Test
    public void calendarZoneTakesPrecedenceOverSystemZone() {
        String zone =
                "BEGIN:VTIMEZONE\nTZID:Europe/Zagreb\nBEGIN:STANDARD\nDTSTART:20001029T040000\n"
                        + "TZOFFSETFROM:+0500\nTZOFFSETTO:+0400\nRRULE:FREQ=YEARLY;BYMONTH=10;BYDAY=-1SU\nEND:STANDARD\n"
                        + "BEGIN:DAYLIGHT\n"
                        + "DTSTART:20000326T030000\nTZOFFSETFROM:+0400\nTZOFFSETTO:+0500\n"
                        + "RRULE:FREQ=YEARLY;BYMONTH=3;BYDAY=-1SU\n"
                        + "END:DAYLIGHT\nEND:VTIMEZONE";
        assertEquals(
                "10-24T05:00/10-25T06:00",
                closedTimes(
                        "Europe/Zagreb",
                        "2026-10-20T00:00",
                        "2026-10-30T00:00",
                        zone,
                        event("a", "DTSTART;TZID=Europe/Zagreb:20261024T100000", "DURATION:P1D")));
    }

    @Test
    public void unboundedRulesAreExpandedAndZoneUpdatesAreDisabled() {
        assertTrue(
                closedTimes(
                                "UTC",
                                "2090-02-27T00:00",
                                "2096-03-02T00:00",
                                event(
                                        "a",
                                        "DTSTART;VALUE=DATE:19000228",
                                        "RRULE:FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=-1"))
                        .endsWith("02-29T00:00/03-01T00:00"));
        assertEquals("false", System.getProperty("net.fortuna.ical4j.timezone.update.enabled"));
        assertEquals(
                List.of(),
                CalendarReader.read("UTC", "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nEND:VCALENDAR"));
    }
}
