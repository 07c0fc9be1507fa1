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

/** Calendars as shared versions, and what a process makes of its view of them. */
public class CalendarPartTest {

    private static final long AHEAD = CalendarPart.LEAST_AHEAD_MICROS;
    private static final StartPlan PLAN = new StartPlan(0, Long.MAX_VALUE, 10, List.of("a"));

    private final ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new CalendarPart()));
    private long index;

    private Answer ask(String verb, Object... args) {
        return machine.apply(
                ++index, new Command("", "p", 1, CalendarPart.NAME, verb, Row.of(args)));
    }

    private Answer put(String text) {
        return ask("put", "site", "a", "zone", "UTC", "text", text);
    }

    private void advance(long micros) {
        for (long left = micros; left > 0; left -= ReplicatedStateMachine.MAX_ADVANCE_MICROS) {
            machine.apply(
                    ++index,
                    ReplicatedStateMachine.advance(
                            "p", 1, Math.min(left, ReplicatedStateMachine.MAX_ADVANCE_MICROS)));
        }
    }

    private View view(long asOf) {
        return new View(
                machine.moment(), Rows.fromSnapshot(index, machine.snapshot().rows()), asOf);
    }

    /** Texts here are plain spans: {@code from-to from-to}. */
    private static SiteCalendar read(PendingCalendar w) {
        List<MaintenanceEvent> events =
                Stream.of(w.text().split(" "))
                        .map(s -> s.split("-"))
                        .map(
                                s ->
                                        MaintenanceEvent.once(
                                                w.text(),
                                                new MaintenanceEvent.ZonedTime(
                                                        LocalTimes.local(
                                                                Long.parseLong(s[0]),
                                                                Times.zone("UTC")),
                                                        Times.zone("UTC")),
                                                EventDuration.exactly(
                                                        Long.parseLong(s[1])
                                                                - Long.parseLong(s[0]))))
                        .toList();
        return SiteCalendar.compile(w.site(), w.version(), events, -1_000_000_000, 1_000_000_000);
    }

    private static void readAll(CalendarRegistry known) {
        known.pending(0, 0).forEach(w -> known.addCompiled(read(w)));
    }

    @Test
    public void aVersionCountsFromATimeAheadAndTheFormerGoesThen() {
        String first = put("1000-2000").fields().text("version");
        assertEquals("next", first, machine.rows().get("calendar", "site:a").text("next"));
        advance(AHEAD - 1);
        assertFalse(machine.rows().get("calendar", "site:a").has("current"));
        advance(1);
        assertEquals(Row.of("current", first), machine.rows().get("calendar", "site:a"));
        String second = put("3000-4000").fields().text("version");
        String third = put("5000-6000").fields().text("version");
        assertNull(
                "the one that waited is replaced",
                machine.rows().get("calendar", "text:a:" + second));
        assertEquals(first, machine.rows().get("calendar", "site:a").text("current"));
        advance(AHEAD);
        assertEquals(Row.of("current", third), machine.rows().get("calendar", "site:a"));
        assertEquals(2, machine.rows().count("calendar"));
    }

    @Test
    public void noVersionCountsWhileAViewFromBeforeItMayStillBeUsed() {
        put("1000-2000");
        advance(AHEAD);
        String former = machine.rows().get("calendar", "site:a").text("current");
        put("3000-4000");
        // A view from just before, used by a slow clock beside a fast leader that had two steps to
        // tell.
        advance(2 * ReplicatedStateMachine.MAX_ADVANCE_MICROS);
        advance((long) (CalendarPart.MAX_VIEW_AGE_MICROS * 1.02 / 0.98));
        assertEquals(former, machine.rows().get("calendar", "site:a").text("current"));
    }

    @Test
    public void badCallsAreTurnedDownByField() {
        assertTrue(
                ask("put", "site", "a b", "zone", "UTC", "text", "x").text().startsWith("site "));
        assertTrue(ask("put", "site", "a", "text", "x").text().startsWith("zone "));
        assertTrue(put("x".repeat(300_000)).text().startsWith("text "));
        assertTrue(
                ask("put", "site", "a", "zone", "UTC", "text", "x", "inMicros", AHEAD - 1)
                        .text()
                        .startsWith("inMicros "));
        assertEquals(Status.UNKNOWN, ask("drop", "site", "a").status());
        put("1-2");
        assertEquals(
                Status.CONFLICT,
                ask("put", "site", "a", "zone", "UTC", "text", "x", "expects", "7").status());
        assertEquals(Status.DONE, ask("drop", "site", "a").status());
        assertEquals(0, machine.rows().count("calendar"));
    }

    @Test
    public void allTogetherAreBounded() {
        for (int i = 0; i < 40; i++) {
            ask("put", "site", "s" + i, "zone", "UTC", "text", "x".repeat(256 * 1024));
        }
        assertEquals(2 * CalendarPart.MOST_BYTES / (256 * 1024), machine.rows().count("calendar"));
    }

    @Test
    public void bothVersionsCloseTheSiteUntilTheViewSaysThatTheFormerIsOver() {
        CalendarRegistry known = new CalendarRegistry(1_000_000);
        assertFalse("no view, no start", StartWindows.able(PLAN, known.forSite("a"), 1500, 0));
        known.updateView(view(0), 0);
        assertNull("no calendar, no start", known.forSite("a"));
        put("1000-2000");
        advance(AHEAD);
        put("3000-4000");
        known.updateView(view(0), 0);
        assertNull("not read yet", known.forSite("a"));
        readAll(known);
        assertEquals("[1000,2000) [3000,4000)", known.forSite("a").closed().toString());
        advance(AHEAD);
        known.updateView(view(0), 0);
        assertEquals("[3000,4000)", known.forSite("a").closed().toString());
        known.updateView(view(0), 1_000_001);
        assertNull("the view is too old", known.forSite("a"));
        assertTrue(known.why("a"), known.why("a").contains("ms old"));
    }

    @Test
    public void aProcessThatWasStoppedFindsItsViewTooOldBeforeItIsToldTheTime() {
        put("5000-6000");
        CalendarRegistry known = new CalendarRegistry(1_000_000);
        known.updateView(view(0), 0);
        readAll(known);
        JobClassWindow c = new JobClassWindow("c", List.of("a"), null, null, Deadline.NONE, 0, 10);
        WindowConstraints ability =
                new WindowConstraints(
                        List.of(c),
                        new WindowConstraints.SiteMapping(Map.of(), Map.of()),
                        known,
                        new DurationHistograms(),
                        0,
                        1);
        Job job = new Job("j", "c", null, null, 1, 1, 0);
        assertEquals(0, ability.startDelayNs(1_000_000_000L, job));
        assertTrue(ability.startDelayNs(1_000_001_000L, job) > 0);
    }

    @Test
    public void aTextThatCannotBeReadHereKeepsTheSiteShut() {
        put("1000-2000");
        CalendarRegistry known = new CalendarRegistry(1_000_000);
        known.updateView(view(0), 0);
        known.markUnreadable(known.pending(0, 0).get(0), "DTSTART names a zone that is not known");
        assertNull(known.forSite("a"));
        assertTrue(known.why("a").contains("DTSTART"));
        assertEquals(List.of(), known.pending(0, 0));
        put("5000-6000");
        known.updateView(view(0), 0);
        readAll(known);
        assertNotNull("another version mends it", known.forSite("a"));
    }

    /**
     * Clocks that differ by 4%, views up to their bound, changes at any time: none starts in what
     * is in force.
     */
    @Test
    public void noProcessStartsInsideMaintenanceOfTheVersionInForceWhileCalendarsChange() {
        int started = 0;
        for (int seed = 0; seed < 300; seed++) {
            started += changes(new Random(seed), CalendarPart.MAX_VIEW_AGE_MICROS);
        }
        assertTrue("enough starts: " + started, started > 3_000);
    }

    private int changes(Random random, long bound) {
        CalendarPartTest of = new CalendarPartTest();
        CalendarRegistry known = new CalendarRegistry(bound);
        double leader = 0.98 + 0.04 * random.nextDouble();
        double process = 0.98 + 0.04 * random.nextDouble();
        int started = 0;
        for (long real = 0, logged = 0; real < 120_000_000; real += 250_000) {
            long due = (long) (real * leader) - logged;
            if (random.nextInt(4) == 0) {
                of.advance(Math.min(due, ReplicatedStateMachine.MAX_ADVANCE_MICROS));
                logged += due;
            }
            if (random.nextInt(20) == 0) {
                long from = random.nextInt(30);
                of.put(from + "-" + (from + 1 + random.nextInt(30)));
            }
            long now = (long) (real * process);
            if (random.nextInt(30) == 0) {
                known.updateView(of.view(now), now);
                readAll(known);
            } else {
                known.updateView(known.latest(), now);
            }
            Row site = of.machine.rows().get("calendar", "site:a");
            String inForce = site == null ? null : site.text("current", null);
            long wall = random.nextInt(60);
            if (StartWindows.able(
                    new StartPlan(0, Long.MAX_VALUE, 1, List.of("a")),
                    known.forSite("a"),
                    wall,
                    0)) {
                started++;
                String text =
                        inForce == null
                                ? null
                                : of.machine
                                        .rows()
                                        .get("calendar", "text:a:" + inForce)
                                        .text("text");
                assertFalse(
                        "at " + real,
                        text != null
                                && read(new PendingCalendar("a", inForce, "UTC", text))
                                        .closed()
                                        .contains(wall));
            }
        }
        return started;
    }
}
