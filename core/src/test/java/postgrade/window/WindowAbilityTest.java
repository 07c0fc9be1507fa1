package postgrade.window;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static postgrade.window.Times.HOUR;
import static postgrade.window.Times.ZAGREB;
import static postgrade.window.Times.event;
import static postgrade.window.Times.utc;
import static postgrade.window.Times.zone;

import java.time.LocalTime;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import postgrade.policy.api.Job;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.WindowConstraints.SiteMapping;

/** Windows as the module meets them. */
public class WindowAbilityTest {

    private static final long MIDNIGHT = utc("2026-06-01T00:00:00Z");
    private static final JobClassWindow NIGHTLY =
            new JobClassWindow(
                    "route-plan", List.of("a", "b"), null, null, Deadline.NONE, 0.9, 60_000);

    /** Until 06:00 and from 05:00 on: the second site opens an hour before the first. */
    private static final SiteCalendar A =
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

    private static final SiteCalendar B =
            SiteCalendar.compile(
                    "b",
                    "1",
                    List.of(
                            event("2026-05-31T22:00", zone("UTC"), EventDuration.exactly(7 * HOUR)),
                            event("2026-06-01T05:30", zone("UTC"), EventDuration.exactly(HOUR))),
                    MIDNIGHT - 100 * HOUR,
                    MIDNIGHT + 1000 * HOUR);

    private final DurationHistograms lengths = new DurationHistograms();
    private Map<String, SiteCalendar> known = Map.of("a", A, "b", B);
    private final WindowConstraints ability = ability(NIGHTLY);

    private WindowConstraints ability(JobClassWindow c) {
        SiteMapping sites =
                new SiteMapping(Map.of("gpu", "b"), Map.of("hall-a", "a", "hall-b", "b"));
        WindowConstraints a =
                new WindowConstraints(List.of(c), sites, site -> known.get(site), lengths, 0, 7);
        a.setWallClock(0, MIDNIGHT);
        return a;
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
    public void aClassWithoutWindowsIsUntouched() {
        known = Map.of();
        assertEquals(0, ability.startDelayNs(0, job("price", "1")));
        assertEquals(1, ability.usableShare(0, job("price", "1"), worker("elsewhere", "x")), 0);
    }

    @Test
    public void outsideItsWindowsAJobIsToldATimeWithinTheNextOpening() {
        for (int i = 0; i < 100; i++) {
            long in = ability.startDelayNs(0, job("route-plan", "j" + i));
            // Site b opens at 05:00 and must be left by 05:30; half of the opening is spread over,
            // ten minutes at most.
            assertTrue("in " + in, in >= ns(5) && in < ns(5) + 600_000_000_000L);
        }
        assertEquals(0, ability.startDelayNs(ns(5), job("route-plan", "j")));
    }

    @Test
    public void aSiteThatClosesBeforeTheJobWouldEndIsNotAble() {
        Job job = job("route-plan", "j");
        assertEquals(0, ability.usableShare(ns(5) - 1, job, worker("hall-b", "x")), 0);
        assertEquals(1, ability.usableShare(ns(5), job, worker("hall-b", "x")), 0);
        assertEquals("by its kind", 1, ability.usableShare(ns(5), job, worker("hall-a", "gpu")), 0);
        assertEquals(
                "this one is closed still",
                0,
                ability.usableShare(ns(5), job, worker("hall-a", "x")),
                0);
        assertEquals(
                "it just ends in time",
                1,
                ability.usableShare(ns(5.5) - 60_000_000_000L, job, worker("hall-b", "x")),
                0);
        assertEquals(
                0, ability.usableShare(ns(5.5) - 59_000_000_000L, job, worker("hall-b", "x")), 0);
        assertEquals(
                "no site of the class",
                0,
                ability.usableShare(ns(7), job, worker("elsewhere", "x")),
                0);
    }

    @Test
    public void whatWasLearntMakesItLonger() {
        for (int i = 0; i < 100; i++) {
            lengths.recordDuration("route-plan", i < 85 ? 10_000 : 600_000);
        }
        long tenMinutes = lengths.quantile("route-plan", 0.9);
        assertTrue("" + tenMinutes, tenMinutes >= 600_000 && tenMinutes < 675_000);
        assertEquals(
                0,
                ability.usableShare(
                        ns(5.5) - 599_000_000_000L, job("route-plan", "j"), worker("hall-b", "x")),
                0);
    }

    @Test
    public void whereCalendarsAreNotKnownNothingThatNeedsAWindowStarts() {
        known = Map.of();
        long in = ability.startDelayNs(ns(8), job("route-plan", "1"));
        assertTrue("" + in, in >= 1_000_000_000L && in < 9_000_000_000L);
        assertEquals(
                0, ability.usableShare(ns(8), job("route-plan", "1"), worker("hall-a", "x")), 0);
    }

    @Test
    public void aJobsDailyDeadlineDoesNotMoveOnWhileItWaits() {
        WindowConstraints daily =
                ability(
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
        assertEquals(0, daily.startDelayNs(ns(15.9), early));
        assertEquals(1, daily.usableShare(ns(15.9), early, worker("hall-a", "x")), 0);
        assertEquals(
                "too late to end in time",
                0,
                daily.usableShare(ns(15.99), early, worker("hall-a", "x")),
                0);
        assertEquals(
                "nor once the day is over",
                0,
                daily.usableShare(ns(32), early, worker("hall-a", "x")),
                0);
        long in = daily.startDelayNs(ns(15.99), job("route-plan", "late"));
        assertTrue("from 10:00 the next day", in >= ns(32 - 15.99) && in < ns(32.2 - 15.99));
        assertEquals(
                "its next day has come", 0, daily.startDelayNs(ns(32), job("route-plan", "late")));
    }
}
