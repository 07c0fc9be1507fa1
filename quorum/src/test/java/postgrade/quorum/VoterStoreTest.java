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

/** Stores that are deleted, restored from a copy, or cannot be written. */
public class VoterStoreTest {

    @Test
    public void wipedVoterVotesOnlyAfterAdmission() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            cluster.submit("a", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            String previousIdentity = identity(cluster, "b");
            cluster.stop("b", "c");
            cluster.deleteStore("b");
            cluster.start("b");
            // The two running voters are not a majority of those that made promises, so nothing
            // may be decided.
            cluster.await(
                    "b reports what it waits for",
                    () ->
                            fault(cluster, "b").startsWith("no store")
                                    || fault(cluster, "b").startsWith("new here"));
            assertTrue(!cluster.submit("a", Cluster.addCommand("r2", "k", 1), 2_000_000).decided());
            assertEquals(Quorum.Role.OBSERVER, cluster.processes.get("b").standing().role());
            cluster.start("c");
            cluster.awaitAll("a", "b", "c");
            assertEquals(
                    6,
                    cluster.submit(
                                    "b",
                                    Cluster.addCommand("r2", "k", 1),
                                    Cluster.AMPLE_TIMEOUT_MICROS)
                            .answer()
                            .fields()
                            .integer("sum"));
            cluster.stop("a");
            assertTrue(
                    "b and c decide without a",
                    cluster.submit(
                                    "b",
                                    Cluster.addCommand("r3", "k", 1),
                                    Cluster.AMPLE_TIMEOUT_MICROS)
                            .decided());
            cluster.stop("b");
            assertTrue(!previousIdentity.equals(identity(cluster, "b")));
        }
    }

    @Test
    public void afterTotalLossOnlyANewEraServesWithHigherFences() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            long fence =
                    cluster.submit(
                                    "a",
                                    Cluster.addCommand("r1", "k", 5),
                                    Cluster.AMPLE_TIMEOUT_MICROS)
                            .answer()
                            .fields()
                            .integer("fence");
            cluster.start("o");
            cluster.await(
                    "o has a view of era 1",
                    () -> cluster.processes.get("o").view().moment().era() == 1);
            cluster.stop("a", "b", "c");
            backUpStore(cluster, "c");
            cluster.deleteStore("a");
            cluster.deleteStore("b");
            cluster.deleteStore("c");
            cluster.start("a", "b", "c");
            cluster.await(
                    "a reports the missing store",
                    () -> fault(cluster, "a").startsWith("no store here, and none of the voters"));
            assertTrue(!cluster.submit("o", Cluster.addCommand("r1", "k", 5), 1_000_000).decided());
            cluster.stop("a");
            assertTrue(Quorum.beginEra(cluster.settings("a"), 0).startsWith("era: must lie"));
            assertNull(Quorum.beginEra(cluster.settings("a"), 2));
            assertNotNull("an era begins once", Quorum.beginEra(cluster.settings("a"), 2));
            cluster.start("a");
            cluster.awaitAll("a", "b", "c");
            Reply reply =
                    cluster.submit(
                            "o", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertTrue(reply.answer().fields().integer("fence") > fence);
            cluster.await(
                    "o has a view of era 2",
                    () -> cluster.processes.get("o").view().moment().era() == 2);
            // A voter of the previous era restarts with its store.
            cluster.stop("c");
            cluster.deleteStore("c");
            Files.createDirectories(cluster.folder.resolve("c"));
            Files.copy(
                    cluster.folder.resolve("kept"),
                    cluster.folder.resolve("c").resolve(VoterStore.FILE));
            cluster.start("c");
            cluster.awaitAll("c");
            assertEquals(2, cluster.processes.get("c").view().moment().era());
        }
    }

    /**
     * The voter must be able to listen again at once: a port that is released only some time after
     * the shutdown would keep a process from starting.
     */
    @Test
    public void closedVoterReleasesItsPort() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            for (int i = 0; i < 40; i++) {
                cluster.stop("b");
                cluster.start("b");
            }
            cluster.awaitAll("a", "b", "c");
        }
    }

    @Test
    public void olderStoreCopyIsDetectedAndDoesNotVote() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            cluster.stop("b");
            backUpStore(cluster, "b");
            String previousIdentity = identity(cluster, "b");
            cluster.start("b");
            cluster.awaitAll("b");
            cluster.submit("b", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            cluster.stop("b");
            Files.copy(
                    cluster.folder.resolve("kept"),
                    cluster.folder.resolve("b").resolve(VoterStore.FILE),
                    StandardCopyOption.REPLACE_EXISTING);
            cluster.start("b");
            cluster.awaitAll("a", "b", "c");
            assertTrue(
                    "the copy is kept under another name",
                    Files.exists(
                            cluster.folder
                                    .resolve("b")
                                    .resolve(VoterStore.FILE + "." + previousIdentity)));
        }
    }

    /** Guards against moving a complete store aside as an older copy. */
    @Test
    public void repeatedRestartsUnderOneLeaderKeepTheStore() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            String voter = "a".equals(cluster.processes.get("a").standing().leader()) ? "b" : "a";
            for (int i = 0; i < 3; i++) {
                cluster.stop(voter);
                cluster.start(voter);
                cluster.awaitAll(voter);
            }
            try (Stream<Path> files = Files.list(cluster.folder.resolve(voter))) {
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
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            cluster.stop("b");
            Path store = cluster.folder.resolve("b").resolve(VoterStore.FILE);
            byte[] validBytes = Files.readAllBytes(store);
            Files.write(store, new byte[] {1, 2, 3});
            cluster.start("b");
            cluster.await(
                    "b reports that it does not vote",
                    () -> fault(cluster, "b").contains("it votes no more"));
            assertEquals(Quorum.Role.OBSERVER, cluster.processes.get("b").standing().role());
            assertTrue(
                    cluster.submit(
                                    "b",
                                    Cluster.addCommand("r1", "k", 5),
                                    Cluster.AMPLE_TIMEOUT_MICROS)
                            .decided());
            cluster.await("b follows", () -> cluster.sum("b", "k") == 5);
            Files.write(store, validBytes);
            cluster.awaitAll("b");
        }
    }

    @Test
    public void duplicateErasAreDetectedAndReported() throws Exception {
        try (Cluster cluster = new Cluster()) {
            assertNull(Quorum.beginEra(cluster.settings("a"), 1));
            assertNull(
                    "a does not run, so b cannot detect its era",
                    Quorum.beginEra(cluster.settings("b"), 1));
            cluster.start("a", "b", "c");
            cluster.await(
                    "both report the duplicate era",
                    () ->
                            fault(cluster, "a").startsWith("two eras 1 at once")
                                    && fault(cluster, "b").startsWith("two eras 1 at once"));
            assertEquals(
                    "c joins neither",
                    Quorum.Role.OBSERVER,
                    cluster.processes.get("c").standing().role());
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

    private static String fault(Cluster cluster, String name) {
        String fault = cluster.processes.get(name).standing().fault();
        return fault == null ? "" : fault;
    }

    private static void backUpStore(Cluster cluster, String name) throws Exception {
        Files.copy(
                cluster.folder.resolve(name).resolve(VoterStore.FILE),
                cluster.folder.resolve("kept"));
    }

    private static String identity(Cluster cluster, String name) throws Exception {
        Path copy = Files.createTempDirectory("identity");
        Files.copy(
                cluster.folder.resolve(name).resolve(VoterStore.FILE),
                copy.resolve(VoterStore.FILE));
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
