package postgrade.sharing.memory;

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
 * Where a process keeps what it learnt. Written beside, forced to the disk and renamed, so that
 * there is always a whole one: the former or the new. One that cannot be used is kept aside for
 * whoever looks into it.
 */
public final class MemoryFile {

    private static final Logger LOG = LoggerFactory.getLogger(MemoryFile.class);
    private static final String NAME = "learnt.memory";
    private static final String ASIDE = ".unusable";

    /** Guards the start against a file that somebody else has put there. */
    private static final long MOST_BYTES = 16 << 20;

    private final Path file;
    private final String dispatcher;

    public MemoryFile(Path folder, String dispatcher) {
        this.file = folder.resolve(NAME);
        this.dispatcher = dispatcher;
    }

    public Path path() {
        return file;
    }

    /** What was kept, or null: then there was none, or it was no use and the log says why. */
    public LearntSnapshot read(long unixMicros) {
        try {
            long size = Files.size(file);
            if (size > MOST_BYTES) {
                aside("too_large", "it has " + size + " bytes");
                return null;
            }
            return LearntSnapshotFormat.read(Files.readAllBytes(file), dispatcher, unixMicros);
        } catch (UnusableSnapshotException e) {
            aside(e.fault().name().toLowerCase(java.util.Locale.ROOT), e.getMessage());
        } catch (NoSuchFileException e) {
            LOG.debug("no snapshot of what was learnt", e);
        } catch (IOException e) {
            Events.warn(LOG, "memory.not-read")
                    .addKeyValue("why", e.toString())
                    .log("the snapshot " + file + " cannot be read (" + e + "); starting without");
        }
        return null;
    }

    private void aside(String fault, String why) {
        Path kept = file.resolveSibling(NAME + ASIDE);
        String where;
        try {
            Files.move(file, kept, StandardCopyOption.REPLACE_EXISTING);
            where = "kept as " + kept;
        } catch (IOException e) {
            where = "it could not be kept aside: " + e;
        }
        Events.warn(LOG, "memory.unusable")
                .addKeyValue("fault", fault)
                .addKeyValue("why", why)
                .log("the snapshot " + file + " is not used: " + why + "; " + where);
    }

    /** Off the loop: waits for the disk. */
    public void write(LearntSnapshot memory) throws IOException {
        Files.createDirectories(file.getParent());
        Path next = file.resolveSibling(NAME + ".next");
        ByteBuffer bytes = ByteBuffer.wrap(LearntSnapshotFormat.write(memory));
        try (FileChannel out =
                FileChannel.open(
                        next,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        try {
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (AtomicMoveNotSupportedException e) {
            throw new IOException("the folder's file system cannot rename in one step", e);
        }
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true); // The rename itself lasts, too.
        }
    }
}
