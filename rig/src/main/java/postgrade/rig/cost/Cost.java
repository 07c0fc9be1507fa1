package postgrade.rig.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.Options;
import postgrade.rig.load.LoadGenerator;
import postgrade.rig.serve.DispatcherCluster;
import postgrade.rig.serve.SharingScript;

/**
 * Measures how much processor time sharing costs a dispatcher: a dispatcher without sharing, an
 * observer and a voter get the same steady load in alternating blocks within one run. While one is
 * under load the others idle, which shows the cost of sharing without jobs. Takes {@code key=value}
 * arguments: out, fleet, dispatchers, rates, block (seconds), rounds, warm (seconds).
 */
public final class Cost {

    private static final int VOTERS = 3;

    private static final Map<String, String> DEFAULTS =
            Map.of(
                    "out",
                    "found/cost",
                    "dispatchers",
                    "4",
                    "rates",
                    "200,1000",
                    "block",
                    "15",
                    "rounds",
                    "2",
                    "warm",
                    "60",
                    "fleet",
                    "bench/cost/fleet.star");
    private final Options options;
    private final List<Subject> subjects = new ArrayList<>();
    private final List<Block> blocks = new ArrayList<>();

    /** A dispatcher under measurement and the load generator that sends to it alone. */
    private record Subject(String mode, long pid, LoadGenerator load, Path ledger) {}

    /**
     * One block of load and the processor time used in it, in nanoseconds.
     *
     * @param rate jobs per second sent to this dispatcher, 0 if it idled
     */
    private record Block(
            String mode,
            int rate,
            long from,
            long to,
            long loopNanos,
            long sharingNanos,
            long totalNanos) {}

    private Cost(Options options) {
        this.options = options;
    }

    public static void main(String[] args) throws Exception {
        new Cost(Options.of("cost", DEFAULTS, args)).run();
    }

    private void run() throws Exception {
        Path out = Path.of(options.text("out"));
        Files.createDirectories(out);
        String text = Files.readString(Path.of(options.text("fleet")));
        try (DispatcherCluster alone = openCluster(out.resolve("off"), text, null);
                DispatcherCluster sharing =
                        openCluster(
                                out.resolve("on"),
                                text.replaceFirst("seed = ", "seed = 7"),
                                SharingScript.direct(""))) {
            alone.cluster().start("n1");
            alone.awaitReady("n1", 60_000);
            sharing.beginEra("n1", 1);
            sharing.startAll();
            for (String name : sharing.names()) {
                sharing.awaitAnswer(
                        "membership",
                        "GET",
                        name,
                        "/sharing",
                        null,
                        60_000,
                        a -> a.json().getBoolean("joined", false));
            }
            // A voter that does not lead: the leader's additional work is in
            // docs/measurements/quorum.md.
            String leader =
                    sharing.awaitAnswer(
                                    "leader",
                                    "GET",
                                    "n1",
                                    "/sharing",
                                    null,
                                    60_000,
                                    a -> !a.json().get("leader").isNull())
                            .json()
                            .getString("leader", "");
            String voter =
                    sharing.voters().stream()
                            .filter(v -> !v.equals(leader))
                            .findFirst()
                            .orElseThrow();
            addSubject("off", alone, "n1", out);
            addSubject("observer", sharing, sharing.names().get(VOTERS), out);
            addSubject("voter", sharing, voter, out);
            try {
                measure();
            } finally {
                for (Subject s : subjects) {
                    s.load.close();
                }
            }
        }
        String table = table();
        Files.writeString(out.resolve("table.md"), table);
        System.out.print(table);
    }

    private DispatcherCluster openCluster(
            Path folder, String text, DispatcherCluster.ScriptFactory script)
            throws IOException, InterruptedException {
        DispatcherCluster.Options clusterOptions = new DispatcherCluster.Options();
        clusterOptions.dispatchers = options.integer("dispatchers");
        clusterOptions.voters = VOTERS;
        clusterOptions.plan = FleetPlan.of("fleet.star", text);
        clusterOptions.sharing = script;
        return new DispatcherCluster(folder, clusterOptions);
    }

