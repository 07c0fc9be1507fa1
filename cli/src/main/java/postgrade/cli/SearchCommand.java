package postgrade.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.lab.replay.Level;
import postgrade.lab.replay.ReplayOptions;
import postgrade.lab.replay.Search;

@Command(
        name = "search",
        description = "Look for the highest rate of a trace at which a level of service is kept.")
final class SearchCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "X.trace", description = "The trace; each step replays its beginning.")
    private Path trace;

    @Option(
            names = "--target",
            paramLabel = "HOST:PORT",
            required = true,
            split = ",",
            description = "A dispatcher.")
    private List<String> targets;

    @Option(names = "--dir", required = true, description = "For the steps' ledgers.")
    private Path dir;

    @Option(
            names = "--level",
            defaultValue = "served>99%,p95<1s",
            description = "Bounds: pN<TIME and served>N%% (default: ${DEFAULT-VALUE}).")
    private String level;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "Of the first step (default: ${DEFAULT-VALUE}).")
    private double speed;

    @Option(
            names = "--step",
            defaultValue = "5",
            description = "Seconds a step (default: ${DEFAULT-VALUE}).")
    private double step;

    @Option(
            names = "--narrow",
            defaultValue = "0.05",
            description = "Ends within this part (default: ${DEFAULT-VALUE}).")
    private double narrow;

    @Option(
            names = "--never-twice",
            paramLabel = "CLASS",
            split = ",",
            description = "Classes that must not run twice.")
    private List<String> neverTwice = List.of();

    @Option(
            names = "--connections",
            defaultValue = "512",
            description = "To each target (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Level wanted = Level.of(level);
        ReplayOptions o = new ReplayOptions();
        o.trace = trace;
        o.folder = dir;
        o.speed = speed;
        o.mostConnections = connections;
        o.neverTwice = new HashSet<>(neverTwice);
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String t : targets) {
            addresses.add(ReplayCommand.address(spec, t));
        }
        o.targets = addresses;
        o.check();
        for (InetSocketAddress a : addresses) {
            ReplayCommand.reach(a);
        }
        PrintWriter out = spec.commandLine().getOut();
        Search.Found found =
                Search.run(
                        o,
                        wanted,
                        step,
                        narrow,
                        line -> {
                            out.println(line);
                            out.flush();
                        });
        if (found.highest() == null) {
            throw new Failed("the level " + wanted + " is kept at no rate that was tried");
        }
        out.printf(
                java.util.Locale.ROOT,
                "highest: %.1f a second, at speed %.3f (%s)%n",
                found.highest().rate(),
                found.highest().speed(),
                found.highest().reached());
        return 0;
    }
}
