package postgrade.cli;

import java.io.PrintWriter;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import postgrade.log.EventLogs;

/** The command line. Exit codes: 0 done, 1 failed, 2 the call or a setting is faulty. */
@Command(
        name = "postgrade",
        description = "A dispatcher for job workers, and the tools round it.",
        versionProvider = Postgrade.Version.class,
        mixinStandardHelpOptions = true,
        scope = ScopeType.INHERIT,
        subcommands = {
            ServeCommand.class,
            BenchlinkCommand.class,
            CheckCommand.class,
            DemoCommand.class,
            LoadCommand.class,
            FleetCommand.class,
            ReportCommand.class,
            SharingCommand.class,
            AutoComplete.GenerateCompletion.class
        },
        synopsisSubcommandLabel = "COMMAND",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:failed", "2:the call or a setting is faulty"})
public final class Postgrade implements Runnable {

    static final int FAILED = 1;
    static final int FAULTY = 2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Set before any command runs, since loggers are made when its classes load. */
    @Option(
            names = "--log-format",
            paramLabel = "text|json",
            scope = ScopeType.INHERIT,
            description = "How log lines are written on standard error (default: text).")
    void logFormat(String name) {
        try {
            EventLogs.configure(EventLogs.parseFormat(name));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Runs one command and returns its exit code. */
    static int execute(PrintWriter out, PrintWriter err, String... args) {
        EventLogs.configure(EventLogs.Format.TEXT);
        CommandLine line = new CommandLine(new Postgrade()).setOut(out).setErr(err);
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler(
                (e, command, parsed) -> {
                    // Guards whoever reads it: what the user can mend is one line, a fault of ours
                    // keeps its trace.
                    if (e instanceof Faulty
                            || e instanceof postgrade.script.ScriptError
                            || e instanceof IllegalArgumentException) {
                        err.println("postgrade: " + e.getMessage());
                        return FAULTY;
                    }
                    if (e instanceof Failed || e instanceof java.io.IOException) {
                        err.println(
                                "postgrade: "
                                        + (e instanceof Failed ? e.getMessage() : Failed.plain(e)));
                        return FAILED;
                    }
                    e.printStackTrace(err);
                    return FAILED;
                });
        line.setParameterExceptionHandler(
                (e, rest) -> {
                    err.println("postgrade: " + e.getMessage());
                    err.println(
                            "Try '"
                                    + e.getCommandLine().getCommandSpec().qualifiedName(" ")
                                    + " --help'.");
                    return FAULTY;
                });
        int code = line.execute(args);
        out.flush();
        err.flush();
        return code;
    }

    public static void main(String[] args) {
        int code =
                execute(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
        if (code != ServeCommand.SERVING) {
            System.exit(code);
        }
    }

    /** Tells the version that the build gave. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Postgrade.class.getPackage().getImplementationVersion();
            return new String[] {"postgrade " + (version == null ? "(not packaged)" : version)};
        }
    }
}
