package postgrade.window;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.Test;
import postgrade.policy.api.Job;
import postgrade.shared.Answer;
import postgrade.shared.Answer.Status;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.View;
import postgrade.window.CalendarRegistry.PendingCalendar;
import postgrade.window.MaintenanceEvent.EventDuration;

/** Versions of calendars in the replicated state, and how a process uses its view of them. */
public class CalendarPartTest {

    private static final long ACTIVATION_DELAY_MICROS = CalendarPart.MIN_ACTIVATION_DELAY_MICROS;
    private static final StartPlan PLAN = new StartPlan(0, Long.MAX_VALUE, 10, List.of("a"));

    private final ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new CalendarPart()));
    private long index;

    private Answer apply(String verb, Object... args) {
        return machine.apply(
                ++index, new Command("", "p", 1, CalendarPart.NAME, verb, Row.of(args)));
    }

    private Answer put(String text) {
        return apply("put", "site", "a", "zone", "UTC", "text", text);
    }

    private void advance(long micros) {
        for (long remaining = micros;
                remaining > 0;
                remaining -= ReplicatedStateMachine.MAX_ADVANCE_MICROS) {
            machine.apply(
                    ++index,
                    ReplicatedStateMachine.advance(
                            "p",
                            1,
                            Math.min(remaining, ReplicatedStateMachine.MAX_ADVANCE_MICROS)));
        }
    }

    private View view(long asOf) {
        return new View(
                machine.moment(), Rows.fromSnapshot(index, machine.snapshot().rows()), asOf);
    }

    /** Texts in this test are plain intervals: {@code from-to from-to}. */
    private static SiteCalendar compile(PendingCalendar pending) {
        List<MaintenanceEvent> events =
                Stream.of(pending.text().split(" "))
                        .map(s -> s.split("-"))
                        .map(
                                s ->
                                        MaintenanceEvent.once(
                                                pending.text(),
                                                new MaintenanceEvent.ZonedTime(
                                                        LocalTimes.toLocal(
                                                                Long.parseLong(s[0]),
                                                                TestTimes.zone("UTC")),
                                                        TestTimes.zone("UTC")),
                                                EventDuration.exactly(
                                                        Long.parseLong(s[1])
                                                                - Long.parseLong(s[0]))))
                        .toList();
        return SiteCalendar.compile(
                pending.site(), pending.version(), events, -1_000_000_000, 1_000_000_000);
    }

    private static void compilePending(CalendarRegistry registry) {
        registry.pending(0, 0).forEach(w -> registry.addCompiled(compile(w)));
    }

    @Test
    public void newVersionTakesEffectAfterDelayAndReplacesFormer() {
        String first = put("1000-2000").fields().text("version");
        assertEquals("next", first, machine.rows().get("calendar", "site:a").text("next"));
        advance(ACTIVATION_DELAY_MICROS - 1);
        assertFalse(machine.rows().get("calendar", "site:a").has("current"));
        advance(1);
        assertEquals(Row.of("current", first), machine.rows().get("calendar", "site:a"));
        String second = put("3000-4000").fields().text("version");
        String third = put("5000-6000").fields().text("version");
        assertNull(
                "the pending version is replaced",
                machine.rows().get("calendar", "text:a:" + second));
        assertEquals(first, machine.rows().get("calendar", "site:a").text("current"));
        advance(ACTIVATION_DELAY_MICROS);
        assertEquals(Row.of("current", third), machine.rows().get("calendar", "site:a"));
        assertEquals(2, machine.rows().count("calendar"));
    }

    @Test
    public void newVersionTakesEffectOnlyAfterOlderViewsExpire() {
        put("1000-2000");
        advance(ACTIVATION_DELAY_MICROS);
        String former = machine.rows().get("calendar", "site:a").text("current");
        put("3000-4000");
        // A view taken just before, used by a process with a slow clock under a leader with a fast
        // one that had two advances yet to send.
        advance(2 * ReplicatedStateMachine.MAX_ADVANCE_MICROS);
        advance((long) (CalendarPart.MAX_VIEW_AGE_MICROS * 1.02 / 0.98));
        assertEquals(former, machine.rows().get("calendar", "site:a").text("current"));
    }

    @Test
    public void invalidCommandsAreRejectedNamingTheField() {
        assertTrue(
                apply("put", "site", "a b", "zone", "UTC", "text", "x").text().startsWith("site "));
        assertTrue(apply("put", "site", "a", "text", "x").text().startsWith("zone "));
        assertTrue(put("x".repeat(300_000)).text().startsWith("text "));
        assertTrue(
                apply(
                                "put",
                                "site",
                                "a",
                                "zone",
                                "UTC",
                                "text",
                                "x",
                                "inMicros",
                                ACTIVATION_DELAY_MICROS - 1)
                        .text()
                        .startsWith("inMicros "));
        assertEquals(Status.UNKNOWN, apply("drop", "site", "a").status());
        put("1-2");
        assertEquals(
                Status.CONFLICT,
                apply("put", "site", "a", "zone", "UTC", "text", "x", "expects", "7").status());
        assertEquals(Status.DONE, apply("drop", "site", "a").status());
        assertEquals(0, machine.rows().count("calendar"));
    }

    @Test
    public void totalTextSizeIsBounded() {
        for (int i = 0; i < 40; i++) {
            apply("put", "site", "s" + i, "zone", "UTC", "text", "x".repeat(256 * 1024));
        }
        assertEquals(
                2 * CalendarPart.MAX_TOTAL_BYTES / (256 * 1024), machine.rows().count("calendar"));
    }

    @Test
    public void currentAndNextVersionCloseSiteUntilNextTakesEffect() {
        CalendarRegistry registry = new CalendarRegistry(1_000_000);
        assertFalse(
                "no start without a view",
                StartWindows.mayStart(PLAN, registry.forSite("a"), 1500, 0));
        registry.updateView(view(0), 0);
        assertNull("no start without a calendar", registry.forSite("a"));
        put("1000-2000");
        advance(ACTIVATION_DELAY_MICROS);
        put("3000-4000");
        registry.updateView(view(0), 0);
        assertNull("not compiled yet", registry.forSite("a"));
        compilePending(registry);
        assertEquals("[1000,2000) [3000,4000)", registry.forSite("a").closed().toString());
        advance(ACTIVATION_DELAY_MICROS);
        registry.updateView(view(0), 0);
        assertEquals("[3000,4000)", registry.forSite("a").closed().toString());
        registry.updateView(view(0), 1_000_001);
        assertNull("the view is too old", registry.forSite("a"));
        assertTrue(
                registry.unavailableReason("a"),
                registry.unavailableReason("a").contains("ms old"));
    }

    @Test
    public void resumedProcessDetectsExpiredViewBeforeNextUpdate() {
        put("5000-6000");
        CalendarRegistry registry = new CalendarRegistry(1_000_000);
        registry.updateView(view(0), 0);
        compilePending(registry);
        JobClassWindow window =
                new JobClassWindow("c", List.of("a"), null, null, Deadline.NONE, 0, 10);
        WindowConstraints constraints =
                new WindowConstraints(
                        List.of(window),
                        new WindowConstraints.SiteMapping(Map.of(), Map.of()),
                        registry,
                        new DurationHistograms(),
                        0,
                        1);
        Job job = new Job("j", "c", null, null, 1, 1, 0);
        assertEquals(0, constraints.startDelayNs(1_000_000_000L, job));
        assertTrue(constraints.startDelayNs(1_000_001_000L, job) > 0);
    }

    @Test
    public void unreadableCalendarKeepsSiteClosed() {
        put("1000-2000");
        CalendarRegistry registry = new CalendarRegistry(1_000_000);
        registry.updateView(view(0), 0);
        registry.markUnreadable(
                registry.pending(0, 0).get(0), "DTSTART names a zone that is not known");
        assertNull(registry.forSite("a"));
        assertTrue(registry.unavailableReason("a").contains("DTSTART"));
        assertEquals(List.of(), registry.pending(0, 0));
        put("5000-6000");
        registry.updateView(view(0), 0);
        compilePending(registry);
        assertNotNull("a new version replaces the unreadable one", registry.forSite("a"));
    }

    /**
     * Guards against a start inside maintenance in force when the clocks of leader and process
     * differ by 4%, views are used up to their maximum age and calendars change at random times.
     */
    @Test
    public void noStartInsideMaintenanceInForceWhileCalendarsChange() {
        int started = 0;
        for (int seed = 0; seed < 300; seed++) {
            started += runRandomChanges(new Random(seed), CalendarPart.MAX_VIEW_AGE_MICROS);
        }
        assertTrue("too few starts: " + started, started > 3_000);
    }

    private int runRandomChanges(Random random, long maxViewAgeMicros) {
        CalendarPartTest replica = new CalendarPartTest();
        CalendarRegistry registry = new CalendarRegistry(maxViewAgeMicros);
        double leaderClockRate = 0.98 + 0.04 * random.nextDouble();
        double processClockRate = 0.98 + 0.04 * random.nextDouble();
        int started = 0;
        for (long realMicros = 0, advancedMicros = 0;
                realMicros < 120_000_000;
                realMicros += 250_000) {
            long dueMicros = (long) (realMicros * leaderClockRate) - advancedMicros;
            if (random.nextInt(4) == 0) {
                replica.advance(Math.min(dueMicros, ReplicatedStateMachine.MAX_ADVANCE_MICROS));
                advancedMicros += dueMicros;
            }
            if (random.nextInt(20) == 0) {
                long from = random.nextInt(30);
                replica.put(from + "-" + (from + 1 + random.nextInt(30)));
            }
            long now = (long) (realMicros * processClockRate);
            if (random.nextInt(30) == 0) {
                registry.updateView(replica.view(now), now);
                compilePending(registry);
            } else {
                registry.updateView(registry.latestView(), now);
            }
            Row site = replica.machine.rows().get("calendar", "site:a");
            String inForce = site == null ? null : site.text("current", null);
            long wallMillis = random.nextInt(60);
            if (StartWindows.mayStart(
                    new StartPlan(0, Long.MAX_VALUE, 1, List.of("a")),
                    registry.forSite("a"),
                    wallMillis,
                    0)) {
                started++;
                String text =
                        inForce == null
                                ? null
                                : replica.machine
                                        .rows()
                                        .get("calendar", "text:a:" + inForce)
                                        .text("text");
                assertFalse(
                        "at " + realMicros,
                        text != null
                                && compile(new PendingCalendar("a", inForce, "UTC", text))
                                        .closed()
                                        .contains(wallMillis));
            }
        }
        return started;
    }
}
