package postgrade.rig.disk;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

public class DiskFaultsTest {

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void filesAreCorruptedAndRolledBackAsRequested() throws IOException {
        Path store = folder.newFolder("store").toPath();
        Path file = Files.createDirectories(store.resolve("a/b")).resolve("f");
        byte[] content = new byte[1000];
        Arrays.fill(content, (byte) 'x');
        Files.write(file, content);
        Path copy = folder.getRoot().toPath().resolve("copy");
        DiskFaults.copy(store, copy);
        DiskFaults.flipBits(file, 3, 42);
        byte[] flipped = Files.readAllBytes(file);
        assertEquals(1000, flipped.length);
        int changedBytes = 0;
        for (byte b : flipped) {
            changedBytes += b == 'x' ? 0 : 1;
        }
        assertEquals(3, changedBytes);
        DiskFaults.truncate(file, 0.25);
        assertEquals(250, Files.size(file));
        DiskFaults.rollBack(store, copy);
        assertArrayEquals(content, Files.readAllBytes(file));
        DiskFaults.wipe(store);
        assertEquals(List.of(), DiskFaults.files(store));
        assertTrue(Files.isDirectory(store));
    }
}
