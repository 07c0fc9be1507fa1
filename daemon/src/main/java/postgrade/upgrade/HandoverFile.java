package postgrade.upgrade;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.json.JsonReader;
import postgrade.log.Events;

/**
 * A small file next to the sockets, for a new process that has connected to this one but has not
 * received its whole state when this one dies.
 */
final class HandoverFile {

    private static final Logger LOG = LoggerFactory.getLogger(HandoverFile.class);

    private final Path file;

    /**
     * Creates the access to a file.
     *
     * @param file null if there is no shared directory
     */
    HandoverFile(Path file) {
        this.file = file;
    }

    /**
     * Writes the file on the event loop: some hundred bytes to the page cache, once per operator
     * call.
     */
    void write(JsonObject content) {
        if (file == null) {
            return;
        }
        try {
            Path temporary =
                    file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
            Files.writeString(temporary, content.toString());
            Files.move(
                    temporary,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Events.warn(LOG, "upgrade.not-left")
                    .addKeyValue("why", e.toString())
                    .log(
                            "the operators' overrides could not be written for a new process ("
                                    + e
                                    + ")");
        }
    }

    JsonObject read() {
        try {
            return file == null || !Files.exists(file)
                    ? null
                    : JsonReader.read(Files.readString(file)).asObject();
        } catch (IOException | RuntimeException e) {
            Events.warn(LOG, "upgrade.left-not-understood")
                    .addKeyValue("why", e.toString())
                    .log("the hand-over file could not be read (" + e + "); starting without it");
            return null;
        }
    }

    void delete() {
        try {
            if (file != null) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            LOG.debug("the hand-over file could not be removed", e);
        }
    }
}
