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
import postgrade.sharing.memory.Keeper;
import postgrade.sharing.memory.MemoryFile;

/**
 * What a process learnt outlives it, as far as it may be trusted; what may not is named and kept
 * aside.
 */
public class MemoryTest {

    private static final long SECOND = 1_000_000;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    @Before
    public void hear() {
        EventLogs.configure(EventLogs.Format.TEXT);
        EventLogs.setOutput(new PrintStream(log, true));
    }

    @After
    public void unhear() {
        EventLogs.setOutput(System.err);
    }

    private FakeHost host() {
        FakeHost host = new FakeHost("n1");
        host.worker("w1", 1000);
        host.worker("w2", 2000);
        host.learnt =
                List.of(
                        new PolicyStateEntry("class", "price", new double[] {5e6, 100, 1}),
                        new PolicyStateEntry(
                                "worker", "w1", new double[] {1, 0, 0, 1.5, 9, 0, 0, 0, 0}),
                        new PolicyStateEntry(
                                "worker", "w2", new double[] {2, 0, 0, 1.5, 9, 0, 0, 0, 0}),
                        new PolicyStateEntry("tenant", "t", new double[] {3, 50, 0, 0}));
        return host;
    }

    private Keeper keeper(FakeHost host) {
        return new Keeper(host, file(), SECOND, () -> 0.9, () -> Set.of("w9"));
    }

    private MemoryFile file() {
        return new MemoryFile(folder.getRoot().toPath().resolve("m"), "n1");
    }

    private void kept() throws InterruptedException {
        FakeHost host = host();
        Keeper keeper = keeper(host);
        host.run(SECOND);
        keeper.tick();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!Files.exists(file().path()) && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        keeper.close();
        assertNull(keeper.fault());
    }

    private static List<String> names(List<PolicyStateEntry> all) {
        return all.stream().map(l -> l.category() + " " + l.name()).toList();
    }

    @Test
    public void figuresComeBackByAgeThoseOfARestartedWorkerDoNotAndTokensAreNoFullBurst()
            throws Exception {
        kept();
        FakeHost later = host();
        later.workers.clear();
        later.unixMillis += 61_000;
        Keeper keeper = keeper(later);
        LearntSnapshot memory = keeper.recall();
        assertEquals(0.9, memory.servedShare(), 0);
        assertEquals(Set.of("w9"), Keeper.out(memory));
        assertEquals(List.of("class price", "tenant t"), names(later.told));
        assertEquals("as they were", 3, later.told.get(1).values()[0], 0);
        assertEquals("and the time since for the refill", 60e9, later.told.get(1).values()[3], 1e9);
        assertEquals(
                "half of what was seen a minute ago counts", 50, later.told.get(0).values()[1], 1);
        later.worker("w1", 1000);
        later.worker("w2", 9000);
        keeper.listed();
        assertEquals("worker w1", names(later.told).get(2));
        assertEquals(3, later.told.size());
        keeper.listed();
        assertEquals("told once", 3, later.told.size());
        keeper.close();
    }

    @Test
    public void thatAllSendsToColdWorkersAreThereIsToldByOneThatEndedInOrderAndOnce()
            throws Exception {
        FakeHost host = host();
        host.learnt =
                List.of(
                        new PolicyStateEntry("cold", "w1", new double[] {1e8, 2e8}),
                        new PolicyStateEntry("up", "", new double[] {5e9}));
        Keeper first = keeper(host);
        first.close();
        for (List<String> told : List.of(List.of("cold w1", "up "), List.of("cold w1"))) {
            FakeHost later = host();
            Keeper keeper = keeper(later); // It is killed before it has written anything.
            keeper.recall();
            keeper.listed();
            assertEquals(told, names(later.told));
        }
        host.run(SECOND);
        Keeper killed = keeper(host);
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
    public void whoTookOverFromARunningProcessKnowsBetter() throws Exception {
        kept();
        FakeHost later = host();
        later.tookOver = true;
        Keeper keeper = keeper(later);
        assertNull(keeper.recall());
        assertTrue(later.told.isEmpty());
        keeper.close();
    }

    private void unusable(String cause, byte[] bytes) throws IOException {
        Files.write(file().path(), bytes);
        log.reset();
        assertNull(cause, file().read(1_800_000_010_000_000L));
        String said = log.toString(StandardCharsets.UTF_8);
        assertEquals(said, 1, said.lines().count());
        assertTrue(said, said.contains(cause));
        assertFalse(Files.exists(file().path()));
        Path aside = file().path().resolveSibling("learnt.memory.unusable");
        assertEquals(
                new String(bytes, StandardCharsets.ISO_8859_1),
                new String(Files.readAllBytes(aside), StandardCharsets.ISO_8859_1));
        assertNull("the next start has none", file().read(1_800_000_010_000_000L));
    }

    @Test
    public void whatCannotBeTrustedIsNamedInOneLineAndKeptAside() throws Exception {
        kept();
        byte[] good = Files.readAllBytes(file().path());
        unusable("bytes", java.util.Arrays.copyOf(good, good.length - 7));
        byte[] flipped = good.clone();
        flipped[good.length - 9] ^= 4;
        unusable("checksum", flipped);
        unusable(
                "does not begin with",
                "something else entirely\n".getBytes(StandardCharsets.UTF_8));
        unusable("bytes", new byte[17 << 20]);
        Files.write(file().path(), good);
        log.reset();
        assertNull(new MemoryFile(file().path().getParent(), "n2").read(1_800_000_010_000_000L));
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("dispatcher is n1, not n2"));
        Files.write(file().path(), good);
        log.reset();
        assertNull(file().read(1_700_000_000_000_000L));
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("future"));
    }

    @Test
    public void aFolderThatCannotBeWrittenIsSaidAndTheNextWriteSucceeds() throws Exception {
        Path blocked = folder.getRoot().toPath().resolve("m");
        Files.writeString(blocked, "a file stands where the folder is to be");
        FakeHost host = host();
        Keeper keeper = keeper(host);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (keeper.fault() == null && System.nanoTime() < end) {
            host.run(SECOND);
            keeper.tick();
        }
        assertTrue(keeper.fault() != null);
        Files.delete(blocked);
        while (keeper.fault() != null && System.nanoTime() < end) {
            host.run(SECOND);
            keeper.tick();
        }
        assertNull(keeper.fault());
        keeper.close();
        assertTrue(file().read(host.unixMillis * 1000) != null);
    }
}
