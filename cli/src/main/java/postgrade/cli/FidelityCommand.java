package postgrade.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.lab.replay.Fidelity;

@Command(
        name = "fidelity",
        description =
                "Tell how closely a replay followed its trace: rate in windows of 5 s, mix of "
                        + "classes. Exit code 1 beyond the tolerance.")
final class FidelityCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "X.trace", description = "The trace, replayed whole.")
    private Path trace;

    @Parameters(index = "1", paramLabel = "DIR", description = "The run's folder.")
    private Path folder;

    @Option(
            names = "--tolerance",
            defaultValue = "0.05",
            description = "As a part (default: ${DEFAULT-VALUE}).")
    private double tolerance;

    @Override
    public Integer call() throws IOException {
        Fidelity.Found f = Fidelity.of(trace, folder);
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "%d first tries recorded, %d sent; worst of %d windows of 5 s: %.2f%%; worst class: "
                        + "%.2f%%%n",
                f.recorded(),
                f.sent(),
                f.windows(),
                100 * f.worstRate(),
                100 * f.worstMix());
        f.shares()
                .forEach(
                        (c, s) ->
                                out.printf(
                                        Locale.ROOT,
                                        "  %-20s recorded %6.2f%%  sent %6.2f%%%n",
                                        c,
                                        100 * s[0],
                                        100 * s[1]));
        return f.worstRate() <= tolerance && f.worstMix() <= tolerance ? 0 : Postgrade.FAILED;
    }
}
