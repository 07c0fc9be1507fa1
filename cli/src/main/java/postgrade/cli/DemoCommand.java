package postgrade.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import postgrade.lab.demo.Demo;

@Command(
        name = "demo",
        description =
                "Replay a generated Friday through two dispatchers against a stand-in fleet, "
                        + "and write a report.")
final class DemoCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(names = "--dir", description = "For all files (default: a new folder under target/).")
    private Path dir;

    @Option(
            names = "--dispatchers",
            defaultValue = "2",
            description = "How many (default: ${DEFAULT-VALUE}).")
    private int dispatchers;

    @Option(
            names = "--seconds",
            defaultValue = "50",
            description = "Length of the replay (default: ${DEFAULT-VALUE}).")
    private double seconds;

    @Option(
            names = "--rate",
            defaultValue = "60",
            description = "Mean jobs a second (default: ${DEFAULT-VALUE}).")
    private double rate;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (dispatchers < 1 || dispatchers > 20 || !(seconds > 0) || !(rate > 0)) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--dispatchers must be 1 to 20, --seconds and --rate above 0");
        }
        Path folder =
                dir != null
                        ? dir
                        : Path.of(
                                "target",
                                "demo-"
                                        + LocalDateTime.now()
                                                .format(
                                                        DateTimeFormatter.ofPattern(
                                                                "yyyyMMdd-HHmmss")));
        PrintWriter out = spec.commandLine().getOut();
        Demo.Outcome end =
                Demo.run(
                        folder,
                        dispatchers,
                        seconds,
                        rate,
                        line -> {
                            out.println(line);
                            out.flush();
                        });
        ReplayCommand.print(out, end.replay());
        if (!end.verdict().violations.isEmpty()) {
            end.verdict().violations.stream()
                    .limit(10)
                    .forEach(v -> out.println(v.rule() + " " + v.id() + ": " + v.what()));
            throw new Failed(
                    end.verdict().violations.size()
                            + " breaches of rules; report: "
                            + end.report().toAbsolutePath());
        }
        out.println("no rule is broken");
        out.println("report: " + end.report().toAbsolutePath());
        return 0;
    }
}