    private void addSubject(String mode, DispatcherCluster cluster, String name, Path out)
            throws IOException {
        FleetPlan plan =
                FleetPlan.of("fleet.star", Files.readString(Path.of(options.text("fleet"))));
        List<LoadGenerator.JobKind> kinds = new ArrayList<>();
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
        Path ledger = out.resolve(mode + ".ledger");
        subjects.add(
                new Subject(
                        mode,
                        cluster.cluster().process(name).pid(),
                        new LoadGenerator(
                                List.of(
                                        cluster.clientAddresses()
                                                .get(cluster.names().indexOf(name))),
                                kinds,
                                subjects.size() + 1,
                                ledger),
                        ledger));
    }

    private void measure() throws IOException, InterruptedException {
        int[] rates =
                List.of(options.text("rates").split(",")).stream()
                        .mapToInt(Integer::parseInt)
                        .toArray();
        for (Subject s : subjects) {
            s.load.setRate(rates[rates.length - 1]);
        }
        TimeUnit.SECONDS.sleep(options.integer("warm"));
        for (Subject s : subjects) {
            s.load.finish();
        }
        for (int round = 0; round < options.integer("rounds"); round++) {
            for (int rate : rates) {
                for (int i = 0; i < subjects.size(); i++) {
                    runBlock(subjects.get((i + round) % subjects.size()), rate);
                }
            }
        }
    }

    private void runBlock(Subject loaded, int rate) throws IOException, InterruptedException {
        loaded.load.setRate(rate);
        TimeUnit.SECONDS.sleep(1); // Time in which connections are opened again; not measured.
        long from = Clock.micros();
        List<ThreadTimes> before = new ArrayList<>();
        for (Subject s : subjects) {
            before.add(ThreadTimes.of(s.pid));
        }
        TimeUnit.SECONDS.sleep(options.integer("block"));
        for (int i = 0; i < subjects.size(); i++) {
            Subject s = subjects.get(i);
            long to = Clock.micros();
            ThreadTimes after = ThreadTimes.of(s.pid);
            blocks.add(
                    new Block(
                            s.mode,
                            s == loaded ? rate : 0,
                            from,
                            to,
                            after.cpuNanosSince(before.get(i), ThreadTimes.LOOP),
                            after.cpuNanosSince(before.get(i), ThreadTimes.SHARING),
                            after.totalNanos() - before.get(i).totalNanos()));
        }
        loaded.load.finish();
    }

    // ---- Results.

    private String table() throws IOException {
        StringBuilder text =
                new StringBuilder(
                        "| dispatcher | jobs/s | s | jobs served | loop | sharing | all |\n"
                                + "| --- | --- | --- | --- | --- | --- | --- |\n");
        for (Subject subject : subjects) {
            List<Long> served =
                    LedgerReader.read(subject.ledger).stream()
                            .filter(l -> l.event().equals("answer") && l.number("status") == 200)
                            .map(LedgerReader.Line::micros)
                            .toList();
            blocks.stream()
                    .filter(b -> b.mode.equals(subject.mode))
                    .map(Block::rate)
                    .distinct()
                    .sorted()
                    .forEach(
                            rate -> {
                                List<Block> same =
                                        blocks.stream()
                                                .filter(
                                                        b ->
                                                                b.mode.equals(subject.mode)
                                                                        && b.rate == rate)
                                                .toList();
                                double seconds =
                                        same.stream().mapToDouble(b -> (b.to - b.from) / 1e6).sum();
                                long jobs =
                                        served.stream()
                                                .filter(
                                                        at ->
                                                                same.stream()
                                                                        .anyMatch(
                                                                                b ->
                                                                                        at >= b.from
                                                                                                && at
                                                                                                        < b.to))
                                                .count();
                                text.append(
                                        String.format(
                                                "| %s | %d | %.0f | %d |",
                                                subject.mode, rate, seconds, jobs));
                                // Microseconds per job under load; per second for an idle
                                // dispatcher.
                                double divisor = rate == 0 ? seconds : jobs;
                                text.append(
                                        String.format(
                                                " %.1f | %.1f | %.1f |%n",
                                                same.stream().mapToLong(Block::loopNanos).sum()
                                                        / 1e3
                                                        / divisor,
                                                same.stream().mapToLong(Block::sharingNanos).sum()
                                                        / 1e3
                                                        / divisor,
                                                same.stream().mapToLong(Block::totalNanos).sum()
                                                        / 1e3
                                                        / divisor));
                            });
        }
        return text.toString();
    }
}
