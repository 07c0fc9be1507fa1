package postgrade.quorum.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Numbers a process's starts: each is higher than the one before, also where the wall clock was set
 * back.
 */
public final class Incarnations {

    private static final String FILE = "incarnation";

    private Incarnations() {}

    /**
     * @param folder may be null: then the wall's time alone counts
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
            // None yet, or torn: the wall's time is as good as for a process without a folder.
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
            // A full or read-only disk keeps no process from serving.
        }
        return next;
    }
}
