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
    public static long next(Path folder, long wallMillis) {
        if (folder == null) {
            return wallMillis;
        }
        Path file = folder.resolve(FILE);
        long before = 0;
        try {
            before = Long.parseLong(Files.readString(file).strip());
        } catch (IOException | NumberFormatException e) {
            // None yet, or torn: the wall's time is as good as for a process without a folder.
        }
        long next = Math.max(before + 1, wallMillis);
        try {
            Files.createDirectories(folder);
            Path whole = folder.resolve(FILE + ".new");
            Files.writeString(whole, next + "\n");
            Files.move(
                    whole,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // A full or read-only disk keeps no process from serving.
        }
        return next;
    }
}
