package postgrade.quorum;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.SharingFile;
import postgrade.script.ScriptError;

/** The operator's step that begins an era, as a command: {@code FILE NAME ERA}. */
public final class BeginEra {

    private static final int REFUSED = 1;
    private static final int USAGE = 2;

    private BeginEra() {}

    public static void main(String[] args) {
        if (args.length != 3) {
            System.err.println(
                    "begin-era takes a settings file, a voter's name and the era's number");
            System.exit(USAGE);
        }
        System.exit(run(Path.of(args[0]), args[1], args[2], System.out, System.err));
    }

    /**
     * @return the exit code: 0 where the era has begun, 1 where something stands against it, 2 for
     *     faulty input
     */
    public static int run(Path file, String name, String era, PrintStream out, PrintStream err) {
        QuorumSettings settings;
        long number;
        try {
            settings = SharingFile.read(file, name, err::println);
            number = Long.parseLong(era);
        } catch (NumberFormatException e) {
            err.println("era: must be a whole number, not " + era);
            return USAGE;
        } catch (ScriptError | IllegalArgumentException e) {
            err.println(e.getMessage());
            return USAGE;
        }
        try {
            String against = Quorum.beginEra(settings, number);
            if (against != null) {
                err.println(against);
                return REFUSED;
            }
            out.println(
                    "era "
                            + number
                            + " has begun at "
                            + settings.name()
                            + ", in "
                            + settings.store()
                            + "; start it, and the other voters are taken in as they come");
            return 0;
        } catch (IOException e) {
            err.println("era " + number + " could not be begun: " + e.getMessage());
            return REFUSED;
        }
    }
}
