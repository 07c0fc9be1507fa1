package postgrade.rig.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import postgrade.rig.history.History;
import postgrade.rig.history.HistoryReader;

/** Faults of a real process, and the history that is stored of it. */
public class JavaProcessTest {

    /** Long enough for a Java virtual machine to start on a busy machine. */
    private static final long TIMEOUT_MS = 120_000;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private Path historyFile;
    private History history;

    @Before
    public void open() throws IOException {
        historyFile = folder.getRoot().toPath().resolve("history.jsonl");
        history = new History(historyFile);
    }

    @After
    public void close() throws IOException {
        history.close();
    }

    private JavaProcess.Builder echo() {
        return new JavaProcess.Builder("e", Echo.class.getName());
    }

    @Test
    public void killedProcessEndsAndItsHistoryIsStored() throws IOException, InterruptedException {
        try (JavaProcess process = echo().testClock(5, -20_000).start(history)) {
            assertEquals("5,-20000", process.await("up", 0, TIMEOUT_MS).text("clock"));
            process.writeLine("one");
            assertEquals("one", process.await("said", 0, TIMEOUT_MS).text("text"));
            process.kill();
            process.await("ended", 0, TIMEOUT_MS);
            assertFalse(process.alive());
        }
        assertEquals(history.all(), HistoryReader.read(historyFile));
    }

    @Test
    public void pausedProcessContinuesAfterResume() throws IOException, InterruptedException {
        try (JavaProcess process = echo().start(history)) {
            process.await("up", 0, TIMEOUT_MS);
            process.stop();
            process.writeLine("late");
            assertThrows(IllegalStateException.class, () -> process.await("said", 0, 200));
            process.resume();
            assertEquals("late", process.await("said", 0, TIMEOUT_MS).text("text"));
        }
    }

    @Test
    public void closeKillsAPausedProcess() throws IOException, InterruptedException {
        JavaProcess process = echo().start(history);
        process.await("up", 0, TIMEOUT_MS);
        process.stop();
        process.close();
        assertFalse(ProcessHandle.of(process.pid()).map(ProcessHandle::isAlive).orElse(false));
    }

    @Test
    public void fileSizeLimitFailsWritesWithoutEndingTheProcess()
            throws IOException, InterruptedException {
        try (JavaProcess process = echo().maxFileKib(16).start(history)) {
            process.await("up", 0, TIMEOUT_MS);
            process.writeLine("write " + folder.getRoot().toPath().resolve("big"));
            process.await("full", 0, TIMEOUT_MS);
            process.writeLine("still here");
            process.await("said", 0, TIMEOUT_MS);
        }
    }
}
