package postgrade.window;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static postgrade.window.TestTimes.HOUR;
import static postgrade.window.TestTimes.ZAGREB;
import static postgrade.window.TestTimes.event;
import static postgrade.window.TestTimes.utc;
import static postgrade.window.TestTimes.zone;

import java.time.LocalTime;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import postgrade.policy.api.Job;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.WindowConstraints.SiteMapping;

/** Start windows as the dispatcher applies them to jobs and workers. */
public class WindowConstraintsTest {

    private static final long MIDNIGHT = utc("2026-06-01T00:00:00Z");
    private static final JobClassWindow NIGHTLY =
            new JobClassWindow(
                    "route-plan", List.of("a", "b"), null, null, Deadline.NONE, 0.9, 60_000);

    /** Site a is closed until 06:00, site b until 05:00: site b opens an hour before site a. */
    private static final SiteCalendar SITE_A =
            SiteCalendar.compile(
                    "a",
                    "1",
                    List.of(
                            event(
                                    "2026-05-31T22:00",
                                    zone("UTC"),
                                    EventDuration.exactly(8 * HOUR))),
                    MIDNIGHT - 100 * HOUR,
                    MIDNIGHT + 1000 * HOUR);

    private static final SiteCalendar SITE_B =
            SiteCalendar.compile(
                    "b",
                    "1",
                    List.of(
                            event("2026-05-31T22:00", zone("UTC"), EventDuration.exactly(7 * HOUR)),
                            event("2026-06-01T05:30", zone("UTC"), EventDuration.exactly(HOUR))),
                    MIDNIGHT - 100 * HOUR,
                    MIDNIGHT + 1000 * HOUR);

    private final DurationHistograms durations = new DurationHistograms();
    private Map<String, SiteCalendar> calendars = Map.of("a", SITE_A, "b", SITE_B);
    private final WindowConstraints constraints = constraints(NIGHTLY);

    private WindowConstraints constraints(JobClassWindow window) {
        SiteMapping sites =
                new SiteMapping(Map.of("gpu", "b"), Map.of("hall-a", "a", "hall-b", "b"));
        WindowConstraints result =
                new WindowConstraints(
                        List.of(window), sites, site -> calendars.get(site), durations, 0, 7);
        result.setWallClock(0, MIDNIGHT);
        return result;
    }

    private static Job job(String jobClass, String id) {
        return new Job(id, jobClass, null, null, 30_000_000_000L, 1, 0);
    }

    private static WorkerInfo worker(String zone, String kind) {
        return new WorkerInfo("w", zone, kind, 0, WorkerPhase.READY, 1, 0);
    }

    private static long ns(double hours) {
        return (long) (hours * HOUR) * 1_000_000;
    }

    @Test
    public void classWithoutWindowsIsUnaffected() {
        calendars = Map.of();
        assertEquals(0, constraints.startDelayNs(0, job("price", "1")));
        assertEquals(1, constraints.usableShare(0, job("price", "1"), worker("elsewhere", "x")), 0);
    }

    @Test
    public void jobOutsideItsWindowsIsDelayedIntoNextOpening() {
        for (int i = 0; i < 100; i++) {
            long delayNs = constraints.startDelayNs(0, job("route-plan", "j" + i));
            // Site b opens at 05:00 and closes at 05:30; retries are spread over half of the
            // opening, ten minutes at most.
            assertTrue(
                    "start delay " + delayNs,
                    delayNs >= ns(5) && delayNs < ns(5) + 600_000_000_000L);
        }
        assertEquals(0, constraints.startDelayNs(ns(5), job("route-plan", "j")));
    }

    @Test
    public void siteThatClosesBeforeJobEndsIsNotUsable() {
        Job job = job("route-plan", "j");
        assertEquals(0, constraints.usableShare(ns(5) - 1, job, worker("hall-b", "x")), 0);
        assertEquals(1, constraints.usableShare(ns(5), job, worker("hall-b", "x")), 0);
        assertEquals(
                "site is mapped by kind",
                1,
                constraints.usableShare(ns(5), job, worker("hall-a", "gpu")),
                0);
        assertEquals(
                "site a is still closed",
                0,
                constraints.usableShare(ns(5), job, worker("hall-a", "x")),
                0);
        assertEquals(
                "ends exactly when the site closes",
                1,
                constraints.usableShare(ns(5.5) - 60_000_000_000L, job, worker("hall-b", "x")),
                0);
        assertEquals(
                0,
                constraints.usableShare(ns(5.5) - 59_000_000_000L, job, worker("hall-b", "x")),
                0);
        assertEquals(
                "worker at no site of the class",
                0,
                constraints.usableShare(ns(7), job, worker("elsewhere", "x")),
                0);
    }

    @Test
    public void learntDurationsExtendExpectedDuration() {
        for (int i = 0; i < 100; i++) {
            durations.recordDuration("route-plan", i < 85 ? 10_000 : 600_000);
        }
        long tenMinutes = durations.quantile("route-plan", 0.9);
        assertTrue("" + tenMinutes, tenMinutes >= 600_000 && tenMinutes < 675_000);
        assertEquals(
                0,
                constraints.usableShare(
                        ns(5.5) - 599_000_000_000L, job("route-plan", "j"), worker("hall-b", "x")),
                0);
    }

    @Test
    public void nothingStartsWhileCalendarsAreUnknown() {
        calendars = Map.of();
        long delayNs = constraints.startDelayNs(ns(8), job("route-plan", "1"));
        assertTrue("" + delayNs, delayNs >= 1_000_000_000L && delayNs < 9_000_000_000L);
        assertEquals(
                0,
                constraints.usableShare(ns(8), job("route-plan", "1"), worker("hall-a", "x")),
                0);
    }

    @Test
    public void dailyDeadlineOfWaitingJobDoesNotMove() {
        WindowConstraints dailyConstraints =
                constraints(
                        new JobClassWindow(
                                "route-plan",
                                List.of("a"),
                                LocalTime.of(10, 0),
                                ZAGREB,
                                new Deadline.Daily(LocalTime.of(18, 0), ZAGREB),
                                0,
                                60_000));
        Job early = job("route-plan", "early");
        // 18:00 in Zagreb is 16:00 UTC.
        assertEquals(0, dailyConstraints.startDelayNs(ns(15.9), early));
        assertEquals(1, dailyConstraints.usableShare(ns(15.9), early, worker("hall-a", "x")), 0);
        assertEquals(
                "too late to end in time",
                0,
                dailyConstraints.usableShare(ns(15.99), early, worker("hall-a", "x")),
                0);
        assertEquals(
                "nor on the next day",
                0,
                dailyConstraints.usableShare(ns(32), early, worker("hall-a", "x")),
                0);
        long delayNs = dailyConstraints.startDelayNs(ns(15.99), job("route-plan", "late"));
        assertTrue(
                "from 10:00 the next day", delayNs >= ns(32 - 15.99) && delayNs < ns(32.2 - 15.99));
        assertEquals(
                "the next day's window is open",
                0,
                dailyConstraints.startDelayNs(ns(32), job("route-plan", "late")));
    }
}
