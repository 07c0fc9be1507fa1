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
import postgrade.shared.Sharing.Reply;

/** Stores that are deleted, restored from a copy, or cannot be written. */
public class VoterStoreTest {

    @Test
    public void wipedVoterVotesOnlyAfterAdmission() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            c.submit("a", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            String previousIdentity = identity(c, "b");
            c.stop("b", "c");
            c.deleteStore("b");
            c.start("b");
            // The two running voters are not a majority of those that made promises, so nothing
            // may be decided.
            c.await(
                    "b reports what it waits for",
                    () ->
                            fault(c, "b").startsWith("no store")
                                    || fault(c, "b").startsWith("new here"));
            assertTrue(!c.submit("a", Cluster.addCommand("r2", "k", 1), 2_000_000).decided());
            assertEquals(Quorum.Role.OBSERVER, c.processes.get("b").standing().role());
            c.start("c");
            c.awaitAll("a", "b", "c");
            assertEquals(
                    6,
                    c.submit("b", Cluster.addCommand("r2", "k", 1), Cluster.AMPLE_TIMEOUT_MICROS)
                            .answer()
                            .fields()
                            .whole("sum"));
            c.stop("a");
            assertTrue(
                    "b and c decide without a",
                    c.submit("b", Cluster.addCommand("r3", "k", 1), Cluster.AMPLE_TIMEOUT_MICROS)
                            .decided());
            c.stop("b");
            assertTrue(!previousIdentity.equals(identity(c, "b")));
        }
    }

    @Test
    public void afterTotalLossOnlyANewEraServesWithHigherFences() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            long fence =
                    c.submit("a", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS)
                            .answer()
                            .fields()
                            .whole("fence");
            c.start("o");
            c.await("o has a view of era 1", () -> c.processes.get("o").view().moment().era() == 1);
            c.stop("a", "b", "c");
            backUpStore(c, "c");
            c.deleteStore("a");
            c.deleteStore("b");
            c.deleteStore("c");
            c.start("a", "b", "c");
            c.await(
                    "a reports the missing store",
                    () -> fault(c, "a").startsWith("no store here, and none of the voters"));
            assertTrue(!c.submit("o", Cluster.addCommand("r1", "k", 5), 1_000_000).decided());
            c.stop("a");
            assertTrue(Quorum.beginEra(c.settings("a"), 0).startsWith("era: must lie"));
            assertNull(Quorum.beginEra(c.settings("a"), 2));
            assertNotNull("an era begins once", Quorum.beginEra(c.settings("a"), 2));
            c.start("a");
            c.awaitAll("a", "b", "c");
            Reply r = c.submit("o", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertTrue(r.answer().fields().whole("fence") > fence);
            c.await("o has a view of era 2", () -> c.processes.get("o").view().moment().era() == 2);
            // A voter of the previous era restarts with its store.
            c.stop("c");
            c.deleteStore("c");
            Files.createDirectories(c.folder.resolve("c"));
            Files.copy(c.folder.resolve("kept"), c.folder.resolve("c").resolve(VoterStore.FILE));
            c.start("c");
            c.awaitAll("c");
            assertEquals(2, c.processes.get("c").view().moment().era());
        }
    }

    /**
     * The voter must be able to listen again at once: a port that is released only some time after
     * the shutdown would keep a process from starting.
     */
    @Test
    public void closedVoterReleasesItsPort() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            for (int i = 0; i < 40; i++) {
                c.stop("b");
                c.start("b");
            }
            c.awaitAll("a", "b", "c");
        }
    }

    @Test
    public void olderStoreCopyIsDetectedAndDoesNotVote() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            c.stop("b");
            backUpStore(c, "b");
            String previousIdentity = identity(c, "b");
            c.start("b");
            c.awaitAll("b");
            c.submit("b", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            c.stop("b");
            Files.copy(
                    c.folder.resolve("kept"),
                    c.folder.resolve("b").resolve(VoterStore.FILE),
                    StandardCopyOption.REPLACE_EXISTING);
            c.start("b");
            c.awaitAll("a", "b", "c");
            assertTrue(
                    "the copy is kept under another name",
                    Files.exists(
                            c.folder
                                    .resolve("b")
                                    .resolve(VoterStore.FILE + "." + previousIdentity)));
        }
    }

    /** Guards against moving a complete store aside as an older copy. */
    @Test
    public void repeatedRestartsUnderOneLeaderKeepTheStore() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            String voter = "a".equals(c.processes.get("a").standing().leader()) ? "b" : "a";
            for (int i = 0; i < 3; i++) {
                c.stop(voter);
                c.start(voter);
                c.awaitAll(voter);
            }
            try (Stream<Path> files = Files.list(c.folder.resolve(voter))) {
                assertEquals(
                        "no store was moved aside",
                        List.of(),
                        files.map(file -> file.getFileName().toString())
                                .filter(name -> name.startsWith(VoterStore.FILE + "."))
                                .toList());
            }
        }
    }

    @Test
    public void unusableStoreStopsVotingButNotTheProcess() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            c.stop("b");
            Path store = c.folder.resolve("b").resolve(VoterStore.FILE);
            byte[] validBytes = Files.readAllBytes(store);
            Files.write(store, new byte[] {1, 2, 3});
            c.start("b");
            c.await(
                    "b reports that it does not vote",
                    () -> fault(c, "b").contains("it votes no more"));
            assertEquals(Quorum.Role.OBSERVER, c.processes.get("b").standing().role());
            assertTrue(
                    c.submit("b", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS)
                            .decided());
            c.await("b follows", () -> c.sum("b", "k") == 5);
            Files.write(store, validBytes);
            c.awaitAll("b");
        }
    }

    @Test
    public void duplicateErasAreDetectedAndReported() throws Exception {
        try (Cluster c = new Cluster()) {
            assertNull(Quorum.beginEra(c.settings("a"), 1));
            assertNull(
                    "a does not run, so b cannot detect its era",
                    Quorum.beginEra(c.settings("b"), 1));
            c.start("a", "b", "c");
            c.await(
                    "both report the duplicate era",
                    () ->
                            fault(c, "a").startsWith("two eras 1 at once")
                                    && fault(c, "b").startsWith("two eras 1 at once"));
            assertEquals(
                    "c joins neither",
                    Quorum.Role.OBSERVER,
                    c.processes.get("c").standing().role());
        }
    }

    @Test
    public void flushedEntriesSurviveAFullDisk() throws Exception {
        Path folder = Files.createTempDirectory("full");
        Process full =
                new ProcessBuilder(
                                "bash",
                                "-c",
                                "ulimit -f 2000; exec \"$0\" -cp \"$1\" \"$2\" \"$3\"",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                System.getProperty("java.class.path"),
                                FullDiskProcess.class.getName(),
                                folder.toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        String output = new String(full.getInputStream().readAllBytes());
        assertEquals(0, full.waitFor());
        assertEquals("refused: true\nlater flush: refused\nsome flushed: true, lost: 0\n", output);
        Files.delete(folder.resolve(VoterStore.FILE));
        Files.delete(folder);
    }

    private static String fault(Cluster c, String name) {
        String fault = c.processes.get(name).standing().fault();
        return fault == null ? "" : fault;
    }

    private static void backUpStore(Cluster c, String name) throws Exception {
        Files.copy(c.folder.resolve(name).resolve(VoterStore.FILE), c.folder.resolve("kept"));
    }

    private static String identity(Cluster c, String name) throws Exception {
        Path copy = Files.createTempDirectory("identity");
        Files.copy(c.folder.resolve(name).resolve(VoterStore.FILE), copy.resolve(VoterStore.FILE));
        VoterStore store = VoterStore.open(copy);
        try {
            return store.metadata().self().identity();
        } finally {
            store.close();
            Files.delete(copy.resolve(VoterStore.FILE));
            Files.delete(copy);
        }
    }
}
