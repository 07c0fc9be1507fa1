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
 * The hand-over between two processes of one dispatcher, next to another dispatcher with the same
 * shared state. Time is virtual.
 */
public class ProcessHandOverTest {

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
    private final Map<FakeHost, SharingExtension> extensions = new LinkedHashMap<>();
    private final FakeHost oldProcess = start(new FakeHost("a"));
    private FakeHost otherDispatcher = start(new FakeHost("b"));
    private FakeHost newProcess;

    private FakeHost start(FakeHost host) {
        extensions.put(
                host, new SharingExtension(host, SETTINGS, quorum.openerFor(host), Runnable::run));
        return host;
    }

    private void run(long micros) {
        for (long elapsed = 0; elapsed < micros; elapsed += SECOND / 10) {
            extensions.keySet().forEach(h -> h.run(SECOND / 10));
            quorum.advance(SECOND / 10);
        }
    }

    private JsonObject call(FakeHost host, String method, String path, String body) {
        String[] answer = new String[1];
        extensions
                .get(host)
                .operatorEndpoints()
                .handle(method, path, body.getBytes(), (status, again, json) -> answer[0] = json);
        while (answer[0] == null) {
            run(SECOND / 10);
        }
        return Json.parse(answer[0]).asObject();
    }

    /** Starts a new process that is linked with the old one and receives its hand-over state. */
    private void upgrade() {
        newProcess = new FakeHost("a");
        newProcess.run(oldProcess.nowMicros() - newProcess.nowMicros());
        oldProcess.onlyProcess = false;
        newProcess.onlyProcess = false;
        newProcess.startedByHandOver = true;
        newProcess.predecessorState = extensions.get(oldProcess).handOverState();
        newProcess.inMaintenance.addAll(oldProcess.inMaintenance);
        start(newProcess);
        extensions.get(oldProcess).peersChanged();
    }

    private void stopOldProcess() {
        extensions.remove(oldProcess).close();
        newProcess.onlyProcess = true;
        extensions.get(newProcess).peersChanged();
    }

    @Test
    public void newProcessHasAViewAtOnceAndSharesTheOldMembership() {
        run(30 * SECOND);
        assertTrue(call(oldProcess, "PUT", "/calendar", CALENDAR).get("error") == null);
        run(SECOND);
        assertEquals(1, oldProcess.rateFactor, 0.01);
        upgrade();
        run(SECOND / 2);
        assertEquals(
                "both use the same share, and the link halves it", 1, newProcess.rateFactor, 0.01);
        JobConstraints constraints = extensions.get(newProcess).jobConstraints();
        Job job = new Job("1", "price", "t", null, 1, 1, 0);
        assertEquals(
                "the calendars are known",
                0,
                constraints.startDelayNs(newProcess.nowMicros() * 1000, job));
        JsonObject status = call(newProcess, "GET", "/sharing", "");
        assertTrue(status.toString(), status.getBoolean("joined", false));
        for (int i = 0; i < 100; i++) {
            run(SECOND / 10);
            assertEquals("the old process keeps its share", 1, oldProcess.rateFactor, 0.01);
        }
        newProcess.minRateFactor = 1;
        quorum.withoutOwnView.add(newProcess);
        stopOldProcess();
        for (int i = 0; i < 100; i++) {
            if (i == 20) {
                quorum.withoutOwnView.clear();
            }
            run(SECOND / 10);
            assertTrue(
                    "the share must not fall: " + newProcess.minRateFactor,
                    newProcess.minRateFactor > 0.99);
            assertTrue(
                    newProcess.rateFactor + " " + otherDispatcher.rateFactor,
                    newProcess.rateFactor + otherDispatcher.rateFactor <= 2.0001);
            assertEquals(
                    "jobs can always start",
                    0,
                    constraints.startDelayNs(newProcess.nowMicros() * 1000, job));
        }
        status = call(newProcess, "GET", "/sharing", "");
        assertTrue(
                status.toString(),
                status.get("fault").isNull() && status.get("members").asArray().size() == 2);
        assertEquals(
                "the new process has its own incarnation",
                "3",
                status.get("incarnation").toString());
    }

