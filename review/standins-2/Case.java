import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What the cases have in common: folders, a temporary folder, the verdict. */
abstract class Case {
    static final int HELD = 0;
    
    /** Not 1, by which the virtual machine ends where it cannot start; run.sh makes 1 of it. */
    static final int BROKEN = 11;

    static final int COULD_NOT_RUN = 2;

    final Path root;
    final Path folder;
    final Path temporary;
    final boolean trouble;
    final Record record;

    Case(String[] args) throws IOException {
        root = Path.of(args[0]).toAbsolutePath().normalize();
        folder = Path.of(args[1]).toAbsolutePath().normalize();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new Record(folder.resolve("record.txt"));
        temporary = Files.createTempDirectory("review");
        record.add("case", trouble ? "with the disruption" : "without the disruption");
    }

    /** Returns HELD, BROKEN or COULD_NOT_RUN. */
    abstract int run() throws Exception;

    static void main(Case what) throws Exception {
        Thread guard =
                Threads.run(
                        "guard",
                        () -> {
                            Thread.sleep(112_000);
                            what.finish(COULD_NOT_RUN, "the case took too long");
                        });
        guard.setName("guard");
        int code;
        try {
            code = what.run();
        } catch (Exception e) {
            e.printStackTrace();
            what.record.add("case", "failed: " + e);
            code = COULD_NOT_RUN;
        }
        what.finish(code, "");
    }

    private void finish(int code, String why) {
        String verdict = code == HELD ? "the rule held" : code == BROKEN ? "THE RULE WAS BROKEN" : "could not run";
        record.add("case", verdict + (why.isEmpty() ? "" : ": " + why));
        System.out.println(verdict + (why.isEmpty() ? "" : ": " + why));
        end();
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (file.toString().endsWith(".log")) {
                    Files.copy(
                            file,
                            folder.resolve(file.getFileName().toString()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.out.println("the temporary folder stays: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    /** Ends the processes that the case started. */
    abstract void end();

    static List<Double> stretch(int classes) {
        return java.util.Collections.nCopies(classes, 2.0);
    }
}
