package postgrade.sharing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
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
 * The extensions of two dispatchers on one shared state: shares, workers in maintenance and
 * operator endpoints. Time is virtual.
 */
public class SharingExtensionTest {

    private static final long SECOND = 1_000_000;
    private static final SharingSettings SETTINGS = settings(WindowSettings.NONE);

    private final FakeQuorum quorum = new FakeQuorum();
    private final Map<FakeHost, SharingExtension> extensions = new LinkedHashMap<>();

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
                Map.of("m", 4),
                1,
                Set.of("price"),
                false,
                windows,
                2);
    }

    private FakeHost start(String name) {
        return start(name, SETTINGS);
    }

    private FakeHost start(String name, SharingSettings settings) {
        FakeHost host = new FakeHost(name);
        extensions.put(
                host, new SharingExtension(host, settings, quorum.openerFor(host), Runnable::run));
        return host;
    }

    private void run(long micros) {
        for (long elapsed = 0; elapsed < micros; elapsed += SECOND / 10) {
            extensions.keySet().forEach(h -> h.run(SECOND / 10));
            quorum.advance(SECOND / 10);
        }
    }

    private record Answered(int status, long retryAfterMicros, JsonObject json) {}

    private Answered call(FakeHost host, String method, String path, String body) {
        Answered[] answered = new Answered[1];
        extensions
                .get(host)
                .operatorEndpoints()
                .handle(
                        method,
                        path,
                        body.replace('\'', '"').getBytes(StandardCharsets.UTF_8),
                        (status, again, json) -> {
                            assertEquals("must be answered only once", null, answered[0]);
                            answered[0] = new Answered(status, again, Json.parse(json).asObject());
                        });
        for (int i = 0; answered[0] == null && i < 20; i++) {
            run(SECOND / 10);
        }
        return answered[0];
    }

    @Test
    public void ratesAreSplitAmongLiveMembersAndAnUnreachableMemberFallsBack() {
        FakeHost a = start("a");
        assertEquals("has not joined yet", 0.25, a.rateFactor, 0);
        FakeHost b = start("b");
        // A place that was never taken is kept for a while, as its member may be unreachable.
        run(30 * SECOND);
        assertEquals(1, a.rateFactor, 0.01);
        assertEquals(1, b.rateFactor, 0.01);
        quorum.unreachable.add("b");
        for (int i = 0; i < 400; i++) {
            run(SECOND / 10);
            assertTrue(
                    "the sum of the shares exceeds the total: " + a.rateFactor + " " + b.rateFactor,
                    a.rateFactor + b.rateFactor <= 2.0001);
        }
        assertEquals(1.75, a.rateFactor, 0.01);
        assertEquals(0.25, b.rateFactor, 0);
        quorum.unreachable.clear();
        for (int i = 0; i < 200; i++) {
            run(SECOND / 10);
            assertTrue(a.rateFactor + " " + b.rateFactor, a.rateFactor + b.rateFactor <= 2.0001);
        }
        assertEquals(1, a.rateFactor, 0.01);
        assertEquals(1, b.rateFactor, 0.01);
    }

    @Test
    public void shareIsReducedAfterAPauseBeforeRequestsAreAdmitted() {
        FakeHost a = start("a");
        run(30 * SECOND);
        assertEquals(1.75, a.rateFactor, 0.01);
        quorum.unreachable.add("a"); // Its view stays the one from before the pause.
        a.suspend(60 * SECOND);
        extensions.get(a).iterationStarted();
        assertEquals(0.25, a.rateFactor, 0);
    }

    @Test
    public void workersInMaintenanceAreSharedWithAllAndWithNewMembers() {
        FakeHost a = start("a");
        FakeHost b = start("b");
        run(SECOND);
        a.enterMaintenance("w1");
        extensions.get(a).workerMaintenanceChanged("w1", true);
        run(SECOND);
        assertEquals(Set.of("w1"), b.inMaintenance);
        extensions.remove(a);
        FakeHost again = start("a");
        run(SECOND);
        assertEquals(Set.of("w1"), again.inMaintenance);
        quorum.quorumLost = true;
        b.exitMaintenance("w1");
        extensions.get(b).workerMaintenanceChanged("w1", false);
        run(3 * SECOND);
        assertTrue(
                "in effect here, and submitted once the quorum is back", b.inMaintenance.isEmpty());
        assertEquals(Set.of("w1"), again.inMaintenance);
        quorum.quorumLost = false;
        run(3 * SECOND);
        assertTrue(b.inMaintenance.isEmpty() && again.inMaintenance.isEmpty());
    }

    @Test
    public void newProcessJoinsOnlyAfterTheOldOneHasEnded() {
        FakeHost b = new FakeHost("b");
        b.onlyProcess = false;
        extensions.put(b, new SharingExtension(b, SETTINGS, quorum.openerFor(b), Runnable::run));
        run(3 * SECOND);
        assertTrue(
                call(b, "GET", "/sharing", "")
                        .json
                        .getString("fault", "")
                        .contains("another process"));
        b.onlyProcess = true;
        run(3 * SECOND);
        JsonObject now = call(b, "GET", "/sharing", "").json;
        assertTrue(now.toString(), now.get("fault").isNull() && now.getBoolean("joined", false));
    }

    @Test
    public void opensAgainAfterAFailureAndServesWithoutSharedState() {
        FakeHost a = new FakeHost("a");
        boolean[] full = {true};
        extensions.put(
                a,
                new SharingExtension(
                        a,
                        SETTINGS,
                        (parts, now, loop) -> {
                            if (full[0]) {
                                throw new java.io.IOException("no space left on device");
                            }
                            return quorum.openerFor(a).open(parts, now, loop);
                        },
                        Runnable::run));
        run(5 * SECOND);
        assertEquals(
                "no space left on device",
                call(a, "GET", "/sharing", "").json.getString("fault", ""));
        assertEquals(
                503,
                call(
                                a,
                                "PUT",
                                "/reservations/acquire",
                                "{'holder':'s','site':'a','accelerators':1," + "'ttlMs':1000}")
                        .status);
        full[0] = false;
        run(5 * SECOND);
        assertTrue(call(a, "GET", "/sharing", "").json.getBoolean("joined", false));
    }

    @Test
    public void getSharingReportsTheStatus() {
        FakeHost a = start("a");
        run(SECOND);
        a.addWorker("w1", 0);
        extensions.get(a).workerListChanged();
        run(5 * SECOND);
        JsonObject json = call(a, "GET", "/sharing", "").json;
        assertEquals("a", json.getString("name", ""));
        assertEquals("v1", json.getString("leader", ""));
        assertEquals(1, json.getInt("era", 0));
        assertEquals(1, json.getInt("alive", 0));
        assertEquals("full", json.getString("phase", ""));
        assertEquals(4, json.get("phases").asArray().size());
        assertTrue(json.getLong("viewAgeMs", -1) >= 0);
        assertTrue(json.get("index").asLong() > 0);
        quorum.quorumLost = true;
        run(5 * SECOND);
        json = call(a, "GET", "/sharing", "").json;
        assertTrue(
                json.toString(),
                json.getLong("viewAgeMs", 0) >= 5000 && json.get("leader").isNull());
    }

    @Test
    public void reservationLimitsOthersAndFencesTheHolderUntilTheViewIsStale() {
        quorum.leader = "a";
        FakeHost a = start("a");
        FakeHost b = start("b");
        a.addWorker("w1", 7000);
        b.addWorker("w1", 7000);
        run(2 * SECOND);
        String ask = "{'requestId':'r1','holder':'shop','site':'a','accelerators':3,'ttlMs':20000}";
        Answered got = call(b, "PUT", "/reservations/acquire", ask);
        assertEquals(got.json.toString(), 200, got.status);
        assertEquals("granted", got.json.getString("state", ""));
        Answered again = call(a, "PUT", "/reservations/acquire", ask);
        assertEquals(
                "granted once, whichever dispatcher is asked",
                got.json.get("fence"),
                again.json.get("fence"));
        run(SECOND);
        assertEquals(
                1, call(a, "GET", "/reservations", "").json.get("reservations").asArray().size());
        WorkerInfo w1 = new WorkerInfo("w1", "a", "m", 0, WorkerPhase.READY, 1, 0);
        Job own = new Job("1", "price", "shop", null, 1, 1, 0);
        Job other = new Job("2", "price", "t", null, 1, 1, 0);
        Job confirm = new Job("3", "confirm", "t", null, 1, 1, 0);
        JobConstraints constraints = extensions.get(a).jobConstraints();
        assertEquals(1, constraints.usableShare(a.nowMicros() * 1000, own, w1), 0);
        assertEquals(0.25, constraints.usableShare(a.nowMicros() * 1000, other, w1), 0);
        assertEquals(
                "a class that must not repeat never depends on sharing",
                1,
                constraints.usableShare(a.nowMicros() * 1000, confirm, w1),
                0);
        assertEquals("7=" + got.json.get("fence"), extensions.get(a).fence("price", "shop", "w1"));
        assertEquals(null, extensions.get(a).fence("price", "t", "w1"));
        quorum.unreachable.add("a");
        run(3 * SECOND);
        assertEquals("the view is too old", null, extensions.get(a).fence("price", "shop", "w1"));
        Answered release =
                call(b, "PUT", "/reservations/release", "{'holder':'shop','site':'a','fence':1}");
        assertEquals(409, release.status);
        assertEquals(
                404,
                call(b, "PUT", "/reservations/renew", "{'holder':'x','site':'a','fence':1}")
                        .status);
        assertEquals(
                200,
                call(
                                b,
                                "PUT",
                                "/reservations/release",
                                "{'holder':'shop','site':'a','fence':"
                                        + got.json.get("fence")
                                        + "}")
                        .status);
    }

    private static String calendar(String begin, String end, String more) {
        return ("{'site':'zagreb','zone':'Europe/Zagreb','text':'BEGIN:VCALENDAR\\r\\nVERSION:2.0\\r\\n"
                + "PRODID:-//t//t//EN\\r\\nBEGIN:VEVENT\\r\\nUID:1\\r\\nDTSTAMP:20270101T000000Z\\r\\nDTSTART:"
                + begin
                + "\\r\\nDTEND:"
                + end
                + "\\r\\n"
                + more
                + "END:VEVENT\\r\\nEND:VCALENDAR\\r\\n'}");
    }

    @Test
    public void windowedJobsStartOnlyWithACalendarOutsideMaintenanceAndWithAFreshView() {
        WindowSettings windows =
                new WindowSettings(
                        List.of(
                                new JobClassWindow(
                                        "price",
                                        List.of("zagreb"),
                                        null,
                                        null,
                                        Deadline.NONE,
                                        0,
                                        60_000)),
                        Map.of(),
                        Map.of("a", "zagreb"),
                        1000);
        // The time is 2027-01-15 08:00 UTC, 9 o'clock in Zagreb.
        FakeHost a = start("a", settings(windows));
        FakeHost b = start("b", settings(windows));
        run(2 * SECOND);
        JobConstraints constraints = extensions.get(a).jobConstraints();
        Job job = new Job("1", "price", "t", null, 1, 1, 0);
        Job free = new Job("2", "confirm", "t", null, 1, 1, 0);
        assertTrue(constraints.startDelayNs(a.nowMicros() * 1000, job) > 0);
        assertEquals(0, constraints.startDelayNs(a.nowMicros() * 1000, free));
        assertEquals(503, call(b, "POST", "/windows", "{'class':'price'}").status);
        Answered bad =
                call(
                        b,
                        "PUT",
                        "/calendar",
                        calendar("20270115T090000", "20270115T090500", "RRULE:FREQ=X\\r\\n"));
        assertEquals(400, bad.status);
        assertTrue(
                bad.json.toString(),
                bad.json.getString("error", "").matches("text line 9: RRULE .*"));
        assertEquals(
                200,
                call(b, "PUT", "/calendar", calendar("20270115T090200", "20270115T093000", ""))
                        .status);
        run(SECOND);
        assertEquals(0, constraints.startDelayNs(a.nowMicros() * 1000, job));
        assertEquals(
                1,
                constraints.usableShare(
                        a.nowMicros() * 1000,
                        job,
                        new WorkerInfo("w", "a", "m", 0, WorkerPhase.READY, 1, 0)),
                0);
        assertEquals(
                0,
                constraints.usableShare(
                        a.nowMicros() * 1000,
                        job,
                        new WorkerInfo("w", "b", "m", 0, WorkerPhase.READY, 1, 0)),
                0);
        JsonObject open = call(a, "POST", "/windows", "{'class':'price'}").json;
        assertEquals("2027-01-15T08:00:59.001Z", open.getString("closes", ""));
        run(60 * SECOND);
        assertTrue(
                "the job would overlap the maintenance",
                constraints.startDelayNs(a.nowMicros() * 1000, job) > 0);
        JsonObject closed = call(a, "POST", "/windows", "{'class':'price'}").json;
        assertEquals("2027-01-15T08:30:01Z", closed.getString("opens", ""));
        assertEquals(
                "maintenance",
                closed.get("exclusions").asArray().get(0).asObject().getString("reason", ""));
        run(1800 * SECOND);
        assertEquals(0, constraints.startDelayNs(a.nowMicros() * 1000, job));
        quorum.unreachable.add("a");
        run(6 * SECOND);
        assertTrue(
                "another calendar may be in force by now",
                constraints.startDelayNs(a.nowMicros() * 1000, job) > 0);
        assertEquals(404, call(b, "POST", "/windows", "{'class':'confirm'}").status);
        assertEquals(
                200,
                call(
                                b,
                                "POST",
                                "/windows",
                                "{'earliest':'2027-02-01T00:00:00Z','deadline':{'time':'18:00',"
                                        + "'zone':'Europe/Zagreb'},'lastsMs':600000,'sites':['zagreb']}")
                        .status);
        for (String faulty : new String[] {"earliest", "deadline", "sites", "lastsMs"}) {
            Answered answer =
                    call(
                            b,
                            "POST",
                            "/windows",
                            "{'lastsMs':5,'sites':['zagreb']}"
                                    .replace(
                                            "}",
                                            faulty.equals("sites") || faulty.equals("lastsMs")
                                                    ? "}"
                                                    : ",'" + faulty + "':'soon'}")
                                    .replace("'" + faulty + "':5", "'" + faulty + "':-5")
                                    .replace(
                                            "['zagreb']",
                                            faulty.equals("sites") ? "[]" : "['zagreb']"));
            assertEquals(faulty, 400, answer.status);
            assertTrue(
                    answer.json.toString(), answer.json.getString("error", "").startsWith(faulty));
        }
    }

    @Test
    public void invalidCallsNameTheFieldAndUndecidedCallsAreUnavailable() {
        FakeHost a = start("a");
        run(SECOND);
        String path = "/reservations/acquire";
        for (String[] bad :
                new String[][] {
                    {"{", "body is not JSON"},
                    {"[]", "body has to be an object"},
                    {"{'requestId':7}", "requestId has to be"},
                    {"{'holder':['x']}", "holder has to be"},
                    {"{'holder':'a','holder':'b'}", "holder stands there twice"}
                }) {
            Answered answer = call(a, "PUT", path, bad[0]);
            assertEquals(bad[0], 400, answer.status);
            assertTrue(
                    answer.json.toString(), answer.json.getString("error", "").startsWith(bad[1]));
            assertTrue(
                    answer.json.get("viewAgeMs").isNumber() && answer.json.get("era").isNumber());
        }
        quorum.quorumLost = true;
        Answered none =
                call(a, "PUT", path, "{'holder':'s','site':'a','accelerators':1,'ttlMs':1000}");
        assertEquals(503, none.status);
        assertEquals(700_000, none.retryAfterMicros);
        assertEquals(Set.of(), extensions.get(a).operatorEndpoints().allowedMethods("/nowhere"));
        assertFalse(extensions.get(a).operatorEndpoints().allowedMethods("/sharing").isEmpty());
    }
}
