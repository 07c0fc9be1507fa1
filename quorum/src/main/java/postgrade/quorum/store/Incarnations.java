package postgrade.quorum.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Numbers the starts of a process: each number is higher than the previous one, even if the wall
 * clock was set back.
 */
public final class Incarnations {

    private static final String FILE = "incarnation";

    private Incarnations() {}

    /**
     * Returns the next number and stores it.
     *
     * @param folder where the number is stored; if null, the wall clock alone decides
     */
    public static long next(Path folder, long wallClockMillis) {
        if (folder == null) {
            return wallClockMillis;
        }
        Path file = folder.resolve(FILE);
        long previous = 0;
        try {
            previous = Long.parseLong(Files.readString(file).strip());
        } catch (IOException | NumberFormatException e) {
            // None yet, or truncated: the wall clock decides, as for a process without a folder.
        }
        long next = Math.max(previous + 1, wallClockMillis);
        try {
            Files.createDirectories(folder);
            Path newFile = folder.resolve(FILE + ".new");
            Files.writeString(newFile, next + "\n");
            Files.move(
                    newFile,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // A full or read-only disk must not keep a process from serving.
        }
        return next;
    }
}
