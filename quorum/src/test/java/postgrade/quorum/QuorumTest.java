package postgrade.quorum;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import postgrade.shared.Answer;
import postgrade.shared.ReplicatedState.Reply;

/** Commands and views while voters stop and restart. */
public class QuorumTest {

    @Test
    public void commandIsAppliedOnceAcrossLeaderChange() throws Exception {
        long startNanos = System.nanoTime();
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            Reply first =
                    cluster.submit(
                            "b", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(Answer.Status.DONE, first.answer().status());
            String leader = cluster.processes.get("b").standing().leader();
            cluster.stop(leader);
            String other = cluster.processes.keySet().iterator().next();
            Reply repeated =
                    cluster.submit(
                            other, Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertTrue(repeated.decided());
            assertEquals(first.answer(), repeated.answer());
            cluster.await("the view shows the sum", () -> cluster.sum(other, "k") == 5);
            Reply next =
                    cluster.submit(
                            other, Cluster.addCommand("r2", "k", 2), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(7, next.answer().fields().integer("sum"));
            assertTrue(next.moment().after(first.moment()));
            assertTrue(
                    "the log's time never runs ahead of real time",
                    next.moment().micros() < (System.nanoTime() - startNanos) / 1000);
        }
    }

    @Test
    public void observerCatchesUpBySnapshotAndByChanges() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            for (int i = 0; i < 20; i++) {
                cluster.submit(
                        "a", Cluster.addCommand("s" + i, "k" + i, i), Cluster.AMPLE_TIMEOUT_MICROS);
            }
            cluster.start("o");
            cluster.await("the observer has the snapshot", () -> cluster.sum("o", "k19") == 19);
            cluster.submit("o", Cluster.addCommand("t", "k19", 1), Cluster.AMPLE_TIMEOUT_MICROS);
            cluster.await("the observer has the change", () -> cluster.sum("o", "k19") == 20);
            long micros = cluster.processes.get("o").view().moment().micros();
            cluster.await(
                    "the log's time advances",
                    () -> cluster.processes.get("o").view().moment().micros() > micros + 200_000);
            cluster.await(
                    "its view is fresh",
                    () ->
                            cluster.processes.get("o").view().ageMicros(System.nanoTime() / 1000)
                                    < 2_000_000);
        }
    }

    @Test
    public void withoutQuorumNothingIsDecidedAndViewsAge() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            cluster.start("o");
            cluster.await("o has a view", () -> cluster.processes.get("o").view().known());
            cluster.stop("a", "b");
            Reply undecided = cluster.submit("o", Cluster.addCommand("r1", "k", 5), 1_500_000);
            assertFalse(undecided.decided());
            assertTrue(undecided.retryAfterMicros() > 0);
            long asOf = cluster.processes.get("o").view().asOfMicros();
            cluster.await(
                    "c reports the lost quorum",
                    () ->
                            cluster.processes.get("c").standing().fault() != null
                                    && cluster.processes
                                            .get("c")
                                            .standing()
                                            .fault()
                                            .startsWith("no quorum: 1 of 3"));
            assertEquals(asOf, cluster.processes.get("o").view().asOfMicros());
            cluster.start("a");
            Reply decided =
                    cluster.submit(
                            "o", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(5, decided.answer().fields().integer("sum"));
            cluster.await("the view shows the sum once", () -> cluster.sum("o", "k") == 5);
        }
    }

    @Test
    public void allVotersRestartFromTheirStores() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            long fence =
                    cluster.submit(
                                    "a",
                                    Cluster.addCommand("r1", "k", 5),
                                    Cluster.AMPLE_TIMEOUT_MICROS)
                            .answer()
                            .fields()
                            .integer("fence");
            cluster.stop("a", "b", "c");
            cluster.start("a", "b", "c");
            Reply repeated =
                    cluster.submit(
                            "c", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(fence, repeated.answer().fields().integer("fence"));
            cluster.awaitAll("a", "b", "c");
        }
    }

    @Test
    public void restartedVotersReplaceTheirLeader() throws Exception {
        try (Cluster cluster = Cluster.startWithFirstEra()) {
            String leader = cluster.processes.get("a").standing().leader();
            String[] others =
                    cluster.processes.keySet().stream()
                            .filter(n -> !n.equals(leader))
                            .toArray(String[]::new);
            for (String other : others) {
                cluster.stop(other);
                cluster.start(other);
                cluster.await(
                        other + " follows",
                        () ->
                                cluster.processes.get(other).view().known()
                                        && leader.equals(
                                                cluster.processes.get(other).standing().leader()));
            }
            cluster.awaitAll(others);
            cluster.stop(leader);
            assertTrue(
                    cluster.submit(
                                    others[0],
                                    Cluster.addCommand("r1", "k", 5),
                                    Cluster.AMPLE_TIMEOUT_MICROS)
                            .decided());
        }
    }
}
