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

/** Faults on a real process, and what is kept of it. */
public class ProgramTest {

    /** A virtual machine has to start within it, on a busy machine too. */
    private static final long MOST = 120_000;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private Path kept;
    private History history;

    @Before
    public void open() throws IOException {
        kept = folder.getRoot().toPath().resolve("history.jsonl");
        history = new History(kept);
    }

    @After
    public void close() throws IOException {
        history.close();
    }

    private JavaProcess.Builder echo() {
        return new JavaProcess.Builder("e", Echo.class.getName());
    }

    @Test
    public void aKilledProcessEndsAndItsHistoryIsKept() throws IOException, InterruptedException {
        try (JavaProcess p = echo().testClock(5, -20_000).start(history)) {
            assertEquals("5,-20000", p.await("up", 0, MOST).text("clock"));
            p.writeLine("one");
            assertEquals("one", p.await("said", 0, MOST).text("text"));
            p.kill();
            p.await("ended", 0, MOST);
            assertFalse(p.alive());
        }
        assertEquals(history.all(), HistoryReader.read(kept));
    }

    @Test
    public void aStoppedProcessGoesOnWhereItWas() throws IOException, InterruptedException {
        try (JavaProcess p = echo().start(history)) {
            p.await("up", 0, MOST);
            p.stop();
            p.writeLine("late");
            assertThrows(IllegalStateException.class, () -> p.await("said", 0, 200));
            p.resume();
            assertEquals("late", p.await("said", 0, MOST).text("text"));
        }
    }

    @Test
    public void aStoppedProcessIsNotLeftBehind() throws IOException, InterruptedException {
        JavaProcess p = echo().start(history);
        p.await("up", 0, MOST);
        p.stop();
        p.close();
        assertFalse(ProcessHandle.of(p.pid()).map(ProcessHandle::isAlive).orElse(false));
    }

    @Test
    public void aFullDiskFailsWritesAndLeavesTheProcess() throws IOException, InterruptedException {
        try (JavaProcess p = echo().maxFileKib(16).start(history)) {
            p.await("up", 0, MOST);
            p.writeLine("write " + folder.getRoot().toPath().resolve("big"));
            p.await("full", 0, MOST);
            p.writeLine("still here");
            p.await("said", 0, MOST);
        }
    }
}
