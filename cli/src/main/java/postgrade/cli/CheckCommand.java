package postgrade.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.daemon.ConfigCheck;

@Command(
        name = "check",
        description = "Check a settings file and print what is in force, and where each came from.")
final class CheckCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "FILE",
            description = "A dispatcher's configuration (JSON), a plan or a fleet (.star).")
    private Path file;

    @Override
    public Integer call() throws java.io.IOException {
        if (!Files.isReadable(file)) {
            throw new Faulty(file + ": no such file, or not readable");
        }
        print(file.toString().endsWith(".star") ? SettingsFiles.check(file) : dispatcher(file));
        return 0;
    }

    private static List<ConfigCheck.Setting> dispatcher(Path file) {
        try {
            return ConfigCheck.effectiveSettings(file, System.getenv());
        } catch (IllegalArgumentException e) {
            throw new Faulty(e.getMessage());
        }
    }

    private void print(List<ConfigCheck.Setting> settings) {
        PrintWriter out = spec.commandLine().getOut();
        int key = settings.stream().mapToInt(s -> s.key().length()).max().orElse(0);
        int value = settings.stream().mapToInt(s -> s.value().length()).max().orElse(0);
        for (ConfigCheck.Setting s : settings) {
            out.printf("%-" + key + "s  %-" + value + "s  %s%n", s.key(), s.value(), s.origin());
        }
    }
}
