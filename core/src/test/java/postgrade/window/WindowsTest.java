package postgrade.window;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;
import static postgrade.window.Times.HOUR;
import static postgrade.window.Times.ZAGREB;
import static postgrade.window.Times.utc;
import static postgrade.window.Times.zone;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import postgrade.window.Exclusion.Reason;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.StartWindows.Result;

/** When jobs may start. */
public class WindowsTest {

    private static final SiteCalendar NIGHT = closed("a", 1000, 2000, 3000, 4000);
    private static final SiteCalendar OTHER = closed("b", 500, 1800);

    private static SiteCalendar closed(String site, long... fromTo) {
        List<MaintenanceEvent> events = new ArrayList<>();
        for (int i = 0; i < fromTo.length; i += 2) {
            MaintenanceEvent.ZonedTime start =
                    new MaintenanceEvent.ZonedTime(
                            LocalTimes.local(fromTo[i], zone("UTC")), zone("UTC"));
            events.add(
                    MaintenanceEvent.once(
                            "works " + i / 2,
                            start,
                            EventDuration.exactly(fromTo[i + 1] - fromTo[i])));
        }
        return SiteCalendar.compile(site, "1", events, -1000, 10_000);
    }

    private static Result ask(long earliest, long deadline, long lasts, long now, long error) {
        return StartWindows.query(
                new StartPlan(earliest, deadline, lasts, List.of("a", "b", "c")),
                Map.of("a", NIGHT, "b", OTHER)::get,
                now,
                error);
    }

    @Test
    public void aJobMayEndWhereMaintenanceBeginsAndStartWhereItEnds() {
        Result answer = ask(0, 5000, 300, 0, 0);
        assertEquals("[0,701) [2000,2701) [4000,4701)", answer.bySite().get(0).starts().toString());
        assertEquals("[0,201) [1800,4701)", answer.bySite().get(1).starts().toString());
        assertEquals("[0,701) [1800,4701)", answer.anySite().toString());
        assertTrue(answer.mayStart(0));
        assertEquals(1800, ask(0, 5000, 300, 701, 0).opensAt());
    }

    @Test
    public void eachExclusionHasItsReason() {
        Result answer = ask(100, 5000, 300, 0, 0);
        List<Exclusion> of = answer.bySite().get(0).exclusions();
        assertEquals(
                List.of(Reason.TOO_EARLY, Reason.MAINTENANCE, Reason.MAINTENANCE, Reason.TOO_LATE),
                of.stream().map(Exclusion::reason).toList());
        assertEquals(
                new Exclusion(2701, 4000, "a", Reason.MAINTENANCE, "works 1 (line 0)"), of.get(2));
        assertEquals("c", answer.unknownSites().get(0).site());
        assertEquals(1 + 4 + 1, answer.exclusions().size());
    }

    @Test
    public void theClocksErrorMakesMaintenanceLongerAtBothEnds() {
        assertEquals(
                "[0,651) [2050,2651) [4050,4701)",
                ask(0, 5000, 300, 0, 50).bySite().get(0).starts().toString());
    }

    @Test
    public void windowsOfOneInstantAreOpenForAMillisecondAndEmptyOnesAreNot() {
        assertEquals(
                "what just fits between two",
                "[2000,2001)",
                ask(1500, 3500, 1000, 0, 0).bySite().get(0).starts().toString());
        assertTrue(
                "a millisecond too long",
                ask(1500, 3500, 1001, 0, 0).bySite().get(0).starts().isEmpty());
        assertEquals(
                "due just when it would end",
                "[100,101)",
                ask(100, 400, 300, 0, 0).anySite().toString());
        assertEquals(StartWindows.NEVER, ask(101, 400, 300, 0, 0).opensAt());
    }

    @Test
    public void aJobThatTakesNoTimeDoesNotStartInMaintenanceEither() {
        assertEquals(
                "[900,1000) [2000,2101)",
                ask(900, 2100, 0, 0, 0).bySite().get(0).starts().toString());
        assertEquals(
                "maintenance of no length closes nothing",
                "[0,6001)",
                StartWindows.query(
                                new StartPlan(0, 6000, 0, List.of("a")),
                                s -> closed("a", 1000, 1000),
                                0,
                                5)
                        .anySite()
                        .toString());
    }

    @Test
    public void beyondTheHorizonNothingIsKnownSoNothingStarts() {
        Result answer = ask(8000, 12_000, 500, 0, 10);
        assertEquals("[8000,9491)", answer.anySite().toString());
        assertTrue(
                answer.exclusions()
                        .contains(
                                new Exclusion(
                                        9491,
                                        11_501,
                                        "a",
                                        Reason.BEYOND_HORIZON,
                                        "after what is worked out")));
        assertFalse(
                StartWindows.able(new StartPlan(0, 50_000, 500, List.of("a")), NIGHT, 9_600, 0));
    }

    @Test
    public void theQuickAnswerIsTheFullOne() {
        for (long now = 0; now < 6000; now += 7) {
            for (long lasts : new long[] {0, 1, 300, 999, 1000, 1200}) {
                StartPlan plan = new StartPlan(0, 5500, lasts, List.of("a", "b"));
                Result full = StartWindows.query(plan, Map.of("a", NIGHT, "b", OTHER)::get, now, 3);
                assertEquals(
                        full.opensAt(),
                        StartWindows.opens(plan, Map.of("a", NIGHT, "b", OTHER)::get, now, 3));
                assertEquals(
                        full.bySite().get(0).starts().contains(now),
                        StartWindows.able(plan, NIGHT, now, 3));
            }
        }
    }

    @Test
    public void aDailyDeadlineIsTheNextOneAfterTheEarliestStart() {
        Deadline six = new Deadline.Daily(LocalTime.of(18, 0), ZAGREB);
        assertEquals(utc("2026-10-24T16:00:00Z"), six.resolveMillis(utc("2026-10-24T16:00:00Z")));
        assertEquals(
                "clocks have gone back",
                utc("2026-10-25T17:00:00Z"),
                six.resolveMillis(utc("2026-10-24T16:00:00.001Z")));
        assertEquals(
                "the first of two",
                utc("2026-10-25T00:30:00Z"),
                new Deadline.Daily(LocalTime.of(2, 30), ZAGREB)
                        .resolveMillis(utc("2026-10-24T22:00:00Z")));
        assertEquals(
                "a day left out",
                utc("2011-12-30T20:00:00Z"),
                new Deadline.Daily(LocalTime.of(10, 0), zone("Pacific/Apia"))
                        .resolveMillis(utc("2011-12-30T12:00:00Z")));
    }

    @Test
    public void plansWithoutMaintenanceAreLeftAlone() {
        StartPlan plan = new StartPlan(0, Long.MAX_VALUE, 100, List.of("x"));
        assertEquals(77, StartWindows.opens(plan, s -> SiteCalendar.open(s), 77, 1000));
        assertEquals(HOUR, StartWindows.query(plan, s -> SiteCalendar.open(s), HOUR, 0).opensAt());
    }

    @Test
    public void thoseWhoComeAgainAreSpreadOverTheOpening() {
        int[] tenths = new int[10];
        for (int i = 0; i < 10_000; i++) {
            long in = Spread.millis(1000, 20_000, 42, "job-" + i);
            assertEquals(in, Spread.millis(1000, 20_000, 42, "job-" + i));
            tenths[(int) ((in - 1000) / 1000)]++;
        }
        for (int count : tenths) {
            assertTrue("even to 15%: " + count, Math.abs(count - 1000) < 150);
        }
        assertEquals("no opening to spread over", 1000, Spread.millis(1000, 1, 42, "x"));
    }
}
