package postgrade.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.lab.tables.Overhead;

@Command(
        name = "overhead",
        description = "Tell what the way through a dispatcher added to the time that workers took.")
final class OverheadCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "DIR", description = "A run's folder, with the fleet's ledgers.")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        Histogram h = Overhead.of(folder);
        spec.commandLine()
                .getOut()
                .printf(
                        Locale.ROOT,
                        "added to %d requests: p50 %.2f ms, p95 %.2f ms, p99 %.2f ms, "
                                + "most %.2f ms%n",
                        h.getTotalCount(),
                        h.getValueAtPercentile(50) / 1000.0,
                        h.getValueAtPercentile(95) / 1000.0,
                        h.getValueAtPercentile(99) / 1000.0,
                        h.getMaxValue() / 1000.0);
        return 0;
    }
}
