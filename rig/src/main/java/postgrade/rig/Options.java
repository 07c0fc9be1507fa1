package postgrade.rig;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a bench is called with: {@code key=value}, each key known and with a value of its own where
 * it is left out.
 */
public final class Options {

    private static final int USAGE = 2;

    private final String bench;
    private final Map<String, String> values;

    private Options(String bench, Map<String, String> values) {
        this.bench = bench;
        this.values = values;
    }

    /** Ends the program with exit code 2 where an argument names no key of these. */
    public static Options of(String bench, Map<String, String> usual, String[] arguments) {
        Options all = new Options(bench, new LinkedHashMap<>(usual));
        for (String a : arguments) {
            String[] kv = a.split("=", 2);
            if (kv.length != 2 || !usual.containsKey(kv[0])) {
                all.faulty(a + " is not key=value with one of " + usual.keySet());
            }
            all.values.put(kv[0], kv[1]);
        }
        return all;
    }

    private void faulty(String why) {
        System.err.println(bench + ": " + why);
        System.exit(USAGE);
    }

    public String text(String key) {
        return values.get(key);
    }

    public int whole(String key) {
        try {
            return Integer.parseInt(values.get(key));
        } catch (NumberFormatException e) {
            faulty(key + "=" + values.get(key) + " is no whole number");
            throw e;
        }
    }
}
