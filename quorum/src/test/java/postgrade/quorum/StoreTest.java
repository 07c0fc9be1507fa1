package postgrade.quorum;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;
import org.junit.Test;
import postgrade.quorum.store.VoterStore;
import postgrade.shared.ReplicatedState.Reply;

/** Stores that are wiped, copied back, or cannot be written. */
public class StoreTest {

    @Test
    public void aWipedVoterCountsOnlyOnceItWasTakenIn() throws Exception {
        try (Cluster c = Cluster.begun()) {
            c.ask("a", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS);
            String before = identity(c, "b");
            c.stop("b", "c");
            c.wipe("b");
            c.start("b");
            // With two left that are not the majority of those who promised, nothing may be
            // decided.
            c.await(
                    "b says what it waits for",
                    () ->
                            fault(c, "b").startsWith("no store")
                                    || fault(c, "b").startsWith("new here"));
            assertTrue(!c.ask("a", Cluster.add("r2", "k", 1), 2_000_000).decided());
            assertEquals(Quorum.Role.OBSERVER, c.open.get("b").standing().role());
            c.start("c");
            c.awaitAll("a", "b", "c");
            assertEquals(
                    6,
                    c.ask("b", Cluster.add("r2", "k", 1), Cluster.LONG_MICROS)
                            .answer()
                            .fields()
                            .integer("sum"));
            c.stop("a");
            assertTrue(
                    "a and the newcomer's pair decide",
                    c.ask("b", Cluster.add("r3", "k", 1), Cluster.LONG_MICROS).decided());
            c.stop("b");
            assertTrue(!before.equals(identity(c, "b")));
        }
    }

    @Test
    public void afterATotalLossOnlyANewEraServesAndItsFencesLieAbove() throws Exception {
        try (Cluster c = Cluster.begun()) {
            long fence =
                    c.ask("a", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS)
                            .answer()
                            .fields()
                            .integer("fence");
            c.start("o");
            c.await("o sees era 1", () -> c.open.get("o").view().moment().era() == 1);
            c.stop("a", "b", "c");
            keep(c, "c");
            c.wipe("a");
            c.wipe("b");
            c.wipe("c");
            c.start("a", "b", "c");
            c.await(
                    "a says so",
                    () -> fault(c, "a").startsWith("no store here, and none of the voters"));
            assertTrue(!c.ask("o", Cluster.add("r1", "k", 5), 1_000_000).decided());
            c.stop("a");
            assertTrue(Quorum.beginEra(c.settings("a"), 0).startsWith("era: must lie"));
            assertNull(Quorum.beginEra(c.settings("a"), 2));
            assertNotNull("an era begins once", Quorum.beginEra(c.settings("a"), 2));
            c.start("a");
            c.awaitAll("a", "b", "c");
            Reply r = c.ask("o", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS);
            assertTrue(r.answer().fields().integer("fence") > fence);
            c.await("o sees era 2", () -> c.open.get("o").view().moment().era() == 2);
            // A voter of the former era comes back with its store.
            c.stop("c");
            c.wipe("c");
            Files.createDirectories(c.folder.resolve("c"));
            Files.copy(c.folder.resolve("kept"), c.folder.resolve("c").resolve(VoterStore.FILE));
            c.start("c");
            c.awaitAll("c");
            assertEquals(2, c.open.get("c").view().moment().era());
        }
    }

    /**
     * It listens again at once: a port that is let go of a moment after the end would keep a
     * process from its start.
     */
    @Test
    public void aVoterThatWasClosedHasLetGoOfItsPort() throws Exception {
        try (Cluster c = Cluster.begun()) {
            for (int i = 0; i < 40; i++) {
                c.stop("b");
                c.start("b");
            }
            c.awaitAll("a", "b", "c");
        }
    }

    @Test
    public void anOlderCopyOfAStoreIsFoundAndNotVotedWith() throws Exception {
        try (Cluster c = Cluster.begun()) {
            c.stop("b");
            keep(c, "b");
            String before = identity(c, "b");
            c.start("b");
            c.awaitAll("b");
            c.ask("b", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS);
            c.stop("b");
            Files.copy(
                    c.folder.resolve("kept"),
                    c.folder.resolve("b").resolve(VoterStore.FILE),
                    StandardCopyOption.REPLACE_EXISTING);
            c.start("b");
            c.awaitAll("a", "b", "c");
            assertTrue(
                    "the copy is kept aside",
                    Files.exists(c.folder.resolve("b").resolve(VoterStore.FILE + "." + before)));
        }
    }

