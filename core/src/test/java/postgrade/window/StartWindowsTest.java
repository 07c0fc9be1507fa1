package postgrade.window;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;
import static postgrade.window.TestTimes.HOUR;
import static postgrade.window.TestTimes.ZAGREB;
import static postgrade.window.TestTimes.utc;
import static postgrade.window.TestTimes.zone;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import postgrade.window.Exclusion.Reason;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.StartWindows.Result;

/** When jobs may start, and why not at other times. */
public class StartWindowsTest {

    private static final SiteCalendar SITE_A = closed("a", 1000, 2000, 3000, 4000);
    private static final SiteCalendar SITE_B = closed("b", 500, 1800);

    private static SiteCalendar closed(String site, long... fromTo) {
        List<MaintenanceEvent> events = new ArrayList<>();
        for (int i = 0; i < fromTo.length; i += 2) {
            MaintenanceEvent.ZonedTime start =
                    new MaintenanceEvent.ZonedTime(
                            LocalTimes.toLocal(fromTo[i], zone("UTC")), zone("UTC"));
            events.add(
                    MaintenanceEvent.once(
                            "works " + i / 2,
                            start,
                            EventDuration.exactly(fromTo[i + 1] - fromTo[i])));
        }
        return SiteCalendar.compile(site, "1", events, -1000, 10_000);
    }

    private static Result query(
            long earliestStart,
            long deadline,
            long durationMillis,
            long now,
            long clockErrorMillis) {
        return StartWindows.query(
                new StartPlan(earliestStart, deadline, durationMillis, List.of("a", "b", "c")),
                Map.of("a", SITE_A, "b", SITE_B)::get,
                now,
                clockErrorMillis);
    }

    @Test
    public void jobMayEndWhereMaintenanceBeginsAndStartWhereItEnds() {
        Result result = query(0, 5000, 300, 0, 0);
        assertEquals("[0,701) [2000,2701) [4000,4701)", result.bySite().get(0).starts().toString());
        assertEquals("[0,201) [1800,4701)", result.bySite().get(1).starts().toString());
        assertEquals("[0,701) [1800,4701)", result.anySite().toString());
        assertTrue(result.mayStart(0));
        assertEquals(1800, query(0, 5000, 300, 701, 0).opensAt());
    }

    @Test
    public void exclusionsStateTheirReason() {
        Result result = query(100, 5000, 300, 0, 0);
        List<Exclusion> siteExclusions = result.bySite().get(0).exclusions();
        assertEquals(
                List.of(Reason.TOO_EARLY, Reason.MAINTENANCE, Reason.MAINTENANCE, Reason.TOO_LATE),
                siteExclusions.stream().map(Exclusion::reason).toList());
        assertEquals(
                new Exclusion(2701, 4000, "a", Reason.MAINTENANCE, "works 1 (line 0)"),
                siteExclusions.get(2));
        assertEquals("c", result.unknownSites().get(0).site());
        assertEquals(1 + 4 + 1, result.exclusions().size());
    }

    @Test
    public void clockErrorExtendsMaintenanceAtBothEnds() {
        assertEquals(
                "[0,651) [2050,2651) [4050,4701)",
                query(0, 5000, 300, 0, 50).bySite().get(0).starts().toString());
    }

    @Test
    public void windowOfOneInstantLastsOneMillisecondAndEmptyWindowNeverOpens() {
        assertEquals(
                "fits exactly between two events",
                "[2000,2001)",
                query(1500, 3500, 1000, 0, 0).bySite().get(0).starts().toString());
        assertTrue(
                "one millisecond too long",
                query(1500, 3500, 1001, 0, 0).bySite().get(0).starts().isEmpty());
        assertEquals(
                "ends exactly at the deadline",
                "[100,101)",
                query(100, 400, 300, 0, 0).anySite().toString());
        assertEquals(StartWindows.NEVER, query(101, 400, 300, 0, 0).opensAt());
    }

