package postgrade.rig.shared;

import static org.junit.Assert.assertEquals;

import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import postgrade.fleet.Clock;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.check.LedgerReader.Line;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.load.LoadGenerator;
import postgrade.rig.serve.DispatcherCluster;
import postgrade.rig.serve.OperatorCall;
import postgrade.rig.serve.SharingScript;

/**
 * Runs four dispatchers with shared state, three of them voters, with a proxy between every two, in
 * front of a small fleet of workers under load.
 */
final class SharedStateCluster implements Closeable {

    static final long TIMEOUT_MILLIS = 240_000;

    /**
     * Tolerance for the simulated workers and clients: on a busy machine they observe late what the
     * dispatcher did in time.
     */
    static final long OBSERVATION_SLACK_MICROS = 2_500_000;

    /**
     * Tolerance for answers: a client that waits for a core reads its answer late, which the
     * dispatcher's rules do not cover.
     */
    static final long CLIENT_DELAY_MICROS = 60_000_000;

    static final List<String> DISPATCHERS = List.of("n1", "n2", "n3", "n4");

    /**
     * The seed determines the ports, so that test processes running at the same time need different
     * seeds.
     */
    private static final String FLEET_PLAN =
            """
            seed = %d
            workers = [
                worker(4, "plain", cores = 4, speed = 1, zone = "hall-a"),
                worker(3, "planner", cores = 4, speed = 1, zone = "hall-b"%s),
            ]
            classes = {
                "slot-check": work(30, deadline_ms = 20000, aim_ms = 400, stretch = 3),
                "route-plan": work(60, deadline_ms = 20000, aim_ms = 400, stretch = 3),
                "order-confirm": work(30, deadline_ms = 20000, aim_ms = 400, worth = 8, priority = 1, repeatable = False),
            }
            tenants = {"kvart-market": 60, "zeleni-kos": 60}
            """;

    final DispatcherCluster dispatchers;
    final LoadGenerator load;
    private final Path folder;
    private int requestCount;

    SharedStateCluster(Path folder, String sharing, String planners, String... classes)
            throws IOException, InterruptedException {
        this.folder = folder;
        DispatcherCluster.Options options = new DispatcherCluster.Options();
        options.dispatchers = DISPATCHERS.size();
        options.plan =
                FleetPlan.of(
                        "shared.star",
                        String.format(FLEET_PLAN, ProcessHandle.current().pid(), planners));
        options.sharing = SharingScript.proxied(sharing);
        dispatchers = new DispatcherCluster(folder, options);
        List<LoadGenerator.JobKind> kinds = new java.util.ArrayList<>();
        for (String jobClass : classes) {
            for (String tenant : options.plan.tenants.keySet()) {
                kinds.add(
                        new LoadGenerator.JobKind(
                                jobClass,
                                tenant,
                                1,
                                20_000_000,
                                options.plan.classes.get(jobClass).repeatable()));
            }
        }
        load =
                new LoadGenerator(
                        dispatchers.clientAddresses(), kinds, 9, folder.resolve("clients.ledger"));
        try {
            dispatchers.beginEra("n1", 1);
            dispatchers.startAll();
            for (String name : DISPATCHERS) {
                awaitJoined(name);
            }
            for (String name : dispatchers.voters()) {
                awaitSharing(
                        "voter role with three voters",
                        name,
                        a -> a.getString("role", "").equals("voter") && a.getInt("voters", 0) == 3);
            }
        } catch (Exception | Error e) {
            close();
            throw e;
        }
    }

    OperatorCall.Answer awaitSharing(
            String what, String name, java.util.function.Predicate<JsonObject> condition)
            throws InterruptedException {
        return dispatchers.awaitAnswer(
                what,
                "GET",
                name,
                "/sharing",
                null,
                TIMEOUT_MILLIS,
                a -> a.status() == 200 && condition.test(a.json()));
    }

    void awaitJoined(String name) throws InterruptedException {
        awaitSharing("membership", name, a -> a.getBoolean("joined", false));
    }

    String leader(String dispatcher) throws InterruptedException {
        return awaitSharing("leader", dispatcher, a -> !a.get("leader").isNull())
                .json()
                .getString("leader", "");
    }

    /** Returns a voter other than these. */
    static String otherVoter(String... excluded) {
        return List.of("n1", "n2", "n3").stream()
                .filter(v -> !List.of(excluded).contains(v))
                .findFirst()
                .orElseThrow();
    }

    String requestId() {
        return "rig-" + ++requestCount;
    }

    /** Repeats the call under one request id until it is decided. */
    OperatorCall.Answer callUntilDecided(String method, String name, String path, JsonObject body)
            throws InterruptedException {
        String text = body.add("requestId", requestId()).toString();
        return dispatchers.awaitAnswer(
                "decision", method, name, path, text, TIMEOUT_MILLIS, a -> a.status() != 503);
    }

    void kill(String name) throws InterruptedException {
        dispatchers.cluster().process(name).kill();
    }

    void restart(String name) throws IOException, InterruptedException {
        dispatchers.cluster().start(name);
        dispatchers.awaitReady(name, TIMEOUT_MILLIS);
    }

    List<Line> workerLedger() throws IOException {
        dispatchers.fleet().flush();
        return LedgerReader.read(folder.resolve("workers.ledger"));
    }

    List<Line> clientLedger() throws IOException {
        load.flush();
        return LedgerReader.read(folder.resolve("clients.ledger"));
    }

    /**
     * Waits until this dispatcher has sent a job of that class to a worker after the given time.
     */
    long awaitSent(String name, String jobClass, long since)
            throws IOException, InterruptedException {
        long via = DISPATCHERS.indexOf(name);
        long deadlineMicros = Clock.micros() + TIMEOUT_MILLIS * 1000;
        while (Clock.micros() < deadlineMicros) {
            for (Line l : workerLedger()) {
                if (l.event().equals("received")
                        && l.number("via") == via
                        && l.number("first") > since
                        && jobClass.equals(l.value("class"))) {
                    return l.number("first");
                }
            }
            Thread.sleep(50);
        }
        throw new AssertionError(name + " has sent no job of class " + jobClass);
    }

    /** Waits until none of these dispatchers lists the holder's reservation. */
    void awaitReservationGone(String holder, String... names) throws InterruptedException {
        for (String name : names) {
            dispatchers.awaitAnswer(
                    holder + " no longer listed",
                    "GET",
                    name,
                    "/reservations",
                    null,
                    TIMEOUT_MILLIS,
                    a -> a.status() == 200 && !a.text().contains("\"" + holder + "\""));
        }
    }

    /**
     * Asserts that the protocol's rules hold for all requests except those accepted by a killed
     * dispatcher.
     */
    void assertRulesHold(String... killed) throws IOException, InterruptedException {
        load.finish();
        List<String> lostJobs =
                clientLedger().stream()
                        .filter(
                                l ->
                                        l.event().startsWith("broken")
                                                && List.of(killed).contains(l.value("via")))
                        .map(Line::id)
                        .toList();
        workerLedger();
        RuleChecker.Verdict verdict =
                RuleChecker.judge(folder, OBSERVATION_SLACK_MICROS, CLIENT_DELAY_MICROS);
        assertEquals(
                List.of(),
                verdict.violations.stream().filter(b -> !lostJobs.contains(b.id())).toList());
    }

    @Override
    public void close() throws IOException {
        load.close();
        dispatchers.close();
    }
}
