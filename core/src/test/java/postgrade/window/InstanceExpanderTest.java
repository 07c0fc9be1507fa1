package postgrade.window;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;
import static postgrade.window.TestTimes.HOUR;
import static postgrade.window.TestTimes.ZAGREB;
import static postgrade.window.TestTimes.compile;
import static postgrade.window.TestTimes.event;
import static postgrade.window.TestTimes.format;
import static postgrade.window.TestTimes.zone;

import java.time.DayOfWeek;
import java.util.List;
import org.junit.Test;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.Recurrence.Frequency;
import postgrade.window.Recurrence.NthWeekday;

/** Expansion across clock changes, omitted days and unbounded rules. */
public class InstanceExpanderTest {

    private static final Recurrence DAILY = Recurrence.of(Frequency.DAY, 1);

    @Test
    public void nominalDayLasts25HoursWhenClocksGoBackAndExact24HoursLast24() {
        assertEquals(
                "2026-10-24T22:00:00Z/2026-10-25T23:00:00Z",
                format(
                        compile(
                                        "2026-10-01T00:00:00Z",
                                        "2026-11-01T00:00:00Z",
                                        event("2026-10-25T00:00", ZAGREB, EventDuration.ofDays(1)))
                                .closed()));
        assertEquals(
                "2026-10-24T22:00:00Z/2026-10-25T22:00:00Z",
                format(
                        compile(
                                        "2026-10-01T00:00:00Z",
                                        "2026-11-01T00:00:00Z",
                                        event(
                                                "2026-10-25T00:00",
                                                ZAGREB,
                                                EventDuration.exactly(24 * HOUR)))
                                .closed()));
    }

    @Test
    public void ambiguousLocalTimeMeansFirstOccurrence() {
        assertEquals(
                "2026-10-25T00:30:00Z/2026-10-25T01:30:00Z",
                format(
                        compile(
                                        "2026-10-25T00:00:00Z",
                                        "2026-10-26T00:00:00Z",
                                        event(
                                                "2026-10-25T02:30",
                                                ZAGREB,
                                                EventDuration.exactly(HOUR)))
                                .closed()));
    }

    @Test
    public void localTimeInGapUsesOffsetBeforeGapAndLaterInstancesAreUnaffected() {
        assertEquals(
                "2027-03-27T01:30:00Z/2027-03-27T01:45:00Z 2027-03-28T01:30:00Z/2027-03-28T01:45:00Z "
                        + "2027-03-29T00:30:00Z/2027-03-29T00:45:00Z",
                format(
                        compile(
                                        "2027-03-27T00:00:00Z",
                                        "2027-03-30T00:00:00Z",
                                        event(
                                                        "2020-01-01T02:30",
                                                        ZAGREB,
                                                        EventDuration.exactly(HOUR / 4))
                                                .withRule(DAILY))
                                .closed()));
    }

    @Test
    public void halfHourTransitionOfLordHowe() {
        // At 2026-10-04 02:00 clocks go to 02:30: offset +10:30 before, +11 after.
        assertEquals(
                "2026-10-03T13:30:00Z/2026-10-04T13:00:00Z",
                format(
                        compile(
                                        "2026-10-01T00:00:00Z",
                                        "2026-10-08T00:00:00Z",
                                        event(
                                                "2026-10-04T00:00",
                                                zone("Australia/Lord_Howe"),
                                                EventDuration.ofDays(1)))
                                .closed()));
    }

    @Test
    public void dayOmittedByApiaFallsOnNextDay() {
        assertEquals(
                "2011-12-29T20:00:00Z/2011-12-29T21:00:00Z 2011-12-30T20:00:00Z/2011-12-30T21:00:00Z "
                        + "2011-12-31T20:00:00Z/2011-12-31T21:00:00Z",
                format(
                        compile(
                                        "2011-12-29T12:00:00Z",
                                        "2012-01-01T12:00:00Z",
                                        event(
                                                        "2011-12-01T10:00",
                                                        zone("Pacific/Apia"),
                                                        EventDuration.exactly(HOUR))
                                                .withRule(DAILY))
                                .closed()));
    }

    @Test
    public void leapDayRecursOnlyInLeapYears() {
        assertEquals(
                "2028-02-29T00:00:00Z/2028-03-01T00:00:00Z 2032-02-29T00:00:00Z/2032-03-01T00:00:00Z",
                format(
                        compile(
                                        "2025-01-01T00:00:00Z",
                                        "2036-01-01T00:00:00Z",
                                        event(
                                                        "2024-02-29T00:00",
                                                        zone("UTC"),
                                                        EventDuration.ofDays(1))
                                                .withRule(Recurrence.of(Frequency.YEAR, 1)))
                                .closed()));
    }

    @Test
    public void unboundedRuleIsExpandedWithinHorizon() {
        MaintenanceEvent unbounded =
                event("1970-01-01T06:00", zone("UTC"), EventDuration.exactly(HOUR)).withRule(DAILY);
        assertEquals(
                2,
                compile("2026-01-01T00:00:00Z", "2026-01-03T00:00:00Z", unbounded).closed().size());
        assertEquals(
                10,
                compile("2026-01-01T00:00:00Z", "2026-01-11T00:00:00Z", unbounded).closed().size());
    }

    @Test
    public void lastWeekdayOfMonthWithCount() {
        Recurrence lastFriday =
                Recurrence.of(Frequency.MONTH, 1)
                        .withWeekdays(List.of(new NthWeekday(-1, DayOfWeek.FRIDAY)))
                        .withCount(3);
        assertEquals(
                "2026-01-30T12:00:00Z/2026-01-30T13:00:00Z 2026-02-27T12:00:00Z/2026-02-27T13:00:00Z "
                        + "2026-03-27T12:00:00Z/2026-03-27T13:00:00Z",
                format(
                        compile(
                                        "2026-01-01T00:00:00Z",
                                        "2027-01-01T00:00:00Z",
                                        event(
                                                        "2026-01-30T12:00",
                                                        zone("UTC"),
                                                        EventDuration.exactly(HOUR))
                                                .withRule(lastFriday))
                                .closed()));
    }

    @Test
    public void occurrenceAndStepLimitsAreEnforced() {
        InvalidCalendarException fault =
                assertThrows(
                        InvalidCalendarException.class,
                        () ->
                                compile(
                                        "2026-01-01T00:00:00Z",
                                        "2026-04-01T00:00:00Z",
                                        event(
                                                        "2026-01-01T00:00",
                                                        zone("UTC"),
                                                        EventDuration.exactly(1))
                                                .withRule(Recurrence.of(Frequency.SECOND, 1))));
        assertEquals("RRULE", fault.property());
        assertTrue(fault.description(), fault.description().contains("over 100000 occurrences"));
        assertThrows(
                "step limit without any occurrence",
                InvalidCalendarException.class,
                () ->
                        compile(
                                "2026-01-01T00:00:00Z",
                                "2026-04-01T00:00:00Z",
                                event("2026-01-01T00:00", zone("UTC"), EventDuration.exactly(0))
                                        .withRule(Recurrence.of(Frequency.SECOND, 1))));
    }
}
