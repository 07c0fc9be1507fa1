package postgrade.quorum;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.SharingFile;
import postgrade.script.ScriptError;

/** Command that begins an era at one voter: {@code FILE NAME ERA}. */
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
     * Begins the era and reports the outcome.
     *
     * @return the exit code: 0 if the era has begun, 1 if it was refused or failed, 2 for invalid
     *     arguments or settings
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
            String refusal = Quorum.beginEra(settings, number);
            if (refusal != null) {
                err.println(refusal);
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
            err.println("era " + number + " could not begin: " + e.getMessage());
            return REFUSED;
        }
    }
}
