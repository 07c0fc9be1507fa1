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
 * Two dispatchers' companions on one state: shares, workers out, operators' calls. Time is virtual.
 */
public class SharedTest {

    private static final long SECOND = 1_000_000;
    private static final SharingSettings SETTINGS = settings(WindowSettings.NONE);

    private final FakeQuorum quorum = new FakeQuorum();
    private final Map<FakeHost, Shared> all = new LinkedHashMap<>();

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
        all.put(host, new Shared(host, settings, quorum.as(host), Runnable::run));
        return host;
    }

    private void run(long micros) {
        for (long passed = 0; passed < micros; passed += SECOND / 10) {
            all.keySet().forEach(h -> h.run(SECOND / 10));
            quorum.advance(SECOND / 10);
        }
    }

    private record Answered(int status, long retryAfterMicros, JsonObject json) {}

    private Answered call(FakeHost host, String method, String path, String body) {
        Answered[] answered = new Answered[1];
        all.get(host)
                .operatorEndpoints()
                .handle(
                        method,
                        path,
                        body.replace('\'', '"').getBytes(StandardCharsets.UTF_8),
                        (status, again, json) -> {
                            assertEquals("answered once", null, answered[0]);
                            answered[0] = new Answered(status, again, Json.parse(json).asObject());
                        });
        for (int i = 0; answered[0] == null && i < 20; i++) {
            run(SECOND / 10);
        }
        return answered[0];
    }

    @Test
    public void theRatesAreSplitOverWhoLivesAndOneCutOffFallsBackByItsOwnClock() {
        FakeHost a = start("a");
        assertEquals("not joined yet", 0.25, a.share, 0);
        FakeHost b = start("b");
        // A place that nobody was seen in is kept for a while: it may be cut off.
        run(30 * SECOND);
        assertEquals(1, a.share, 0.01);
        assertEquals(1, b.share, 0.01);
        quorum.cutOff.add("b");
        for (int i = 0; i < 400; i++) {
            run(SECOND / 10);
            assertTrue(
                    "the sum is never above the whole: " + a.share + " " + b.share,
                    a.share + b.share <= 2.0001);
        }
        assertEquals(1.75, a.share, 0.01);
        assertEquals(0.25, b.share, 0);
        quorum.cutOff.clear();
        for (int i = 0; i < 200; i++) {
            run(SECOND / 10);
            assertTrue(a.share + " " + b.share, a.share + b.share <= 2.0001);
        }
        assertEquals(1, a.share, 0.01);
        assertEquals(1, b.share, 0.01);
    }

    @Test
    public void afterAPauseItsShareHasFallenBeforeAnythingIsTakenIn() {
        FakeHost a = start("a");
        run(30 * SECOND);
        assertEquals(1.75, a.share, 0.01);
        quorum.cutOff.add("a"); // Its view is the one from before.
        a.sleep(60 * SECOND);
        all.get(a).iterationStarted();
        assertEquals(0.25, a.share, 0);
    }

    @Test
    public void workersOutAreOutEverywhereAndForOneThatStartsWithNothing() {
        FakeHost a = start("a");
        FakeHost b = start("b");
        run(SECOND);
        a.enterMaintenance("w1");
        all.get(a).workerMaintenanceChanged("w1", true);
        run(SECOND);
        assertEquals(Set.of("w1"), b.out);
        all.remove(a);
        FakeHost again = start("a");
        run(SECOND);
        assertEquals(Set.of("w1"), again.out);
        quorum.lost = true;
        b.exitMaintenance("w1");
        all.get(b).workerMaintenanceChanged("w1", false);
        run(3 * SECOND);
        assertTrue("done here, and told when it can be", b.out.isEmpty());
        assertEquals(Set.of("w1"), again.out);
        quorum.lost = false;
        run(3 * SECOND);
        assertTrue(b.out.isEmpty() && again.out.isEmpty());
    }

    @Test
    public void anUpgradesNewProcessWaitsForThePlaceOfTheOldOne() {
        FakeHost b = new FakeHost("b");
        b.alone = false;
        all.put(b, new Shared(b, SETTINGS, quorum.as(b), Runnable::run));
        run(3 * SECOND);
        assertTrue(
                call(b, "GET", "/sharing", "")
                        .json
                        .getString("fault", "")
                        .contains("another process"));
        b.alone = true;
        run(3 * SECOND);
        JsonObject now = call(b, "GET", "/sharing", "").json;
        assertTrue(now.toString(), now.get("fault").isNull() && now.getBoolean("joined", false));
    }

    @Test
    public void whatCannotBeOpenedIsTriedAgainAndServedWithoutMeanwhile() {
        FakeHost a = new FakeHost("a");
        boolean[] full = {true};
        all.put(
                a,
                new Shared(
                        a,
                        SETTINGS,
                        (parts, now, loop) -> {
                            if (full[0]) {
                                throw new java.io.IOException("no space left on device");
                            }
                            return quorum.as(a).open(parts, now, loop);
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
    public void getSharingTellsHowItStands() {
        FakeHost a = start("a");
        run(SECOND);
        a.worker("w1", 0);
        all.get(a).workerListChanged();
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
        quorum.lost = true;
        run(5 * SECOND);
        json = call(a, "GET", "/sharing", "").json;
        assertTrue(
                json.toString(),
                json.getLong("viewAgeMs", 0) >= 5000 && json.get("leader").isNull());
    }

    @Test
    public void aReservationShrinksTheWorkerForOthersAndGivesTheHolderItsFenceUntilTheViewIsOld() {
        quorum.leader = "a";
        FakeHost a = start("a");
        FakeHost b = start("b");
        a.worker("w1", 7000);
        b.worker("w1", 7000);
        run(2 * SECOND);
        String ask = "{'requestId':'r1','holder':'shop','site':'a','accelerators':3,'ttlMs':20000}";
        Answered got = call(b, "PUT", "/reservations/acquire", ask);
        assertEquals(got.json.toString(), 200, got.status);
        assertEquals("granted", got.json.getString("state", ""));
        Answered again = call(a, "PUT", "/reservations/acquire", ask);
        assertEquals("once, whoever is asked", got.json.get("fence"), again.json.get("fence"));
        run(SECOND);
        assertEquals(
                1, call(a, "GET", "/reservations", "").json.get("reservations").asArray().size());
        WorkerInfo w1 = new WorkerInfo("w1", "a", "m", 0, WorkerPhase.READY, 1, 0);
        Job own = new Job("1", "price", "shop", null, 1, 1, 0);
        Job other = new Job("2", "price", "t", null, 1, 1, 0);
        Job confirm = new Job("3", "confirm", "t", null, 1, 1, 0);
        JobConstraints ability = all.get(a).jobConstraints();
        assertEquals(1, ability.usableShare(a.nowMicros() * 1000, own, w1), 0);
        assertEquals(0.25, ability.usableShare(a.nowMicros() * 1000, other, w1), 0);
        assertEquals(
                "never depends on sharing",
                1,
                ability.usableShare(a.nowMicros() * 1000, confirm, w1),
                0);
        assertEquals("7=" + got.json.get("fence"), all.get(a).fence("price", "shop", "w1"));
        assertEquals(null, all.get(a).fence("price", "t", "w1"));
        quorum.cutOff.add("a");
        run(3 * SECOND);
        assertEquals("its view is too old", null, all.get(a).fence("price", "shop", "w1"));
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
    public void noJobOfAClassWithWindowsStartsWithoutACalendarInMaintenanceOrByAnOldView() {
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
        FakeHost a =
                start("a", settings(windows)); // It is 2027-01-15 08:00 UTC, 9 o'clock in Zagreb.
        FakeHost b = start("b", settings(windows));
        run(2 * SECOND);
        JobConstraints ability = all.get(a).jobConstraints();
        Job job = new Job("1", "price", "t", null, 1, 1, 0);
        Job free = new Job("2", "confirm", "t", null, 1, 1, 0);
        assertTrue(ability.startDelayNs(a.nowMicros() * 1000, job) > 0);
        assertEquals(0, ability.startDelayNs(a.nowMicros() * 1000, free));
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
        assertEquals(0, ability.startDelayNs(a.nowMicros() * 1000, job));
        assertEquals(
                1,
                ability.usableShare(
                        a.nowMicros() * 1000,
                        job,
                        new WorkerInfo("w", "a", "m", 0, WorkerPhase.READY, 1, 0)),
                0);
        assertEquals(
                0,
                ability.usableShare(
                        a.nowMicros() * 1000,
                        job,
                        new WorkerInfo("w", "b", "m", 0, WorkerPhase.READY, 1, 0)),
                0);
        JsonObject open = call(a, "POST", "/windows", "{'class':'price'}").json;
        assertEquals("2027-01-15T08:00:59.001Z", open.getString("closes", ""));
        run(60 * SECOND);
        assertTrue(
                "it would run into the maintenance",
                ability.startDelayNs(a.nowMicros() * 1000, job) > 0);
        JsonObject closed = call(a, "POST", "/windows", "{'class':'price'}").json;
        assertEquals("2027-01-15T08:30:01Z", closed.getString("opens", ""));
        assertEquals(
                "maintenance",
                closed.get("exclusions").asArray().get(0).asObject().getString("reason", ""));
        run(1800 * SECOND);
        assertEquals(0, ability.startDelayNs(a.nowMicros() * 1000, job));
        quorum.cutOff.add("a");
        run(6 * SECOND);
        assertTrue(
                "another calendar may count by now",
                ability.startDelayNs(a.nowMicros() * 1000, job) > 0);
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
    public void aBadCallIsNamedAndWhatCannotBeDecidedIsNotGuessed() {
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
        quorum.lost = true;
        Answered none =
                call(a, "PUT", path, "{'holder':'s','site':'a','accelerators':1,'ttlMs':1000}");
        assertEquals(503, none.status);
        assertEquals(700_000, none.retryAfterMicros);
        assertEquals(Set.of(), all.get(a).operatorEndpoints().allowedMethods("/nowhere"));
        assertFalse(all.get(a).operatorEndpoints().allowedMethods("/sharing").isEmpty());
    }
}
