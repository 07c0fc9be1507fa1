package postgrade.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.load.convert.Converter;
import postgrade.load.convert.Inspection;
import postgrade.load.convert.TraceTable;
import postgrade.load.generate.Damage;
import postgrade.load.generate.Friday;
import postgrade.load.imports.ImportReport;
import postgrade.load.imports.Importer;
import postgrade.load.plan.Plan;
import postgrade.trace.TraceReader;

/** Recorded and generated load: sources, traces and what is done with them. */
@Command(
        name = "load",
        description = "Take HAR files and logs as load, and replay it.",
        subcommands = {
            LoadCommand.Import.class,
            LoadCommand.Inspect.class,
            LoadCommand.Generate.class,
            LoadCommand.Convert.class,
            ReplayCommand.class,
            SearchCommand.class,
            FidelityCommand.class,
            OverheadCommand.class,
            LoadCommand.DamageLog.class,
            LoadCommand.ShowPlan.class
        })
final class LoadCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    /** How sources are read, for the commands that read them. */
    static final class Sources {
        @Parameters(
                paramLabel = "FILE",
                arity = "1..*",
                description =
                        "HAR, access log, W3C log or JSON lines; plain, gzip or zstd; - for standard input.")
        List<String> files;

        @Option(
                names = "--format",
                paramLabel = "FORMAT",
                defaultValue = "auto",
                description =
                        "auto, har, jsonl, w3c, common, combined, vhost-combined, common-us, combined-us, "
                                + "'apache:LOGFORMAT' or 'nginx:LOG_FORMAT' (default: ${DEFAULT-VALUE}).")
        String format;

        @Option(
                names = "--plan",
                paramLabel = "P.star",
                description =
                        "Says what job each entry is (default: the shipped plan of the format).")
        Path plan;

        @Option(
                names = "--rejects",
                paramLabel = "FILE",
                description =
                        "Where rejected and mended entries go (default: beside the trace, .rejects.jsonl).")
        Path rejects;

        @Option(
                names = "--strict",
                description = "The first entry that would be rejected ends the import.")
        boolean strict;

        ImportReport read(Path out, boolean writeRejects) throws IOException {
            Importer.Job job = new Importer.Job();
            job.inputs = files;
            job.format = format;
            // Checked before the first byte of a source is read.
            job.plan = plan == null ? null : Plan.of(plan, line -> {});
            job.out = out;
            job.strict = strict;
            job.rejects =
                    rejects != null || !writeRejects
                            ? rejects
                            : out.resolveSibling(out.getFileName() + ".rejects.jsonl");
            for (String f : files) {
                if (!f.equals("-") && !Files.isReadable(Path.of(f))) {
                    throw new Failed(f + ": no such file, or not readable");
                }
            }
            return Importer.run(job);
        }
    }

    /** A trace's beginning, or not. */
    static boolean isTrace(String file) throws IOException {
        if (file.equals("-") || !Files.isReadable(Path.of(file))) {
            return false;
        }
        try (java.io.InputStream in = Files.newInputStream(Path.of(file))) {
            return TraceReader.isTrace(in.readNBytes(16));
        }
    }

    @Command(name = "import", description = "Turn recorded requests into a trace.")
    static final class Import implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private Sources sources;

        @Option(
                names = "--out",
                paramLabel = "X.trace",
                required = true,
                description = "The trace to write.")
        private Path out;

        @Override
        public Integer call() throws IOException {
            ImportReport report = sources.read(out, true);
            PrintWriter to = spec.commandLine().getOut();
            to.print(Inspection.of(out, report).text());
            to.printf("%nwritten: %s%n", out);
            return 0;
        }
    }

    @Command(name = "inspect", description = "Tell what a trace or a source holds.")
    static final class Inspect implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private Sources sources;

        @Option(names = "--json", description = "As JSON.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            Inspection i;
            if (sources.files.size() == 1 && isTrace(sources.files.get(0))) {
                i = Inspection.of(Path.of(sources.files.get(0)), null);
            } else {
                Path scratch = Files.createTempFile("postgrade", ".trace");
                try {
                    i = Inspection.of(scratch, sources.read(scratch, false));
                } finally {
                    Files.deleteIfExists(scratch);
                }
            }
            spec.commandLine().getOut().print(json ? i.json() : i.text());
            return 0;
        }
    }

    @Command(
            name = "generate",
            description = "Make a trace shaped like a Friday. The same seed gives the same bytes.")
    static final class Generate implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--out",
                paramLabel = "X.trace",
                required = true,
                description = "The trace to write.")
        private Path out;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Of all chance in it (default: ${DEFAULT-VALUE}).")
        private long seed;

        @Option(
                names = "--seconds",
                defaultValue = "600",
                description = "Its length (default: ${DEFAULT-VALUE}).")
        private double seconds;

        @Option(
                names = "--rate",
                defaultValue = "94",
                description = "Mean jobs a second (default: ${DEFAULT-VALUE}).")
        private double rate;

        @Option(
                names = "--swing",
                defaultValue = "0.5",
                description =
                        "How far the trend swings round the mean, 0 to 1 (default: ${DEFAULT-VALUE}).")
        private double swing;

        @Option(
                names = "--bursts",
                defaultValue = "0.5",
                description = "A minute (default: ${DEFAULT-VALUE}).")
        private double bursts;

        @Option(
                names = "--failing",
                defaultValue = "0.02",
                description =
                        "Part recorded as refused or failed, and tried again (default: ${DEFAULT-VALUE}).")
        private double failing;

        @Option(
                names = "--keys",
                defaultValue = "20000",
                description = "Different keys (default: ${DEFAULT-VALUE}).")
        private int keys;

        @Override
        public Integer call() throws IOException {
            if (!(seconds > 0
                    && rate > 0
                    && swing >= 0
                    && swing <= 1
                    && bursts >= 0
                    && failing >= 0
                    && failing < 1
                    && keys > 0)) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--seconds, --rate and --keys must be above 0, --swing from 0 to 1, --failing below 1");
            }
            Friday.Options o = new Friday.Options();
            o.seed = seed;
            o.seconds = seconds;
            o.rate = rate;
            o.swing = swing;
            o.burstsPerMinute = bursts;
            o.failing = failing;
            o.keys = keys;
            long jobs = Friday.write(o, out, "postgrade load generate");
            spec.commandLine().getOut().printf(Locale.ROOT, "%d jobs in %s%n", jobs, out);
            return 0;
        }
    }

    @Command(
            name = "convert",
            description =
                    "Turn a trace into HAR (.har), a combined log (.log), JSON lines (.jsonl) "
                            + "or Parquet (.parquet), or one of these into a trace.")
    static final class Convert implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "IN", description = "What to read.")
        private Path in;

        @Parameters(
                index = "1",
                paramLabel = "OUT",
                description = "What to write; its end tells the form.")
        private Path out;

        @Override
        public Integer call() throws IOException {
            if (!Files.isReadable(in)) {
                throw new Failed(in + ": no such file, or not readable");
            }
            long jobs;
            if (isTrace(in.toString())) {
                jobs = Converter.write(in, out, Converter.formOf(out.toString()));
            } else if (!out.toString().endsWith(".trace")) {
                throw new ParameterException(
                        spec.commandLine(), "one of the two must be a trace (.trace)");
            } else if (in.toString().endsWith(".parquet")) {
                jobs = TraceTable.read(in, out, "postgrade load convert");
            } else {
                Importer.Job job = new Importer.Job();
                job.inputs = List.of(in.toString());
                job.out = out;
                job.strict = true; // Whoever wants a damaged file mended imports it.
                jobs = Importer.run(job).jobs;
            }
            spec.commandLine().getOut().printf(Locale.ROOT, "%d jobs in %s%n", jobs, out);
            return 0;
        }
    }

    @Command(
            name = "damage",
            description =
                    "Damage a combined log in ways that happen, a known number of times each.")
    static final class DamageLog implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "IN.log", description = "The log.")
        private Path in;

        @Parameters(index = "1", paramLabel = "OUT.log", description = "The damaged copy.")
        private Path out;

        @Option(
                names = "--each",
                defaultValue = "10",
                description = "Times each damage (default: ${DEFAULT-VALUE}).")
        private int each;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Of all chance in it (default: ${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() throws IOException {
            if (each < 1) {
                throw new ParameterException(spec.commandLine(), "--each must be above 0");
            }
            Damage.write(in, out, each, seed)
                    .forEach(
                            (c, n) ->
                                    spec.commandLine()
                                            .getOut()
                                            .printf(
                                                    Locale.ROOT,
                                                    "%-24s %8d  %s%n",
                                                    c.key(),
                                                    n,
                                                    c.meaning));
            return 0;
        }
    }

    @Command(name = "show-plan", description = "Print a shipped plan, as a start for one's own.")
    static final class ShowPlan implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "har|log|jsonl", description = "Which.")
        private String name;

        @Override
        public Integer call() {
            spec.commandLine().getOut().print(Plan.shippedText(name));
            return 0;
        }
    }
}
