package postgrade.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The sockets by which the processes of a dispatcher find each other. */
final class LinkFiles {

    private LinkFiles() {}

    /** Returns those in the shared directory. */
    static List<Path> in(Path sharedDirectory) throws IOException {
        try (var files = Files.list(sharedDirectory)) {
            return files.filter(file -> file.toString().endsWith(".link")).toList();
        }
    }
}
