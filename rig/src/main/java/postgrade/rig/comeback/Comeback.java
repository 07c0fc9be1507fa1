package postgrade.rig.comeback;

import static java.util.Map.entry;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.Options;
import postgrade.rig.disk.DiskFaults;
import postgrade.rig.load.LoadGenerator;
import postgrade.rig.process.JavaProcess;
import postgrade.rig.proxy.FaultProxy;
import postgrade.rig.serve.DispatcherCluster;
import postgrade.rig.serve.SharingScript;

/**
 * Measures the recovery after mass failure: many dispatchers under load, most of which are killed
 * at once, round after round. Compares, within one run, dispatchers without sharing, with sharing,
 * and with sharing where the stores of the killed are wiped. Takes {@code key=value} arguments:
 * out, fleet, dispatchers, killed, voters, rounds, blocks, load, seed, modes; steady_ms is the time
 * before each kill, after_ms the time after the last dispatcher is ready again.
 */
public final class Comeback {

    private static final long WARM_UP_MS = 6000;
    private static final long SAMPLE_INTERVAL_MS = 250;

    private static final Map<String, String> DEFAULTS =
            Map.ofEntries(
                    entry("out", "found/comeback"),
                    entry("dispatchers", "20"),
                    entry("killed", "14"),
                    entry("voters", "3"),
                    entry("rounds", "5"),
                    entry("blocks", "2"),
                    entry("load", "0.7"),
                    entry("seed", "1"),
                    entry("fleet", "bench/comeback/fleet.star"),
                    entry("modes", "off,on,wiped"),
                    entry("steady_ms", "2500"),
                    entry("after_ms", "6000"),
                    entry("more", ""));
    private final Options options;
    private final Map<String, ModeResults> figures = new LinkedHashMap<>();
    private SplittableRandom random;

    private Comeback(Options options) {
        this.options = options;
    }

    public static void main(String[] args) throws Exception {
        new Comeback(Options.of("comeback", DEFAULTS, args)).run();
    }

    private void run() throws Exception {
        random = new SplittableRandom(options.integer("seed"));
        Path out = Path.of(options.text("out"));
        Files.createDirectories(out);
        String text = Files.readString(Path.of(options.text("fleet")));
        StringBuilder lines = new StringBuilder();
        int number = 0;
        // Modes alternate in blocks, so that other load on the machine affects all of them alike.
        for (int block = 0; block < options.integer("blocks"); block++) {
            for (String mode : options.text("modes").split(",")) {
                Path folder = out.resolve(String.format("%02d-%s", number++, mode));
                runBlock(mode, folder, FleetPlan.of("fleet.star", text), lines);
                System.out.println(folder.getFileName() + " done");
                Files.writeString(out.resolve("rounds.jsonl"), lines);
                Files.writeString(out.resolve("table.md"), table());
            }
        }
        System.out.print(table());
    }

    private String table() {
        StringBuilder text = new StringBuilder(ModeResults.header());
        figures.values().forEach(f -> text.append(f.row()));
        return text.toString();
    }

    private void runBlock(String mode, Path folder, FleetPlan plan, StringBuilder lines)
            throws Exception {
        DispatcherCluster.Options clusterOptions = new DispatcherCluster.Options();
        clusterOptions.dispatchers = options.integer("dispatchers");
        clusterOptions.voters = options.integer("voters");
        clusterOptions.plan = plan;
        clusterOptions.sharing =
                mode.equals("off")
                        ? null
                        : SharingScript.proxied(options.text("more").replace(';', '\n') + "\n");
        List<Round> rounds = new ArrayList<>();
        List<LoadGenerator.JobKind> kinds = new ArrayList<>();
        double rate =
                plan.tenants.values().stream().mapToDouble(Double::doubleValue).sum()
                        * Double.parseDouble(options.text("load"));
        plan.tenants.forEach(
                (tenant, quota) ->
                        plan.classes
                                .values()
                                .forEach(
                                        c ->
                                                kinds.add(
                                                        new LoadGenerator.JobKind(
                                                                c.name(),
                                                                tenant,
                                                                quota,
                                                                (long) (c.deadlineMs() * 1000),
                                                                c.repeatable()))));
        long removedSince;
        String removedWorker = plan.workers.get(1).id();
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        try (DispatcherCluster cluster = new DispatcherCluster(folder, clusterOptions);
                LoadGenerator load =
                        new LoadGenerator(
                                cluster.clientAddresses(),
                                kinds,
                                random.nextInt(1 << 20),
                                folder.resolve("clients.ledger"))) {
            if (clusterOptions.sharing != null) {
                cluster.beginEra(cluster.voters().get(0), 1);
            }
            cluster.startAll();
            for (String name :
                    clusterOptions.sharing == null ? List.<String>of() : cluster.names()) {
                cluster.awaitAnswer(
                        "membership",
                        "GET",
                        name,
                        "/sharing",
                        null,
                        60_000,
                        a -> a.json().getBoolean("joined", false));
            }
            for (String name : cluster.names()) {
                cluster.awaitAnswer(
                        "worker out",
                        "PUT",
                        name,
                        "/maintenance/enter",
                        "{\"id\":\"" + removedWorker + "\"}",
                        20_000,
                        a -> a.status() == 200 || a.status() == 409);
            }
            removedSince = Clock.micros();
            sampler.scheduleAtFixedRate(
                    () -> sample(cluster), 0, SAMPLE_INTERVAL_MS, TimeUnit.MILLISECONDS);
            load.setRate(rate);
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            for (int r = 0; r < options.integer("rounds"); r++) {
                rounds.add(runRound(mode, r, cluster, plan));
            }
            load.finish();
            cluster.fleet().flush();
            sampler.shutdownNow();
            sampler.awaitTermination(1, TimeUnit.SECONDS);
        } finally {
            sampler.shutdownNow();
        }
        RoundEvaluator.evaluate(
                folder,
                plan,
                rounds,
                removedWorker,
                removedSince,
                figures.computeIfAbsent(mode, ModeResults::new));
        for (ModeResults.RoundResult f :
                figures.get(mode)
                        .rounds
                        .subList(
                                figures.get(mode).rounds.size() - rounds.size(),
                                figures.get(mode).rounds.size())) {
            lines.append(f.json(mode)).append('\n');
        }
    }

