package postgrade.rig.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import postgrade.rig.disk.DiskFaults;

/**
 * Runs the soak test for consecutive seeds: {@code --seeds N --first S [--out FOLDER] [--lenient]}.
 * Prints a line for each seed, followed by the violations of rules. Exits with 1 if a rule was
 * broken or a run was not clean, with 2 on wrong usage.
 */
public final class Soak {

    private static final int EXIT_RULE_BROKEN = 1;
    private static final int EXIT_USAGE = 2;

    private int seeds = 1;
    private long first = 1;
    private Path out = Path.of("found", "soak");
    private SoakLimits limits = SoakLimits.EXACT;

    private Soak() {}

    /** Entry point of the program. */
    public static void main(String[] arguments) throws Exception {
        Soak soak = new Soak();
        try {
            soak.parse(arguments);
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            System.err.println("soak: --seeds N --first S [--out FOLDER] [--lenient]");
            System.exit(EXIT_USAGE);
        }
        System.exit(soak.run() ? 0 : EXIT_RULE_BROKEN);
    }

    private void parse(String[] arguments) {
        for (int i = 0; i < arguments.length; i++) {
            switch (arguments[i]) {
                case "--seeds" -> seeds = Integer.parseInt(arguments[++i]);
                case "--first" -> first = Long.parseLong(arguments[++i]);
                case "--out" -> out = Path.of(arguments[++i]);
                case "--lenient" -> limits = SoakLimits.LENIENT;
                default -> throw new IllegalArgumentException(arguments[i]);
            }
        }
    }

    private boolean run() throws IOException, InterruptedException {
        int clean = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            clean += isClean(seed) ? 1 : 0;
        }
        System.out.println(clean + " of " + seeds + " seeds without a broken rule");
        return clean == seeds;
    }

    /** A run that cannot be completed is not clean; the next seed is run all the same. */
    private boolean isClean(long seed) throws IOException, InterruptedException {
        try {
            return run(seed, limits, out.resolve("seed-" + seed)).isClean();
        } catch (ExecutionException | IllegalStateException e) {
            System.out.println("seed " + seed + " NOT PLAYED TO ITS END: " + e);
            return false;
        }
    }

    /** Runs one seed and prints the result. The files of the run remain in the folder. */
    static SoakResult run(long seed, SoakLimits limits, Path folder)
            throws IOException, InterruptedException, ExecutionException {
        Files.createDirectories(folder);
        DiskFaults.wipe(folder);
        SoakResult result = new SoakRun(SoakPlan.of(seed), limits, folder).run();
        System.out.println(result.summary());
        result.violations().forEach(violation -> System.out.println("  " + violation));
        return result;
    }
}
