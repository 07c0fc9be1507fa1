package postgrade.sharing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Before;
import org.junit.Test;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.member.MembershipTerms;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.sharing.settings.SharingSettings;
import postgrade.sharing.window.WindowSettings;
import postgrade.window.Deadline;
import postgrade.window.JobClassWindow;

/**
 * A job's own plan from its headers, combined with its class's windows. The time is 2027-01-15
 * 08:00 UTC, 9 o'clock in Zagreb.
 */
public class PlanHeadersTest {

    private static final long SECOND = 1_000_000;
    private static final long SECOND_NS = 1_000_000_000;

    private final FakeQuorum quorum = new FakeQuorum();
    private final FakeHost host = new FakeHost("a");
    private SharingExtension extension;

    private static SharingSettings settings(WindowSettings windows) {
        return new SharingSettings(
                null,
                SECOND,
                0,
                6 * SECOND,
                20 * SECOND,
                MembershipTerms.EVEN_SHARE / 4,
                MembershipTerms.EVEN_SHARE / 4,
                2 * SECOND,
                Map.of(),
                1,
                Set.of(),
                false,
                windows,
                2);
    }

    @Before
    public void putCalendars() {
        JobClassWindow price =
                new JobClassWindow(
                        "price", List.of("zagreb"), null, null, Deadline.NONE, 0, 60_000);
        extension =
                new SharingExtension(
                        host,
                        settings(
                                new WindowSettings(
                                        List.of(price),
                                        Map.of(),
                                        Map.of("a", "zagreb", "b", "split"),
                                        0)),
                        quorum.openerFor(host),
                        Runnable::run);
        run(2);
        for (String site : List.of("zagreb", "split")) {
            extension
                    .operatorEndpoints()
                    .handle(
                            "PUT",
                            "/calendar",
                            ("{\"site\":\""
                                            + site
                                            + "\",\"zone\":\"Europe/Zagreb\",\"text\":\""
                                            + "BEGIN:VCALENDAR\\r\\nVERSION:2.0\\r\\nPRODID:-//t//t//EN\\r\\nEND:VCALENDAR\\r\\n\"}")
                                    .getBytes(),
                            (status, again, json) -> assertEquals(json, 200, status));
            run(1);
        }
        run(20);
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            host.run(SECOND / 10);
            quorum.advance(SECOND / 10);
        }
    }

    private static Map<String, String> headers(String... namesAndValues) {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            all.put("x-window-" + namesAndValues[i], namesAndValues[i + 1]);
        }
        return all;
    }

    /** Returns the start delay of a job with these headers, in seconds. */
    private double startDelaySeconds(String id, String jobClass, String... namesAndValues) {
        extension.extensionHeaders().read(jobClass, headers(namesAndValues)::get).accept(id);
        return extension.jobConstraints().startDelayNs(host.nowMicros() * 1000, job(id, jobClass))
                / (double) SECOND_NS;
    }

    private static Job job(String id, String jobClass) {
        return new Job(id, jobClass, "t", null, SECOND_NS, 1, 0);
    }

    private double usableShare(String id, String jobClass, String zone) {
        return extension
                .jobConstraints()
                .usableShare(
                        host.nowMicros() * 1000,
                        job(id, jobClass),
                        new WorkerInfo("w" + zone, zone, "m", 0, WorkerPhase.READY, 1, 0));
    }

    @Test
    public void headersSetThePlanOfAJobOfAClassWithoutWindows() {
        assertEquals(0, startDelaySeconds("j1", "confirm"), 0);
        assertEquals(1, usableShare("j1", "confirm", "c"), 0);
        assertEquals(0, startDelaySeconds("j1", "confirm", "lasts", "1000m", "sites", "split"), 0);
        assertEquals(1, usableShare("j1", "confirm", "b"), 0);
        assertEquals("not at another site", 0, usableShare("j1", "confirm", "a"), 0);
        assertEquals(
                "in one hour, plus its part of the spread",
                3600,
                startDelaySeconds(
                        "j2",
                        "confirm",
                        "earliest",
                        "2027-01-15T09:00:24Z",
                        "lasts",
                        "1000m",
                        "sites",
                        "zagreb, split"),
                700);
        assertTrue(
                startDelaySeconds(
                                "j2",
                                "confirm",
                                "earliest",
                                "2027-01-15T09:00:24Z",
                                "lasts",
                                "1m",
                                "sites",
                                "split")
                        > 3000);
        assertEquals(
                "18:00 in Zagreb is 8 h 59 min ahead",
                0,
                startDelaySeconds(
                        "j3",
                        "confirm",
                        "deadline",
                        "18:00 Europe/Zagreb",
                        "lasts",
                        "32300000m",
                        "sites",
                        "split"),
                0);
        assertTrue(
                startDelaySeconds(
                                "j3",
                                "confirm",
                                "deadline",
                                "18:00 Europe/Zagreb",
                                "lasts",
                                "32400000m",
                                "sites",
                                "split")
                        > 0);
        assertTrue(
                startDelaySeconds(
                                "j3",
                                "confirm",
                                "deadline",
                                "2027-01-15T08:00:30Z",
                                "lasts",
                                "60000000u",
                                "sites",
                                "split")
                        > 0);
        assertEquals(
                "cancelled, then sent again without headers",
                0,
                startDelaySeconds("j1", "confirm"),
                0);
        assertEquals(1, usableShare("j1", "confirm", "c"), 0);
    }

    @Test
    public void classSettingsLimitThePlanOfTheHeaders() {
        assertEquals(
                "its class sets 60 s, whatever its header says",
                1,
                startDelaySeconds("k1", "price", "deadline", "2027-01-15T08:01:00Z", "lasts", "1m")
                                > 0
                        ? 1
                        : 0,
                0);
        assertEquals(
                0,
                startDelaySeconds("k2", "price", "deadline", "2027-01-15T09:00:00Z", "lasts", "1m"),
                0);
        assertEquals(1, usableShare("k2", "price", "a"), 0);
        assertEquals(0, usableShare("k2", "price", "b"), 0);
        assertRejected("X-Window-Sites names split, where", "price", "sites", "split");
    }

    private void assertRejected(String sentence, String jobClass, String... namesAndValues) {
        try {
            extension.extensionHeaders().read(jobClass, headers(namesAndValues)::get);
            fail(sentence);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage(), e.getMessage().startsWith(sentence));
        }
    }

    @Test
    public void errorsNameTheHeader() {
        for (String time :
                List.of(
                        "",
                        "soon",
                        "2027-01-15",
                        "2027-02-30T00:00:00Z",
                        "+99999-01-15T00:00:00Z",
                        "18:00 Europe/Zagreb")) {
            assertRejected("X-Window-Earliest has to be an instant", "price", "earliest", time);
        }
        for (String time : List.of("", "18:00", "18:00 ", "6 pm Europe/Zagreb")) {
            assertRejected("X-Window-Deadline has to be an instant", "price", "deadline", time);
        }
        assertRejected("X-Window-Deadline has no such", "price", "deadline", "25:00 Europe/Zagreb");
        assertRejected(
                "X-Window-Deadline has no such", "price", "deadline", "18:00 Europe/Atlantis");
        for (String length : List.of("", "5", "-5m", "1e3m", "5 m", "NaNm", "5s")) {
            assertRejected("X-Window-Lasts has to be", "price", "lasts", length);
        }
        assertRejected(
                "X-Window-Lasts must not be longer", "price", "lasts", "999999999999999999m");
        assertRejected("X-Window-Lasts is missing", "confirm", "sites", "split");
        assertRejected("X-Window-Sites is missing", "confirm", "lasts", "5m");
        assertRejected("X-Window-Sites names \"\"", "price", "sites", "zagreb,");
        assertRejected(
                "X-Window-Sites names \"osijek\", which",
                "confirm",
                "lasts",
                "5m",
                "sites",
                "osijek");
        assertRejected(
                "X-Window-Sites names split twice",
                "confirm",
                "lasts",
                "5m",
                "sites",
                "split,split");
    }

    @Test
    public void noHeadersAreReadWithoutWindows() {
        assertNull(
                new SharingExtension(
                                new FakeHost("b"),
                                settings(WindowSettings.NONE),
                                quorum.openerFor(host),
                                Runnable::run)
                        .extensionHeaders());
        ExtensionHeaders read = extension.extensionHeaders();
        assertEquals(
                Set.of(
                        "x-window-earliest",
                        "x-window-deadline",
                        "x-window-lasts",
                        "x-window-sites"),
                read.names());
        assertEquals(
                "no header, no plan", 0, JobConstraints.NONE.startDelayNs(0, job("x", "price")), 0);
    }
}
