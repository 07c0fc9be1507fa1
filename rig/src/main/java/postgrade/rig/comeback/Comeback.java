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
 * The bench of coming back: many dispatchers under load, most of them killed at once, round after
 * round; without sharing, with it, and with the state of the killed wiped, in one run. Takes {@code
 * key=value}: out, fleet, dispatchers, killed, voters, rounds, blocks, load, seed, modes; steady_ms
 * before each kill, and after_ms from the last one ready on.
 */
public final class Comeback {

    private static final long WARM_MS = 6000;
    private static final long SAMPLE_MS = 250;

    private static final Map<String, String> USUAL =
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
    private final Map<String, Figures> figures = new LinkedHashMap<>();
    private SplittableRandom random;

    private Comeback(Options options) {
        this.options = options;
    }

    public static void main(String[] args) throws Exception {
        new Comeback(Options.of("comeback", USUAL, args)).run();
    }

    private void run() throws Exception {
        random = new SplittableRandom(options.whole("seed"));
        Path out = Path.of(options.text("out"));
        Files.createDirectories(out);
        String text = Files.readString(Path.of(options.text("fleet")));
        StringBuilder lines = new StringBuilder();
        int number = 0;
        // Blocks of modes in turn, so that whatever else the machine does meets all of them.
        for (int block = 0; block < options.whole("blocks"); block++) {
            for (String mode : options.text("modes").split(",")) {
                Path folder = out.resolve(String.format("%02d-%s", number++, mode));
                block(mode, folder, FleetPlan.of("fleet.star", text), lines);
                System.out.println(folder.getFileName() + " done");
                Files.writeString(out.resolve("rounds.jsonl"), lines);
                Files.writeString(out.resolve("table.md"), table());
            }
        }
        System.out.print(table());
    }

    private String table() {
        StringBuilder s = new StringBuilder(Figures.head());
        figures.values().forEach(f -> s.append(f.line()));
        return s.toString();
    }

    private void block(String mode, Path folder, FleetPlan plan, StringBuilder lines)
            throws Exception {
        DispatcherCluster.Options o = new DispatcherCluster.Options();
        o.dispatchers = options.whole("dispatchers");
        o.voters = options.whole("voters");
        o.plan = plan;
        o.sharing =
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
        long outSince;
        String out = plan.workers.get(1).id();
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        try (DispatcherCluster s = new DispatcherCluster(folder, o);
                LoadGenerator shops =
                        new LoadGenerator(
                                s.clientAddresses(),
                                kinds,
                                random.nextInt(1 << 20),
                                folder.resolve("clients.ledger"))) {
            if (o.sharing != null) {
                s.beginEra(s.voters().get(0), 1);
            }
            s.startAll();
            for (String name : o.sharing == null ? List.<String>of() : s.names()) {
                s.awaitAnswer(
                        "membership",
                        "GET",
                        name,
                        "/sharing",
                        null,
                        60_000,
                        a -> a.json().getBoolean("joined", false));
            }
            for (String name : s.names()) {
                s.awaitAnswer(
                        "worker out",
                        "PUT",
                        name,
                        "/maintenance/enter",
                        "{\"id\":\"" + out + "\"}",
                        20_000,
                        a -> a.status() == 200 || a.status() == 409);
            }
            outSince = Clock.micros();
            sampler.scheduleAtFixedRate(() -> sample(s), 0, SAMPLE_MS, TimeUnit.MILLISECONDS);
            shops.setRate(rate);
            TimeUnit.MILLISECONDS.sleep(WARM_MS);
            for (int r = 0; r < options.whole("rounds"); r++) {
                rounds.add(round(mode, r, s, plan));
            }
            shops.finish();
            s.fleet().flush();
            sampler.shutdownNow();
            sampler.awaitTermination(1, TimeUnit.SECONDS);
        } finally {
            sampler.shutdownNow();
        }
        Judge.judge(
                folder, plan, rounds, out, outSince, figures.computeIfAbsent(mode, Figures::new));
        for (Figures.Of f :
                figures.get(mode)
                        .rounds
                        .subList(
                                figures.get(mode).rounds.size() - rounds.size(),
                                figures.get(mode).rounds.size())) {
            lines.append(f.json(mode)).append('\n');
        }
    }

    private static void sample(DispatcherCluster s) {
        FaultProxy.Counts c = s.cluster().mesh().counts();
        s.cluster()
                .history()
                .add(
                        "rig",
                        "between",
                        new JsonObject()
                                .add("connections", c.connections())
                                .add("bytes", c.bytesOut() + c.bytesBack()));
    }

    private Round round(String mode, int number, DispatcherCluster s, FleetPlan plan)
            throws IOException, InterruptedException {
        if (!mode.equals("off")) {
            awaitMembers(s);
        }
        long begin = Clock.micros();
        TimeUnit.MILLISECONDS.sleep(options.whole("steady_ms"));
        TreeSet<String> killed = draw(s);
        List<JavaProcess> programs = killed.stream().map(n -> s.cluster().process(n)).toList();
        s.cluster()
                .history()
                .add("rig", "kill", new JsonObject().add("who", String.join(",", killed)));
        long kill = Clock.micros();
        programs.forEach(JavaProcess::killWithoutWaiting);
        for (JavaProcess p : programs) {
            p.awaitExit();
        }
        // Whoever comes back from a file believes to know this worker, which is cold by then.
        s.fleet().restart(2 + number % (plan.workers.size() - 2), 0.5);
        for (String name : killed) {
            if (mode.equals("wiped")) {
                DiskFaults.wipe(s.cluster().store(name));
            }
            s.cluster().start(name);
        }
        long ready = 0;
        for (String name : killed) {
            ready = Math.max(ready, s.awaitReady(name, 60_000));
        }
        TimeUnit.MILLISECONDS.sleep(options.whole("after_ms"));
        return new Round(mode, number, begin, kill, ready, Clock.micros(), killed);
    }

    /**
     * All are members again, and all who vote do. A voter that was wiped is taken in anew, which
     * takes its time; if another were wiped before, the majority of the stores would be lost, and
     * with it the whole state.
     */
    private static void awaitMembers(DispatcherCluster s) throws InterruptedException {
        for (String name : s.names()) {
            boolean votes = s.voters().contains(name);
            s.awaitAnswer(
                    "membership",
                    "GET",
                    name,
                    "/sharing",
                    null,
                    120_000,
                    a ->
                            a.json().getBoolean("joined", false)
                                    && (!votes || a.json().get("fault").isNull()));
        }
    }

    /**
     * Most of all, and of the voters one: the others' log must outlive it, or all would be a loss
     * of the whole state.
     */
    private TreeSet<String> draw(DispatcherCluster s) {
        List<String> observers =
                new ArrayList<>(s.names().subList(s.voters().size(), s.names().size()));
        TreeSet<String> killed = new TreeSet<>();
        if (!s.voters().isEmpty()) {
            killed.add(s.voters().get(random.nextInt(s.voters().size())));
        }
        while (killed.size() < options.whole("killed")) {
            killed.add(observers.remove(random.nextInt(observers.size())));
        }
        return killed;
    }
}