    private static void sample(DispatcherCluster cluster) {
        FaultProxy.Counts counts = cluster.cluster().mesh().counts();
        cluster.cluster()
                .history()
                .add(
                        "rig",
                        "between",
                        new JsonObject()
                                .add("connections", counts.connections())
                                .add("bytes", counts.bytesOut() + counts.bytesBack()));
    }

    private Round runRound(String mode, int number, DispatcherCluster cluster, FleetPlan plan)
            throws IOException, InterruptedException {
        if (!mode.equals("off")) {
            awaitMembership(cluster);
        }
        long beginMicros = Clock.micros();
        TimeUnit.MILLISECONDS.sleep(options.integer("steady_ms"));
        TreeSet<String> killed = drawKilled(cluster);
        List<JavaProcess> processes =
                killed.stream().map(n -> cluster.cluster().process(n)).toList();
        cluster.cluster()
                .history()
                .add("rig", "kill", new JsonObject().add("who", String.join(",", killed)));
        long killMicros = Clock.micros();
        processes.forEach(JavaProcess::killWithoutWaiting);
        for (JavaProcess p : processes) {
            p.awaitExit();
        }
        // A dispatcher that restores its state from a file still regards this worker as warm,
        // although the worker is cold after its restart.
        cluster.fleet().restart(2 + number % (plan.workers.size() - 2), 0.5);
        for (String name : killed) {
            if (mode.equals("wiped")) {
                DiskFaults.wipe(cluster.cluster().store(name));
            }
            cluster.cluster().start(name);
        }
        long readyMicros = 0;
        for (String name : killed) {
            readyMicros = Math.max(readyMicros, cluster.awaitReady(name, 60_000));
        }
        TimeUnit.MILLISECONDS.sleep(options.integer("after_ms"));
        return new Round(
                mode, number, beginMicros, killMicros, readyMicros, Clock.micros(), killed);
    }

    /**
     * Waits until all dispatchers are members again and all voters vote. A wiped voter has to be
     * added to the group again, which takes some time; if another voter were wiped before that, the
     * majority of the stores would be lost, and with it the whole state.
     */
    private static void awaitMembership(DispatcherCluster cluster) throws InterruptedException {
        for (String name : cluster.names()) {
            boolean isVoter = cluster.voters().contains(name);
            cluster.awaitAnswer(
                    "membership",
                    "GET",
                    name,
                    "/sharing",
                    null,
                    120_000,
                    a ->
                            a.json().getBoolean("joined", false)
                                    && (!isVoter || a.json().get("fault").isNull()));
        }
    }

    /**
     * Draws the dispatchers to kill: only one voter, since the log must survive on the other
     * voters, and the rest from the observers. Otherwise the whole state could be lost.
     */
    private TreeSet<String> drawKilled(DispatcherCluster cluster) {
        List<String> observers =
                new ArrayList<>(
                        cluster.names().subList(cluster.voters().size(), cluster.names().size()));
        TreeSet<String> killed = new TreeSet<>();
        if (!cluster.voters().isEmpty()) {
            killed.add(cluster.voters().get(random.nextInt(cluster.voters().size())));
        }
        while (killed.size() < options.integer("killed")) {
            killed.add(observers.remove(random.nextInt(observers.size())));
        }
        return killed;
    }
}
