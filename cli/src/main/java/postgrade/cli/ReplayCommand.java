package postgrade.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.lab.replay.Replay;
import postgrade.lab.replay.ReplayOptions;
import postgrade.lab.replay.ReplayResult;
import postgrade.trace.TraceReader;

@Command(
        name = "replay",
        description = "Send a trace's jobs to dispatchers at their times.",
        footer = {
            "",
            "Open loop: no answer delays what comes next, and latency counts from the time at which a job was",
            "due. A class that must not run twice is never sent again; --resume leaves out what may have gone out."
        })
final class ReplayCommand implements Callable<Integer> {

    private static final int CONNECT_MS = 2000;

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "X.trace", description = "The trace.")
    private Path trace;

    @Option(
            names = "--target",
            paramLabel = "HOST:PORT",
            required = true,
            split = ",",
            description = "A dispatcher; may be given several times.")
    private List<String> targets;

    @Option(
            names = "--dir",
            required = true,
            description = "For the ledger, the tables and the report.")
    private Path dir;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "So many times as fast (default: ${DEFAULT-VALUE}).")
    private double speed;

    @Option(
            names = "--window",
            paramLabel = "FROM-TO",
            description =
                    "Of the trace's day (12:00-14:00, UTC) or in seconds from its start (60s-120s).")
    private String window;

    @Option(
            names = "--mix",
            paramLabel = "CLASS=FACTOR",
            split = ",",
            description = "Multiplies a class's jobs.")
    private Map<String, Double> mix = Map.of();

    @Option(
            names = "--never-twice",
            paramLabel = "CLASS",
            split = ",",
            description = "Classes that must not run twice.")
    private List<String> neverTwice = List.of();

    @Option(
            names = "--connections",
            defaultValue = "512",
            description = "To each target, at most (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--loops",
            defaultValue = "2",
            description = "Event loops (default: ${DEFAULT-VALUE}).")
    private int loops;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Of ids and of the mix (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", description = "Ends the schedule after so long.")
    private Double seconds;

    @Option(names = "--resume", description = "Go on where a replay into this folder was cut off.")
    private boolean resume;

    @Option(names = "--quiet", description = "No progress line.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ReplayOptions o = new ReplayOptions();
        o.trace = trace;
        o.folder = dir;
        o.speed = speed;
        o.mix.putAll(mix);
        o.neverTwice = new HashSet<>(neverTwice);
        o.mostConnections = connections;
        o.loops = loops;
        o.seed = seed;
        o.resume = resume;
        o.mostMicros = seconds == null ? Long.MAX_VALUE : (long) (seconds * 1e6);
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String t : targets) {
            addresses.add(address(spec, t));
        }
        o.targets = addresses;
        try (TraceReader r = new TraceReader(trace)) {
            window(o, r.header().getStartUnixMicros());
        }
        o.check();
        for (InetSocketAddress a : addresses) {
            reach(a);
        }
        PrintWriter err = spec.commandLine().getErr();
        o.progress =
                quiet
                        ? null
                        : line -> {
                            err.println(line);
                            err.flush();
                        };
        ReplayResult result = Replay.run(o);
        print(spec.commandLine().getOut(), result);
        spec.commandLine()
                .getOut()
                .println("report: " + postgrade.lab.report.Report.write(dir).toAbsolutePath());
        return 0;
    }

    static InetSocketAddress address(CommandSpec spec, String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1
                || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 65535) {
            throw new ParameterException(
                    spec.commandLine(), "--target: " + text + " is not host:port");
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private void window(ReplayOptions o, long startUnixMicros) {
        if (window == null) {
            return;
        }
        String[] ends = window.split("-", -1);
        if (ends.length != 2) {
            throw new ParameterException(
                    spec.commandLine(), "--window: " + window + " is not FROM-TO");
        }
        o.fromMicros = Math.max(0, time(ends[0], startUnixMicros));
        o.toMicros = time(ends[1], startUnixMicros);
    }

    private long time(String text, long startUnixMicros) {
        try {
            if (text.endsWith("s")) {
                return (long) (Double.parseDouble(text.substring(0, text.length() - 1)) * 1e6);
            }
            Instant start = Instant.EPOCH.plus(startUnixMicros, ChronoUnit.MICROS);
            ZonedDateTime day = start.atZone(ZoneId.of("UTC"));
            ZonedDateTime at = day.with(LocalTime.parse(text));
            return ChronoUnit.MICROS.between(start, at.toInstant());
        } catch (RuntimeException e) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--window: " + text + " is neither a time of day nor seconds");
        }
    }

    static void reach(InetSocketAddress a) {
        if (a.isUnresolved()) {
            throw new Failed("--target: " + a.getHostString() + " is not known");
        }
        try (Socket s = new Socket()) {
            s.connect(a, CONNECT_MS);
        } catch (IOException e) {
            throw new Failed(
                    "--target: "
                            + a.getHostString()
                            + ":"
                            + a.getPort()
                            + " cannot be reached: "
                            + e.getMessage());
        }
    }

    static void print(PrintWriter out, ReplayResult r) {
        out.printf(
                Locale.ROOT,
                "sent %d in %.3f s (%.1f a second), served %d, refused %d, failed %d, given up %d, "
                        + "broken %d, never left %d%n",
                r.sent.sum(),
                r.seconds(),
                r.sent.sum() / r.seconds(),
                r.served.sum(),
                r.refused.sum(),
                r.failed.sum(),
                r.gaveUp.sum(),
                r.broken.sum(),
                r.unsent.sum());
        out.printf(Locale.ROOT, "recorded retries not called for: %d%n", r.retriesNotCalledFor);
        if (r.skippedOnResume > 0) {
            out.printf(
                    Locale.ROOT,
                    "left out, since they may have gone out before: %d that must not run twice%n",
                    r.skippedOnResume);
        }
        out.printf(
                Locale.ROOT,
                "left within 1 ms of their time: %.3f%%; lateness p50 %.3f ms, p99.9 %.3f ms, most "
                        + "%.3f ms%n",
                100.0 * (r.sent.sum() - r.late.sum()) / Math.max(1, r.sent.sum()),
                r.lateness.getValueAtPercentile(50) / 1000.0,
                r.lateness.getValueAtPercentile(99.9) / 1000.0,
                r.lateness.getMaxValue() / 1000.0);
        out.printf(
                Locale.ROOT,
                "latency of those served, from the intended time: p50 %.1f ms, p95 %.1f ms, p99 %.1f "
                        + "ms, most %.1f ms%n",
                r.latency.getValueAtPercentile(50) / 1000.0,
                r.latency.getValueAtPercentile(95) / 1000.0,
                r.latency.getValueAtPercentile(99) / 1000.0,
                r.latency.getMaxValue() / 1000.0);
    }
}
