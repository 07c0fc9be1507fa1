package postgrade.rig.shared;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import postgrade.fleet.Clock;
import postgrade.fleet.check.LedgerReader.Line;
import postgrade.rig.KeptFolder;
import postgrade.rig.check.ShareCheck;
import postgrade.rig.check.WorkerMaintenanceCheck;
import postgrade.rig.disk.DiskFaults;
import postgrade.rig.process.JavaProcess;
import postgrade.rig.serve.OperatorCall;

/**
 * Checks recovery of real dispatchers under load after kills and partitions: shares, workers in
 * maintenance, and lost or corrupt state.
 */
public class RecoveryTest {

    /**
     * Share of the rates that three survivors reach: all but a quarter of an even share, which the
     * settings reserve permanently for each member's place.
     */
    private static final double SURVIVORS_SHARE = 0.937;

    private static final String WORKER = "w-0002";

    @Rule public final KeptFolder folder = new KeptFolder("comingback");
    private SharedStateCluster cluster;

    @Before
    public void open() throws IOException, InterruptedException {
        cluster =
                new SharedStateCluster(
                        folder.path(),
                        "lease_s = 4\nlinger_s = 0\nmemory_every_s = 0.5\n",
                        "",
                        "slot-check",
                        "order-confirm");
        cluster.load.setRate(60);
    }

    @After
    public void close() throws IOException {
        if (cluster != null) {
            cluster.close();
        }
    }