    /**
     * Guards against a store that is put aside as an older copy though nothing in it is missing.
     */
    @Test
    public void aVoterThatComesBackAgainAndAgainUnderOneLeaderKeepsItsStore() throws Exception {
        try (Cluster c = Cluster.begun()) {
            String voter = "a".equals(c.open.get("a").standing().leader()) ? "b" : "a";
            for (int i = 0; i < 3; i++) {
                c.stop(voter);
                c.start(voter);
                c.awaitAll(voter);
            }
            try (Stream<Path> files = Files.list(c.folder.resolve(voter))) {
                assertEquals(
                        "nothing is put aside",
                        List.of(),
                        files.map(file -> file.getFileName().toString())
                                .filter(name -> name.startsWith(VoterStore.FILE + "."))
                                .toList());
            }
        }
    }

    @Test
    public void aStoreThatCannotBeOpenedOrWrittenStopsTheVoteNotTheProcess() throws Exception {
        try (Cluster c = Cluster.begun()) {
            c.stop("b");
            Path store = c.folder.resolve("b").resolve(VoterStore.FILE);
            byte[] whole = Files.readAllBytes(store);
            Files.write(store, new byte[] {1, 2, 3});
            c.start("b");
            c.await("b says so", () -> fault(c, "b").contains("it votes no more"));
            assertEquals(Quorum.Role.OBSERVER, c.open.get("b").standing().role());
            assertTrue(c.ask("b", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS).decided());
            c.await("b follows", () -> c.sum("b", "k") == 5);
            Files.write(store, whole);
            c.awaitAll("b");
        }
    }

    @Test
    public void twoErasOfOneNumberAreFoundAndSaid() throws Exception {
        try (Cluster c = new Cluster()) {
            assertNull(Quorum.beginEra(c.settings("a"), 1));
            assertNull("a does not run, so nobody can tell", Quorum.beginEra(c.settings("b"), 1));
            c.start("a", "b", "c");
            c.await(
                    "both say so",
                    () ->
                            fault(c, "a").startsWith("two eras 1 at once")
                                    && fault(c, "b").startsWith("two eras 1 at once"));
            assertEquals(
                    "c joins neither", Quorum.Role.OBSERVER, c.open.get("c").standing().role());
        }
    }

    @Test
    public void whatWasFlushedOutlivesAFullDisk() throws Exception {
        Path folder = Files.createTempDirectory("full");
        Process full =
                new ProcessBuilder(
                                "bash",
                                "-c",
                                "ulimit -f 2000; exec \"$0\" -cp \"$1\" \"$2\" \"$3\"",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                System.getProperty("java.class.path"),
                                FullDisk.class.getName(),
                                folder.toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        String told = new String(full.getInputStream().readAllBytes());
        assertEquals(0, full.waitFor());
        assertEquals("refused: true\nlater flush: refused\nsome flushed: true, lost: 0\n", told);
        Files.delete(folder.resolve(VoterStore.FILE));
        Files.delete(folder);
    }

    private static String fault(Cluster c, String name) {
        String fault = c.open.get(name).standing().fault();
        return fault == null ? "" : fault;
    }

    private static void keep(Cluster c, String name) throws Exception {
        Files.copy(c.folder.resolve(name).resolve(VoterStore.FILE), c.folder.resolve("kept"));
    }

    private static String identity(Cluster c, String name) throws Exception {
        Path copy = Files.createTempDirectory("identity");
        Files.copy(c.folder.resolve(name).resolve(VoterStore.FILE), copy.resolve(VoterStore.FILE));
        VoterStore store = VoterStore.open(copy);
        try {
            return store.facts().self().identity();
        } finally {
            store.close();
            Files.delete(copy.resolve(VoterStore.FILE));
            Files.delete(copy);
        }
    }
}
