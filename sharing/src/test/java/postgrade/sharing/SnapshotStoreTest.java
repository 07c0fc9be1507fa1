package postgrade.sharing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import postgrade.log.EventLogs;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.recovery.LearntSnapshot;
import postgrade.sharing.snapshot.SnapshotFile;
import postgrade.sharing.snapshot.SnapshotStore;

/**
 * What a process learnt is restored from its snapshot as far as it can be trusted; an unusable
 * snapshot is logged and set aside.
 */
public class SnapshotStoreTest {

    private static final long SECOND = 1_000_000;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    @Before
    public void captureLog() {
        EventLogs.configure(EventLogs.Format.TEXT);
        EventLogs.setOutput(new PrintStream(log, true));
    }

    @After
    public void restoreLog() {
        EventLogs.setOutput(System.err);
    }

    private FakeHost host() {
        FakeHost host = new FakeHost("n1");
        host.addWorker("w1", 1000);
        host.addWorker("w2", 2000);
        host.policyState =
                List.of(
                        new PolicyStateEntry("class", "price", new double[] {5e6, 100, 1}),
                        new PolicyStateEntry(
                                "worker", "w1", new double[] {1, 0, 0, 1.5, 9, 0, 0, 0, 0}),
                        new PolicyStateEntry(
                                "worker", "w2", new double[] {2, 0, 0, 1.5, 9, 0, 0, 0, 0}),
                        new PolicyStateEntry("tenant", "t", new double[] {3, 50, 0, 0}));
        return host;
    }

    private SnapshotStore store(FakeHost host) {
        return new SnapshotStore(host, file(), SECOND, () -> 0.9, () -> Set.of("w9"));
    }

    private SnapshotFile file() {
        return new SnapshotFile(folder.getRoot().toPath().resolve("m"), "n1");
    }

    private void writeSnapshot() throws InterruptedException {
        FakeHost host = host();
        SnapshotStore store = store(host);
        host.run(SECOND);
        store.tick();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!Files.exists(file().path()) && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        store.close();
        assertNull(store.fault());
    }

    private static List<String> names(List<PolicyStateEntry> all) {
        return all.stream().map(l -> l.category() + " " + l.name()).toList();
    }

    @Test
    public void restoresEntriesByAgeButNotThoseOfRestartedWorkers() throws Exception {
        writeSnapshot();
        FakeHost later = host();
        later.workers.clear();
        later.unixMillis += 61_000;
        SnapshotStore store = store(later);
        LearntSnapshot snapshot = store.load();
        assertEquals(0.9, snapshot.servedShare(), 0);
        assertEquals(Set.of("w9"), SnapshotStore.outOfService(snapshot));
        assertEquals(List.of("class price", "tenant t"), names(later.imported));
        assertEquals("tokens as saved", 3, later.imported.get(1).values()[0], 0);
        assertEquals(
                "and the elapsed time for the refill",
                60e9,
                later.imported.get(1).values()[3],
                1e9);
        assertEquals(
                "half of the observations of a minute ago count",
                50,
                later.imported.get(0).values()[1],
                1);
        later.addWorker("w1", 1000);
        later.addWorker("w2", 9000);
        store.workerListChanged();
        assertEquals("worker w1", names(later.imported).get(2));
        assertEquals(3, later.imported.size());
        store.workerListChanged();
        assertEquals("imported once", 3, later.imported.size());
        store.close();
    }

    @Test
    public void usageCompleteEntryIsImportedOnceAndOnlyAfterACleanShutdown() throws Exception {
        FakeHost host = host();
        host.policyState =
                List.of(
                        new PolicyStateEntry("cold", "w1", new double[] {1e8, 2e8}),
                        new PolicyStateEntry("up", "", new double[] {5e9}));
        SnapshotStore first = store(host);
        first.close();
        for (List<String> expected : List.of(List.of("cold w1", "up "), List.of("cold w1"))) {
            FakeHost later = host();
            SnapshotStore store = store(later); // Killed before it has written anything.
            store.load();
            store.workerListChanged();
            assertEquals(expected, names(later.imported));
        }
        host.run(SECOND);
        SnapshotStore killed = store(host);
        host.run(SECOND);
        killed.tick();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (file().read(host.unixMillis * 1000).savedMicros() < host.unixMillis * 1000
                && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertEquals(
                List.of("cold", "out"),
                file().read(host.unixMillis * 1000).entries().stream()
                        .map(f -> f.learnt().category())
                        .sorted()
                        .toList());
    }

    @Test
    public void snapshotIsIgnoredAfterAHandOver() throws Exception {
        writeSnapshot();
        FakeHost later = host();
        later.startedByHandOver = true;
        SnapshotStore store = store(later);
        assertNull(store.load());
        assertTrue(later.imported.isEmpty());
        store.close();
    }

    private void assertUnusable(String cause, byte[] bytes) throws IOException {
        Files.write(file().path(), bytes);
        log.reset();
        assertNull(cause, file().read(1_800_000_010_000_000L));
        String logged = log.toString(StandardCharsets.UTF_8);
        assertEquals(logged, 1, logged.lines().count());
        assertTrue(logged, logged.contains(cause));
        assertFalse(Files.exists(file().path()));
        Path setAside = file().path().resolveSibling("learnt.memory.unusable");
        assertEquals(
                new String(bytes, StandardCharsets.ISO_8859_1),
                new String(Files.readAllBytes(setAside), StandardCharsets.ISO_8859_1));
        assertNull("the next start has none", file().read(1_800_000_010_000_000L));
    }

    @Test
    public void unusableSnapshotIsLoggedInOneLineAndSetAside() throws Exception {
        writeSnapshot();
        byte[] good = Files.readAllBytes(file().path());
        assertUnusable("bytes", java.util.Arrays.copyOf(good, good.length - 7));
        byte[] flipped = good.clone();
        flipped[good.length - 9] ^= 4;
        assertUnusable("checksum", flipped);
        assertUnusable(
                "does not begin with",
                "something else entirely\n".getBytes(StandardCharsets.UTF_8));
        assertUnusable("bytes", new byte[17 << 20]);
        Files.write(file().path(), good);
        log.reset();
        assertNull(new SnapshotFile(file().path().getParent(), "n2").read(1_800_000_010_000_000L));
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("dispatcher is n1, not n2"));
        Files.write(file().path(), good);
        log.reset();
        assertNull(file().read(1_700_000_000_000_000L));
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("future"));
    }

    @Test
    public void writeFailureIsReportedAndALaterWriteSucceeds() throws Exception {
        Path blocked = folder.getRoot().toPath().resolve("m");
        Files.writeString(blocked, "a file in place of the folder");
        FakeHost host = host();
        SnapshotStore store = store(host);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (store.fault() == null && System.nanoTime() < end) {
            host.run(SECOND);
            store.tick();
        }
        assertTrue(store.fault() != null);
        Files.delete(blocked);
        while (store.fault() != null && System.nanoTime() < end) {
            host.run(SECOND);
            store.tick();
        }
        assertNull(store.fault());
        store.close();
        assertTrue(file().read(host.unixMillis * 1000) != null);
    }
}
