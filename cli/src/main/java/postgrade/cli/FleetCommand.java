package postgrade.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.net.Fleet;
import postgrade.fleet.plan.FleetPlan;

/** The stand-in fleet and the checker of its ledgers. */
@Command(
        name = "fleet",
        description = "Run a stand-in fleet on loopback, and judge what it saw.",
        subcommands = {
            FleetCommand.RunFleet.class,
            FleetCommand.Judge.class,
            FleetCommand.Show.class
        })
final class FleetCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(
            name = "run",
            description =
                    "Start emulated workers and discovery, and write a configuration for each "
                            + "dispatcher that is to use them. Runs until stopped.")
    static final class RunFleet implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "PLAN.star", description = "The fleet.")
        private Path plan;

        @Option(
                names = "--dir",
                required = true,
                description = "For ledgers and the dispatchers' configurations.")
        private Path dir;

        @Option(
                names = "--dispatchers",
                defaultValue = "1",
                description = "How many (default: ${DEFAULT-VALUE}).")
        private int dispatchers;

        @Option(
                names = "--threads",
                defaultValue = "2",
                description = "Event loops (default: ${DEFAULT-VALUE}).")
        private int threads;

        @Option(
                names = "--seconds",
                defaultValue = "0",
                description = "Ends by itself after so long; 0: never.")
        private double seconds;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (dispatchers < 1 || dispatchers > 100 || threads < 1) {
                throw new ParameterException(
                        spec.commandLine(), "--dispatchers must be 1 to 100, --threads above 0");
            }
            try (Fleet fleet = new Fleet(FleetPlan.of(plan, l -> {}), dir, dispatchers, threads)) {
                PrintWriter out = spec.commandLine().getOut();
                for (int d = 0; d < dispatchers; d++) {
                    out.printf(
                            "ROUTER_CONFIG=%s  # listens on 127.0.0.1:%d%n",
                            fleet.configurationOf(d), fleet.dispatchers().get(d).getPort());
                }
                out.printf("%d workers ready%n", fleet.size());
                out.flush();
                fleet.begin();
                CountDownLatch end = new CountDownLatch(1);
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::flush));
                if (seconds > 0) {
                    end.await((long) (seconds * 1000), TimeUnit.MILLISECONDS);
                } else {
                    end.await();
                }
            }
            return 0;
        }
    }

    @Command(
            name = "judge",
            description =
                    "Judge the rules from the ledgers of a run. Exit code 1 if one is broken.")
    static final class Judge implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "DIR", description = "The folder with the ledgers.")
        private Path dir;

        @Option(
                names = "--most",
                defaultValue = "20",
                description = "Breaches shown (default: ${DEFAULT-VALUE}).")
        private int most;

        @Override
        public Integer call() throws IOException {
            if (!Files.exists(dir.resolve("workers.ledger"))) {
                throw new NoSuchFileException(dir.resolve("workers.ledger").toString());
            }
            RuleChecker.Verdict v = RuleChecker.judge(dir);
            PrintWriter out = spec.commandLine().getOut();
            out.printf(
                    "%d requests, %d answered, %d attempts, %d words of leaving workers, %d sends after one, "
                            + "%d restarts%n",
                    v.requests,
                    v.answered,
                    v.attempts,
                    v.drainsTold,
                    v.sendsWhileDraining,
                    v.restarts);
            for (Map.Entry<RuleChecker.Rule, Long> r : v.byRule().entrySet()) {
                out.printf("  %-12s %8d  %s%n", r.getKey(), r.getValue(), r.getKey().meaning);
            }
            v.violations.stream()
                    .limit(most)
                    .forEach(
                            b ->
                                    out.printf(
                                            "%d %s %s: %s%n",
                                            b.micros(), b.rule(), b.id(), b.what()));
            return v.violations.isEmpty() ? 0 : Postgrade.FAILED;
        }
    }

    @Command(name = "show-plan", description = "Print a shipped fleet, as a start for one's own.")
    static final class Show implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "zagreb|route-boxes", description = "Which.")
        private String name;

        @Override
        public Integer call() {
            spec.commandLine().getOut().print(FleetPlan.shippedText(name));
            return 0;
        }
    }
}