    @Test
    public void zeroDurationJobDoesNotStartInMaintenance() {
        assertEquals(
                "[900,1000) [2000,2101)",
                query(900, 2100, 0, 0, 0).bySite().get(0).starts().toString());
        assertEquals(
                "maintenance of zero duration closes nothing",
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
    public void nothingStartsBeyondHorizon() {
        Result result = query(8000, 12_000, 500, 0, 10);
        assertEquals("[8000,9491)", result.anySite().toString());
        assertTrue(
                result.exclusions()
                        .contains(
                                new Exclusion(
                                        9491,
                                        11_501,
                                        "a",
                                        Reason.BEYOND_HORIZON,
                                        "after what is worked out")));
        assertFalse(
                StartWindows.mayStart(
                        new StartPlan(0, 50_000, 500, List.of("a")), SITE_A, 9_600, 0));
    }

    @Test
    public void nextOpeningAgreesWithFullQuery() {
        for (long now = 0; now < 6000; now += 7) {
            for (long durationMillis : new long[] {0, 1, 300, 999, 1000, 1200}) {
                StartPlan plan = new StartPlan(0, 5500, durationMillis, List.of("a", "b"));
                Result full =
                        StartWindows.query(plan, Map.of("a", SITE_A, "b", SITE_B)::get, now, 3);
                assertEquals(
                        full.opensAt(),
                        StartWindows.nextOpening(
                                plan, Map.of("a", SITE_A, "b", SITE_B)::get, now, 3));
                assertEquals(
                        full.bySite().get(0).starts().contains(now),
                        StartWindows.mayStart(plan, SITE_A, now, 3));
            }
        }
    }

    @Test
    public void dailyDeadlineIsNextOneAfterEarliestStart() {
        Deadline sixPm = new Deadline.Daily(LocalTime.of(18, 0), ZAGREB);
        assertEquals(utc("2026-10-24T16:00:00Z"), sixPm.resolveMillis(utc("2026-10-24T16:00:00Z")));
        assertEquals(
                "clocks have gone back",
                utc("2026-10-25T17:00:00Z"),
                sixPm.resolveMillis(utc("2026-10-24T16:00:00.001Z")));
        assertEquals(
                "first of two occurrences",
                utc("2026-10-25T00:30:00Z"),
                new Deadline.Daily(LocalTime.of(2, 30), ZAGREB)
                        .resolveMillis(utc("2026-10-24T22:00:00Z")));
        assertEquals(
                "omitted day",
                utc("2011-12-30T20:00:00Z"),
                new Deadline.Daily(LocalTime.of(10, 0), zone("Pacific/Apia"))
                        .resolveMillis(utc("2011-12-30T12:00:00Z")));
    }

    @Test
    public void plansWithoutMaintenanceStartAtOnce() {
        StartPlan plan = new StartPlan(0, Long.MAX_VALUE, 100, List.of("x"));
        assertEquals(77, StartWindows.nextOpening(plan, s -> SiteCalendar.alwaysOpen(s), 77, 1000));
        assertEquals(
                HOUR, StartWindows.query(plan, s -> SiteCalendar.alwaysOpen(s), HOUR, 0).opensAt());
    }

    @Test
    public void retriesAreSpreadOverOpening() {
        int[] tenths = new int[10];
        for (int i = 0; i < 10_000; i++) {
            long retryInMillis = RetrySpread.retryInMillis(1000, 20_000, 42, "job-" + i);
            assertEquals(retryInMillis, RetrySpread.retryInMillis(1000, 20_000, 42, "job-" + i));
            tenths[(int) ((retryInMillis - 1000) / 1000)]++;
        }
        for (int count : tenths) {
            assertTrue("not uniform within 15%: " + count, Math.abs(count - 1000) < 150);
        }
        assertEquals(
                "opening too short to spread over",
                1000,
                RetrySpread.retryInMillis(1000, 1, 42, "x"));
    }
}