    @Test
    public void revokedShareStaysReservedWhileTheNewProcessMayStillUseIt() {
        run(30 * SECOND);
        extensions.remove(otherDispatcher);
        run(40 * SECOND);
        assertEquals(1.75, oldProcess.rateFactor, 0.01);
        upgrade();
        run(SECOND);
        assertEquals(1.75, newProcess.rateFactor, 0.01);
        quorum.withoutUpdates.add(newProcess);
        otherDispatcher = start(new FakeHost("b"));
        otherDispatcher.run(oldProcess.nowMicros() - otherDispatcher.nowMicros());
        for (int i = 0; i < 10; i++) {
            run(SECOND / 10);
            assertSumWithinLimit((oldProcess.rateFactor + newProcess.rateFactor) / 2);
        }
        assertEquals("the share has been revoked", 1, oldProcess.rateFactor, 0.01);
        assertEquals("and the new process has not seen it", 1.75, newProcess.rateFactor, 0.01);
        stopOldProcess();
        for (int i = 0; i < 200; i++) {
            run(SECOND / 10);
            assertSumWithinLimit(newProcess.rateFactor);
        }
        quorum.withoutUpdates.clear();
        for (int i = 0; i < 200; i++) {
            run(SECOND / 10);
            assertSumWithinLimit(newProcess.rateFactor);
        }
        assertEquals(1, newProcess.rateFactor, 0.01);
        assertEquals(1, otherDispatcher.rateFactor, 0.01);
    }

    @Test
    public void oldProcessDoesNotLeaveWhileTheNewOneUsesItsMembership() {
        run(30 * SECOND);
        extensions.remove(otherDispatcher);
        run(40 * SECOND);
        upgrade();
        run(SECOND);
        extensions.remove(oldProcess).close();
        oldProcess.run(SECOND);
        quorum.unreachable.add("a");
        newProcess.onlyProcess = true;
        otherDispatcher = start(new FakeHost("b"));
        otherDispatcher.run(newProcess.nowMicros() - otherDispatcher.nowMicros());
        for (int i = 0; i < 300; i++) {
            run(SECOND / 10);
            assertSumWithinLimit(newProcess.rateFactor);
        }
    }

    private void assertSumWithinLimit(double shareOfA) {
        assertTrue(
                "the sum of the shares exceeds the total: "
                        + shareOfA
                        + " "
                        + otherDispatcher.rateFactor,
                shareOfA + otherDispatcher.rateFactor <= 2.0001);
    }

    @Test
    public void undecidedMaintenanceChangesAreSubmittedByTheNewProcess() {
        run(2 * SECOND);
        oldProcess.enterMaintenance("w1");
        extensions.get(oldProcess).workerMaintenanceChanged("w1", true);
        run(SECOND);
        quorum.quorumLost = true;
        oldProcess.enterMaintenance("w2");
        extensions.get(oldProcess).workerMaintenanceChanged("w2", true);
        oldProcess.exitMaintenance("w1");
        extensions.get(oldProcess).workerMaintenanceChanged("w1", false);
        run(SECOND);
        upgrade();
        extensions.remove(oldProcess);
        newProcess.onlyProcess = true;
        quorum.quorumLost = false;
        run(5 * SECOND);
        assertEquals(Set.of("w2"), newProcess.inMaintenance);
        assertEquals(Set.of("w2"), otherDispatcher.inMaintenance);
    }

    @Test
    public void workerReturnedToServiceElsewhereDuringHandOverIsReturnedInBothProcesses() {
        run(2 * SECOND);
        otherDispatcher.enterMaintenance("w1");
        extensions.get(otherDispatcher).workerMaintenanceChanged("w1", true);
        run(SECOND);
        assertEquals(Set.of("w1"), oldProcess.inMaintenance);
        upgrade();
        otherDispatcher.exitMaintenance("w1");
        extensions.get(otherDispatcher).workerMaintenanceChanged("w1", false);
        run(SECOND);
        assertTrue(oldProcess.inMaintenance.isEmpty() && newProcess.inMaintenance.isEmpty());
    }

    @Test
    public void processWithoutHandOverStateServesByTheFloorShare() {
        run(30 * SECOND);
        newProcess = new FakeHost("a");
        newProcess.run(oldProcess.nowMicros() - newProcess.nowMicros());
        newProcess.onlyProcess = false;
        start(newProcess);
        run(10 * SECOND);
        assertEquals(0.25, newProcess.rateFactor, 0);
    }
}
