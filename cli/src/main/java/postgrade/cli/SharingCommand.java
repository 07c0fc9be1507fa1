package postgrade.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import postgrade.quorum.Quorum;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.sharing.settings.SharingSettingsFile;

/** What operators do with the shared state while its processes do not run. */
@Command(
        name = "sharing",
        description = "The state that dispatchers share.",
        subcommands = SharingCommand.Begin.class,
        synopsisSubcommandLabel = "COMMAND")
final class SharingCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(
            name = "begin-era",
            description =
                    "Begin an era at one voter, whose process must not run: the first of an "
                            + "installation, or the next after a total loss.",
            footer = {"", "The other voters are taken in as they come."})
    static final class Begin implements Callable<Integer> {

        @Spec private CommandSpec spec;

        @Parameters(
                paramLabel = "FILE",
                description = "How the processes share, such as deploy/sharing.star.")
        private Path file;

        @Option(names = "--name", required = true, description = "The voter at which it begins.")
        private String name;

        @Option(
                names = "--era",
                required = true,
                description = "Its number, above all earlier ones; the first is 1.")
        private long era;

        @Override
        public Integer call() throws IOException {
            QuorumSettings settings = SharingSettingsFile.read(file, name).quorum();
            String against = Quorum.beginEra(settings, era);
            if (against != null) {
                throw new Failed(against);
            }
            spec.commandLine()
                    .getOut()
                    .println(
                            "era "
                                    + era
                                    + " has begun at "
                                    + settings.name()
                                    + ", in "
                                    + settings.store()
                                    + "; start it, and the other voters are taken in as they come");
            return 0;
        }
    }
}
