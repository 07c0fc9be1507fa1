package postgrade.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.rules.TestWatcher;
import org.junit.runner.Description;
import postgrade.rig.disk.DiskFaults;

/**
 * JUnit rule that gives a test the folder {@code target/rig/GROUP/TEST}. The folder and the
 * histories in it are kept after the test and are emptied when the test starts again.
 */
public final class KeptFolder extends TestWatcher {

    private final String group;
    private Path path;

    public KeptFolder(String group) {
        this.group = group;
    }

    @Override
    protected void starting(Description test) {
        try {
            path = Path.of("target", "rig", group, test.getMethodName()).toAbsolutePath();
            Files.createDirectories(path);
            DiskFaults.wipe(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public Path path() {
        return path;
    }
}
