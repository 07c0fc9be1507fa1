package postgrade.rig;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Command line of a measurement program: {@code key=value} arguments. Only the given keys are
 * accepted; a key that is left out has its default value.
 */
public final class Options {

    private static final int USAGE = 2;

    private final String program;
    private final Map<String, String> values;

    private Options(String program, Map<String, String> values) {
        this.program = program;
        this.values = values;
    }

    /** Parses the arguments. Ends the process with exit code 2 if an argument has no known key. */
    public static Options of(String program, Map<String, String> defaults, String[] arguments) {
        Options options = new Options(program, new LinkedHashMap<>(defaults));
        for (String argument : arguments) {
            String[] keyAndValue = argument.split("=", 2);
            if (keyAndValue.length != 2 || !defaults.containsKey(keyAndValue[0])) {
                options.exitWithUsageError(
                        argument + " is not key=value with one of " + defaults.keySet());
            }
            options.values.put(keyAndValue[0], keyAndValue[1]);
        }
        return options;
    }

    private void exitWithUsageError(String why) {
        System.err.println(program + ": " + why);
        System.exit(USAGE);
    }

    public String text(String key) {
        return values.get(key);
    }

    public int integer(String key) {
        try {
            return Integer.parseInt(values.get(key));
        } catch (NumberFormatException e) {
            exitWithUsageError(key + "=" + values.get(key) + " is not a whole number");
            throw e;
        }
    }
}
