package postgrade.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.lab.report.Report;

@Command(
        name = "report",
        description = "Write a run's tables and page anew, or set two runs side by side.")
final class ReportCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "DIR", arity = "1..2", description = "A run's folder, or two.")
    private List<Path> folders;

    @Option(
            names = "--out",
            description = "The page of two runs (default: compared.html in the second's folder).")
    private Path out;

    @Override
    public Integer call() throws IOException {
        for (Path f : folders) {
            if (!Files.exists(f.resolve("clients.ledger"))) {
                throw new Failed(f + ": no run lies there (clients.ledger is missing)");
            }
        }
        if (folders.size() == 1 && out != null) {
            throw new ParameterException(spec.commandLine(), "--out is for two runs");
        }
        Path page =
                folders.size() == 1
                        ? Report.write(folders.get(0))
                        : Report.compare(
                                folders.get(0),
                                folders.get(1),
                                out != null ? out : folders.get(1).resolve("compared.html"));
        spec.commandLine().getOut().println(page.toAbsolutePath());
        return 0;
    }
}
