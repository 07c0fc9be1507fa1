package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, one line an event, with seconds since the start. */
final class Record {

    private static final long START = System.nanoTime();

    private final Writer out;

    Record(Path file) {
        try {
            out = Files.newBufferedWriter(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the seconds since the start of the script, by the machine's monotonic clock. */
    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void line(String who, String what) {
        try {
            out.write(String.format(Locale.ROOT, "%9.3f %-12s %s%n", seconds(), who, what));
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