    /**
     * Records the shares of all dispatchers and returns their sum. A returning dispatcher is read
     * first: its growing share is seen before the shares that must have shrunk by then.
     */
    private double recordShares(
            List<ShareCheck.ShareChange> changes, Set<String> killed, String... readFirst)
            throws IOException, InterruptedException {
        List<String> order = new ArrayList<>(List.of(readFirst));
        SharedStateCluster.DISPATCHERS.stream().filter(n -> !order.contains(n)).forEach(order::add);
        Map<String, Double> shares = new TreeMap<>();
        for (String name : order) {
            shares.put(
                    name,
                    killed.contains(name)
                            ? 0
                            : cluster.dispatchers
                                            .call("GET", name, "/sharing", null)
                                            .json()
                                            .getDouble("share", 0)
                                    / SharedStateCluster.DISPATCHERS.size());
        }
        long now = Clock.micros();
        shares.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .forEach(
                        e ->
                                changes.add(
                                        new ShareCheck.ShareChange(now, e.getKey(), e.getValue())));
        return shares.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    @Test
    public void sharesMoveToSurvivorsAndBackWithoutExceedingTheWhole()
            throws IOException, InterruptedException {
        List<ShareCheck.ShareChange> changes = new ArrayList<>();
        double greatestSum = 0;
        greatestSum = Math.max(greatestSum, recordShares(changes, Set.of()));
        cluster.kill("n4");
        double survivorsSum = 0;
        for (long deadlineMicros = Clock.micros() + SharedStateCluster.TIMEOUT_MILLIS * 1000;
                survivorsSum < SURVIVORS_SHARE && Clock.micros() < deadlineMicros; ) {
            survivorsSum = recordShares(changes, Set.of("n4"));
            greatestSum = Math.max(greatestSum, survivorsSum);
        }
        assertTrue(
                "the survivors use " + survivorsSum + " of the rates",
                survivorsSum >= SURVIVORS_SHARE);
        cluster.restart("n4");
        double ownShare = 0;
        for (long deadlineMicros = Clock.micros() + SharedStateCluster.TIMEOUT_MILLIS * 1000;
                ownShare < 0.99 && Clock.micros() < deadlineMicros; ) {
            greatestSum = Math.max(greatestSum, recordShares(changes, Set.of(), "n4"));
            ownShare =
                    cluster.dispatchers
                            .call("GET", "n4", "/sharing", null)
                            .json()
                            .getDouble("share", 0);
        }
        assertTrue(
                "the returned dispatcher uses " + ownShare + " of its even share",
                ownShare >= 0.99);
        assertTrue("the shares sum to " + greatestSum, greatestSum <= 1.001);
        cluster.assertRulesHold("n4");
    }

    @Test
    public void workerStaysInMaintenanceForDispatcherThatLostItsStore()
            throws IOException, InterruptedException {
        assertEquals(
                200,
                cluster.callUntilDecided(
                                "PUT",
                                "n1",
                                "/maintenance/enter",
                                new JsonObject().add("id", WORKER))
                        .status());
        // Every dispatcher must report the maintenance itself.
        awaitMaintenance(SharedStateCluster.DISPATCHERS.toArray(new String[0]));
        long knownMicros = Clock.micros();
        long killedMicros = Clock.micros();
        cluster.kill("n4");
        DiskFaults.wipe(cluster.dispatchers.cluster().store("n4"));
        cluster.restart("n4");
        // Until its first view arrives it has no shared state and uses only the discovery list.
        cluster.awaitJoined("n4");
        long joinedMicros = Clock.micros();
        long sent = cluster.awaitSent("n4", "slot-check", joinedMicros);
        cluster.awaitSent("n4", "slot-check", sent + 3_000_000);
        cluster.assertRulesHold("n4");
        List<WorkerMaintenanceCheck.Sent> judged =
                sentJobs().stream()
                        .filter(
                                one ->
                                        !one.process().equals("n4")
                                                || one.micros() < killedMicros
                                                || one.micros() > joinedMicros)
                        .toList();
        assertEquals(
                List.of(),
                WorkerMaintenanceCheck.check(
                        List.of(new WorkerMaintenanceCheck.StatusChange(knownMicros, WORKER, true)),
                        judged,
                        SharedStateCluster.OBSERVATION_SLACK_MICROS));
    }

    private void awaitMaintenance(String... names) throws InterruptedException {
        for (String name : names) {
            cluster.dispatchers.awaitAnswer(
                    WORKER + " in maintenance",
                    "GET",
                    name,
                    "/status",
                    null,
                    SharedStateCluster.TIMEOUT_MILLIS,
                    a -> workerInMaintenance(a));
        }
    }

    /**
     * Asserts that each dispatcher sends nothing to the worker from the time at which it knew of
     * the maintenance.
     */
    private void assertNothingSentToWorker(Map<String, Long> knownSince) throws IOException {
        List<WorkerMaintenanceCheck.Sent> sent = sentJobs();
        for (Map.Entry<String, Long> e : knownSince.entrySet()) {
            assertEquals(
                    List.of(),
                    WorkerMaintenanceCheck.check(
                            List.of(
                                    new WorkerMaintenanceCheck.StatusChange(
                                            e.getValue(), WORKER, true)),
                            sent.stream().filter(one -> one.process().equals(e.getKey())).toList(),
                            SharedStateCluster.OBSERVATION_SLACK_MICROS));
        }
    }

    @Test
    public void maintenanceSetOnIsolatedDispatcherAppliesThereAtOnceAndEverywhereAfterHeal()
            throws IOException, InterruptedException {
        cluster.dispatchers.cluster().mesh().isolate(Set.of("n4"));
        assertEquals(
                200,
                cluster.dispatchers
                        .call("PUT", "n4", "/maintenance/enter", "{\"id\":\"" + WORKER + "\"}")
                        .status());
        long isolatedMicros = Clock.micros();
        // Isolated for longer than a call waits for its decision.
        cluster.awaitSent("n4", "slot-check", isolatedMicros + 3_000_000);
        for (String name : List.of("n1", "n2", "n3")) {
            assertTrue(
                    name + " knows of the maintenance although n4 is isolated",
                    !workerInMaintenance(cluster.dispatchers.call("GET", name, "/status", null)));
        }
        cluster.dispatchers.cluster().mesh().heal();
        awaitMaintenance("n1", "n2", "n3");
        long knownMicros = Clock.micros();
        cluster.awaitSent("n1", "slot-check", knownMicros + 3_000_000);
        cluster.awaitSent("n4", "slot-check", knownMicros + 3_000_000);
        assertNothingSentToWorker(
                Map.of(
                        "n1",
                        knownMicros,
                        "n2",
                        knownMicros,
                        "n3",
                        knownMicros,
                        "n4",
                        isolatedMicros));
        cluster.assertRulesHold();
    }

    @Test
    public void upgradeKeepsMembershipAndMaintenance() throws IOException, InterruptedException {
        assertEquals(
                200,
                cluster.callUntilDecided(
                                "PUT",
                                "n1",
                                "/maintenance/enter",
                                new JsonObject().add("id", WORKER))
                        .status());
        awaitMaintenance(SharedStateCluster.DISPATCHERS.toArray(new String[0]));
        long knownMicros = Clock.micros();
        long incarnation =
                membershipIncarnation(
                        cluster.awaitSharing("place", "n1", a -> membershipIncarnation(a) != 0)
                                .json());
        JavaProcess oldProcess = cluster.dispatchers.upgrade("n4", "n4 before");
        awaitMaintenance("n4");
        cluster.awaitSent("n4", "slot-check", Clock.micros());
        // If the new process were to join as another member, it would do so once it has a view;
        // this waits long enough for that to be decided.
        cluster.awaitSharing("view", "n4", a -> a.get("viewAgeMs").isNumber());
        cluster.awaitSent("n4", "slot-check", Clock.micros() + 4_000_000);
        assertEquals(
                "incarnation of the member",
                incarnation,
                membershipIncarnation(
                        cluster.awaitSharing("view", "n1", a -> membershipIncarnation(a) != 0)
                                .json()));
        oldProcess.terminate();
        oldProcess.awaitExit();
        cluster.awaitSharing(
                "membership of the new incarnation",
                "n1",
                a -> membershipIncarnation(a) != 0 && membershipIncarnation(a) != incarnation);
        cluster.awaitSent("n4", "slot-check", Clock.micros() + 3_000_000);
        awaitMaintenance("n4");
        assertNothingSentToWorker(
                Map.of("n1", knownMicros, "n2", knownMicros, "n3", knownMicros, "n4", knownMicros));
        cluster.assertRulesHold();
    }

    /** Returns the incarnation under which n4 is a member, or 0 if it is not one. */
    private static long membershipIncarnation(JsonObject sharing) {
        long incarnation = 0;
        for (JsonValue member : sharing.get("members").asArray()) {
            if (member.asObject().getString("name", "").equals("n4")) {
                assertEquals("n4 is listed more than once", 0, incarnation);
                incarnation = member.asObject().getLong("incarnation", 0);
            }
        }
        return incarnation;
    }

    private static boolean workerInMaintenance(OperatorCall.Answer a) {
        return a.text().contains(WORKER);
    }

    private List<WorkerMaintenanceCheck.Sent> sentJobs() throws IOException {
        List<WorkerMaintenanceCheck.Sent> sent = new ArrayList<>();
        for (Line l : cluster.workerLedger()) {
            if (l.event().equals("received")) {
                sent.add(
                        new WorkerMaintenanceCheck.Sent(
                                l.number("first"), "n" + (l.number("via") + 1), l.party(), l.id()));
            }
        }
        return sent;
    }

    /**
     * Changes one digit. The content stays well formed, so that only the checksum detects the
     * change.
     */
    private static void corruptOneDigit(Path snapshot) throws IOException {
        byte[] bytes = Files.readAllBytes(snapshot);
        for (int i = bytes.length - 1; i >= 0; i--) {
            if (bytes[i] >= '1' && bytes[i] <= '8') {
                bytes[i]++;
                Files.write(snapshot, bytes);
                return;
            }
        }
        throw new AssertionError("no digit to alter in " + snapshot);
    }

    @Test
    public void corruptSnapshotIsSetAsideAndRequestsAreAnsweredWithoutQuorum()
            throws IOException, InterruptedException {
        cluster.awaitSent("n4", "slot-check", 0);
        cluster.kill("n4");
        List<Path> snapshots = new ArrayList<>();
        for (Path p : DiskFaults.files(cluster.dispatchers.cluster().store("n4"))) {
            // The kill may also have left an incomplete file, which ends in .next.
            if (p.getFileName().toString().endsWith(".memory")) {
                snapshots.add(p);
                corruptOneDigit(p);
            }
        }
        assertEquals(1, snapshots.size());
        int from = cluster.dispatchers.cluster().history().size();
        cluster.restart("n4");
        String reason =
                cluster.dispatchers
                        .cluster()
                        .process("n4")
                        .await("memory.unusable", from, SharedStateCluster.TIMEOUT_MILLIS)
                        .text("why");
        assertTrue(reason, reason.contains("checksum"));
        assertTrue(
                "the unusable snapshot was not set aside",
                Files.exists(
                        snapshots
                                .get(0)
                                .resolveSibling(snapshots.get(0).getFileName() + ".unusable")));
        // With two of three voters gone nothing can be decided, but jobs must still be served.
        cluster.kill("n1");
        cluster.kill("n2");
        // After the maximum age of a view: from then on each dispatcher works without one.
        long viewExpiredMicros = Clock.micros() + 8_000_000;
        OperatorCall.Answer answer =
                cluster.dispatchers.awaitAnswer(
                        "no decision",
                        "PUT",
                        "n4",
                        "/reservations/acquire",
                        new JsonObject()
                                .add("requestId", "none")
                                .add("holder", "planner")
                                .add("site", "hall-b")
                                .add("accelerators", 1)
                                .add("ttlMs", 5000)
                                .toString(),
                        SharedStateCluster.TIMEOUT_MILLIS,
                        r -> r.status() == 503);
        assertTrue(answer.toString(), !answer.retryAfter().isEmpty());
        cluster.awaitSent("n3", "order-confirm", viewExpiredMicros);
        cluster.awaitSent("n4", "order-confirm", viewExpiredMicros);
        cluster.assertRulesHold("n1", "n2", "n4");
    }
}
