package postgrade.lab.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.net.Fleet;
import postgrade.fleet.plan.FleetPlan;
import postgrade.lab.replay.Replay;
import postgrade.lab.replay.ReplayOptions;
import postgrade.lab.replay.ReplayResult;
import postgrade.lab.report.Report;
import postgrade.load.convert.Converter;
import postgrade.load.generate.Friday;
import postgrade.load.imports.ImportReport;
import postgrade.load.imports.Importer;

/**
 * The whole path once: a generated Friday is written as a HAR file, imported, and replayed through
 * real dispatchers against a stand-in fleet that has a bad afternoon; the ledgers are judged and a
 * report is written.
 */
public final class Demo {

    /** Friday's troubles, in seconds of the replay. */
    private static final String FAULTS =
            """
            faults = [
                fault("fast_errors", at = 10, lasts = 8, part = 0.15, figures = {"share": 0.6}),
                fault("neighbour", at = 15, lasts = 15, part = 0.3, figures = {"share": 0.5, "on_s": 2}),
                fault("restart", at = 30, lasts = 3, part = 0.12, figures = {"down_s": 1.5}),
                fault("drain", at = 38, lasts = 2, part = 0.12, figures = {"drain_s": 3}),
            ]
            """;

    /** How it ended. */
    public record Outcome(ReplayResult replay, RuleChecker.Verdict verdict, Path report) {}

    /**
     * All run on one machine: an answer that comes late there is late, and not an answer that never
     * came.
     */
    private static final long LINGER_MICROS = 5_000_000;

    private Demo() {}

    /**
     * Runs it.
     *
     * @param folder for all files; made if need be, and must not hold a run already
     * @param seconds length of the replay
     * @param rate mean jobs a second
     */
    public static Outcome run(
            Path folder, int dispatchers, double seconds, double rate, Consumer<String> tell)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        if (Files.exists(folder.resolve("clients.ledger"))) {
            throw new IllegalArgumentException(
                    folder + " holds a run already; name another folder with --dir");
        }
        double speed = 10;
        Friday.Options friday = new Friday.Options();
        friday.seconds = seconds * speed;
        friday.rate = rate / speed;
        friday.burstsPerMinute = 0.2;
        Path generated = folder.resolve("generated.trace");
        long jobs = Friday.write(friday, generated, "postgrade demo");
        Path har = folder.resolve("friday.har");
        Converter.write(generated, har, Converter.Form.HAR);
        Importer.Job job = new Importer.Job();
        job.inputs = List.of(har.toString());
        job.out = folder.resolve("friday.trace");
        job.rejects = folder.resolve("friday.rejects.jsonl");
        ImportReport imported = Importer.run(job);
        tell.accept(
                String.format(
                        Locale.ROOT,
                        "a Friday of %.0f s with %d jobs, written as %s and imported: %d jobs",
                        friday.seconds,
                        jobs,
                        har.getFileName(),
                        imported.jobs));
        FleetPlan plan = FleetPlan.of("demo.star", FleetPlan.shippedText("zagreb") + FAULTS);
        List<DispatcherProcess> processes = new ArrayList<>();
        try (Fleet fleet = new Fleet(plan, folder, dispatchers, 2)) {
            for (int d = 0; d < dispatchers; d++) {
                processes.add(
                        DispatcherProcess.start(
                                fleet.configurationOf(d),
                                fleet.dispatchers().get(d),
                                folder.resolve("n" + (d + 1) + ".log")));
            }
            for (DispatcherProcess p : processes) {
                p.awaitReady();
            }
            tell.accept(
                    fleet.size()
                            + " workers and "
                            + dispatchers
                            + " dispatchers are up; replaying at "
                            + (int) speed
                            + " times the speed");
            fleet.begin();
            ReplayOptions o = new ReplayOptions();
            o.trace = job.out;
            o.targets = fleet.dispatchers();
            o.folder = folder;
            o.speed = speed;
            o.neverTwice = Set.of("order-confirm"); // Of the shipped fleet that the demo plays.
            o.lingerMicros = LINGER_MICROS;
            o.progress = tell;
            ReplayResult result = Replay.run(o);
            for (DispatcherProcess p : processes) {
                p.stop();
            }
            fleet.flush();
            RuleChecker.Verdict verdict = RuleChecker.judge(folder);
            return new Outcome(result, verdict, Report.write(folder));
        } finally {
            processes.forEach(DispatcherProcess::close);
        }
    }
}
