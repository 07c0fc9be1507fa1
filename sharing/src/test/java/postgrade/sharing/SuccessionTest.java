package postgrade.sharing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import postgrade.member.MembershipTerms;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.sharing.settings.SharingSettings;
import postgrade.sharing.window.WindowSettings;
import postgrade.window.Deadline;
import postgrade.window.JobClassWindow;

/**
 * Two processes of one dispatcher and their companions, beside another dispatcher's, on one state.
 * Time is virtual.
 */
public class SuccessionTest {

    private static final long SECOND = 1_000_000;
    private static final SharingSettings SETTINGS =
            new SharingSettings(
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
                            1000),
                    2);
    private static final String CALENDAR =
            "{\"site\":\"zagreb\",\"zone\":\"Europe/Zagreb\",\"text\":\"BEGIN:VCALENDAR\\r\\n"
                    + "VERSION:2.0\\r\\nPRODID:-//t//t//EN\\r\\nBEGIN:VEVENT\\r\\nUID:1\\r\\nDTSTAMP:20270101T000000Z\\r\\n"
                    + "DTSTART:20270301T090000\\r\\nDTEND:20270301T100000\\r\\nEND:VEVENT\\r\\nEND:VCALENDAR\\r\\n\"}";

    private final FakeQuorum quorum = new FakeQuorum();
    private final Map<FakeHost, Shared> all = new LinkedHashMap<>();
    private final FakeHost old = start(new FakeHost("a"));
    private FakeHost other = start(new FakeHost("b"));
    private FakeHost next;

    private FakeHost start(FakeHost host) {
        all.put(host, new Shared(host, SETTINGS, quorum.as(host), Runnable::run));
        return host;
    }

    private void run(long micros) {
        for (long passed = 0; passed < micros; passed += SECOND / 10) {
            all.keySet().forEach(h -> h.run(SECOND / 10));
            quorum.advance(SECOND / 10);
        }
    }

    private JsonObject call(FakeHost host, String method, String path, String body) {
        String[] answer = new String[1];
        all.get(host)
                .operatorEndpoints()
                .handle(method, path, body.getBytes(), (status, again, json) -> answer[0] = json);
        while (answer[0] == null) {
            run(SECOND / 10);
        }
        return Json.parse(answer[0]).asObject();
    }

    /** A new process is linked with the old one, which tells what it knows. */
    private void upgrade() {
        next = new FakeHost("a");
        next.run(old.nowMicros() - next.nowMicros());
        old.alone = false;
        next.alone = false;
        next.tookOver = true;
        next.former = all.get(old).handOverState();
        next.out.addAll(old.out);
        start(next);
        all.get(old).peersChanged();
    }

    private void oldEnds() {
        all.remove(old).close();
        next.alone = true;
        all.get(next).peersChanged();
    }

    @Test
    public void theNewProcessHasAViewAtOnceAndBothGoByOneShare() {
        run(30 * SECOND);
        assertTrue(call(old, "PUT", "/calendar", CALENDAR).get("error") == null);
        run(SECOND);
        assertEquals(1, old.share, 0.01);
        upgrade();
        run(SECOND / 2);
        assertEquals("each takes half of it, by the link", 1, next.share, 0.01);
        JobConstraints ability = all.get(next).jobConstraints();
        Job job = new Job("1", "price", "t", null, 1, 1, 0);
        assertEquals(
                "it knows the calendars", 0, ability.startDelayNs(next.nowMicros() * 1000, job));
        JsonObject told = call(next, "GET", "/sharing", "");
        assertTrue(told.toString(), told.getBoolean("joined", false));
        for (int i = 0; i < 100; i++) {
            run(SECOND / 10);
            assertEquals("the old one keeps its place", 1, old.share, 0.01);
        }
        next.leastShare = 1;
        quorum.late.add(next);
        oldEnds();
        for (int i = 0; i < 100; i++) {
            if (i == 20) {
                quorum.late.clear();
            }
            run(SECOND / 10);
            assertTrue("no dip: " + next.leastShare, next.leastShare > 0.99);
            assertTrue(next.share + " " + other.share, next.share + other.share <= 2.0001);
            assertEquals("at each moment", 0, ability.startDelayNs(next.nowMicros() * 1000, job));
        }
        told = call(next, "GET", "/sharing", "");
        assertTrue(
                told.toString(),
                told.get("fault").isNull() && told.get("members").asArray().size() == 2);
        assertEquals("the place is the new one's", "3", told.get("incarnation").toString());
    }

    @Test
    public void aShareTakenBackIsNotGivenAwayWhileTheNewProcessMayGoByTheFormerOne() {
        run(30 * SECOND);
        all.remove(other);
        run(40 * SECOND);
        assertEquals(1.75, old.share, 0.01);
        upgrade();
        run(SECOND);
        assertEquals(1.75, next.share, 0.01);
        quorum.blind.add(next);
        other = start(new FakeHost("b"));
        other.run(old.nowMicros() - other.nowMicros());
        for (int i = 0; i < 10; i++) {
            run(SECOND / 10);
            sum((old.share + next.share) / 2);
        }
        assertEquals("it has been taken back", 1, old.share, 0.01);
        assertEquals("and this one has not heard of it", 1.75, next.share, 0.01);
        oldEnds();
        for (int i = 0; i < 200; i++) {
            run(SECOND / 10);
            sum(next.share);
        }
        quorum.blind.clear();
        for (int i = 0; i < 200; i++) {
            run(SECOND / 10);
            sum(next.share);
        }
        assertEquals(1, next.share, 0.01);
        assertEquals(1, other.share, 0.01);
    }

    @Test
    public void theOldProcessDoesNotGiveUpThePlaceThatTheNewOneGoesBy() {
        run(30 * SECOND);
        all.remove(other);
        run(40 * SECOND);
        upgrade();
        run(SECOND);
        all.remove(old).close();
        old.run(SECOND);
        quorum.cutOff.add("a");
        next.alone = true;
        other = start(new FakeHost("b"));
        other.run(next.nowMicros() - other.nowMicros());
        for (int i = 0; i < 300; i++) {
            run(SECOND / 10);
            sum(next.share);
        }
    }

    private void sum(double ofA) {
        assertTrue(
                "the sum is never above the whole: " + ofA + " " + other.share,
                ofA + other.share <= 2.0001);
    }

    @Test
    public void whatOperatorsSaidToTheOldProcessAndNoneHasDecidedIsToldByTheNewOne() {
        run(2 * SECOND);
        old.enterMaintenance("w1");
        all.get(old).workerMaintenanceChanged("w1", true);
        run(SECOND);
        quorum.lost = true;
        old.enterMaintenance("w2");
        all.get(old).workerMaintenanceChanged("w2", true);
        old.exitMaintenance("w1");
        all.get(old).workerMaintenanceChanged("w1", false);
        run(SECOND);
        upgrade();
        all.remove(old);
        next.alone = true;
        quorum.lost = false;
        run(5 * SECOND);
        assertEquals(Set.of("w2"), next.out);
        assertEquals(Set.of("w2"), other.out);
    }

    @Test
    public void aWorkerPutBackElsewhereWhileTheNewProcessStartsIsBackThereToo() {
        run(2 * SECOND);
        other.enterMaintenance("w1");
        all.get(other).workerMaintenanceChanged("w1", true);
        run(SECOND);
        assertEquals(Set.of("w1"), old.out);
        upgrade();
        other.exitMaintenance("w1");
        all.get(other).workerMaintenanceChanged("w1", false);
        run(SECOND);
        assertTrue(old.out.isEmpty() && next.out.isEmpty());
    }

    @Test
    public void oneThatWasNotToldOfTheMembershipGoesByTheFloor() {
        run(30 * SECOND);
        next = new FakeHost("a");
        next.run(old.nowMicros() - next.nowMicros());
        next.alone = false;
        start(next);
        run(10 * SECOND);
        assertEquals(0.25, next.share, 0);
    }
}
