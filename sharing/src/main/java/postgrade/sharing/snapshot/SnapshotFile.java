package postgrade.sharing.snapshot;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;
import postgrade.recovery.LearntSnapshot;
import postgrade.recovery.LearntSnapshotFormat;
import postgrade.recovery.UnusableSnapshotException;

/**
 * The file in which a process saves what it learnt. It is written to a temporary file, forced to
 * the disk and renamed, so that there is always a complete file: the former or the new one. A file
 * that cannot be used is moved aside for inspection.
 */
public final class SnapshotFile {

    private static final Logger LOG = LoggerFactory.getLogger(SnapshotFile.class);
    private static final String FILE_NAME = "learnt.memory";
    private static final String UNUSABLE_SUFFIX = ".unusable";

    /** Bounds the memory and time that the start spends on a file that something else wrote. */
    private static final long MAX_BYTES = 16 << 20;

    private final Path file;
    private final String dispatcher;

    public SnapshotFile(Path folder, String dispatcher) {
        this.file = folder.resolve(FILE_NAME);
        this.dispatcher = dispatcher;
    }

    public Path path() {
        return file;
    }

    /** Returns the saved snapshot, or null if there is none or it is unusable; the log says why. */
    public LearntSnapshot read(long unixMicros) {
        try {
            long size = Files.size(file);
            if (size > MAX_BYTES) {
                setAside("too_large", "it has " + size + " bytes");
                return null;
            }
            return LearntSnapshotFormat.read(Files.readAllBytes(file), dispatcher, unixMicros);
        } catch (UnusableSnapshotException e) {
            setAside(e.fault().name().toLowerCase(java.util.Locale.ROOT), e.getMessage());
        } catch (NoSuchFileException e) {
            LOG.debug("no snapshot of what was learnt exists", e);
        } catch (IOException e) {
            Events.warn(LOG, "memory.not-read")
                    .addKeyValue("why", e.toString())
                    .log(
                            "the snapshot "
                                    + file
                                    + " cannot be read ("
                                    + e
                                    + "); starting without it");
        }
        return null;
    }

    private void setAside(String fault, String reason) {
        Path target = file.resolveSibling(FILE_NAME + UNUSABLE_SUFFIX);
        String outcome;
        try {
            Files.move(file, target, StandardCopyOption.REPLACE_EXISTING);
            outcome = "kept as " + target;
        } catch (IOException e) {
            outcome = "it could not be moved aside: " + e;
        }
        Events.warn(LOG, "memory.unusable")
                .addKeyValue("fault", fault)
                .addKeyValue("why", reason)
                .log("the snapshot " + file + " is not used: " + reason + "; " + outcome);
    }

    /** Writes the snapshot. Called off the event loop, as it waits for the disk. */
    public void write(LearntSnapshot snapshot) throws IOException {
        Files.createDirectories(file.getParent());
        Path temporary = file.resolveSibling(FILE_NAME + ".next");
        ByteBuffer bytes = ByteBuffer.wrap(LearntSnapshotFormat.write(snapshot));
        try (FileChannel out =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        try {
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (AtomicMoveNotSupportedException e) {
            throw new IOException("the folder's file system cannot rename in one step", e);
        }
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true); // Makes the rename itself durable.
        }
    }
}
