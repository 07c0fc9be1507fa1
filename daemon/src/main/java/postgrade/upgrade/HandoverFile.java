package postgrade.upgrade;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * A small file beside the links: what a process leaves for one that has met it and not heard it
 * out.
 */
final class HandoverFile {

    private static final Logger LOG = LoggerFactory.getLogger(HandoverFile.class);

    private final Path file;

    /**
     * @param file null where there is no folder for it
     */
    HandoverFile(Path file) {
        this.file = file;
    }

    /** On the loop: some hundred bytes to the system's memory, at an operator's call. */
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
                    .log("what operators said cannot be left for a new process (" + e + ")");
        }
    }

    JsonObject read() {
        try {
            return file == null || !Files.exists(file)
                    ? null
                    : Json.parse(Files.readString(file)).asObject();
        } catch (IOException | RuntimeException e) {
            Events.warn(LOG, "upgrade.left-not-understood")
                    .addKeyValue("why", e.toString())
                    .log("what a process left was not understood (" + e + "); started without it");
            return null;
        }
    }

    void delete() {
        try {
            if (file != null) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            LOG.debug("what was left could not be removed", e);
        }
    }
}
