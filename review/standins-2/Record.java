import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** record.txt of a case: seconds since the start, who, and what. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void add(String who, String what) {
        out.println(String.format(Locale.ROOT, "%9.3f\t%s\t%s", seconds(), who, what));
    }
}
