package postgrade.quorum;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import postgrade.shared.Answer;
import postgrade.shared.Sharing.Reply;

/** Commands and views while voters stop and restart. */
public class QuorumTest {

    @Test
    public void commandIsAppliedOnceAcrossLeaderChange() throws Exception {
        long begun = System.nanoTime();
        try (Cluster c = Cluster.startWithFirstEra()) {
            Reply first =
                    c.submit("b", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(Answer.Status.DONE, first.answer().status());
            String leader = c.processes.get("b").standing().leader();
            c.stop(leader);
            String other = c.processes.keySet().iterator().next();
            Reply again =
                    c.submit(other, Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertTrue(again.decided());
            assertEquals(first.answer(), again.answer());
            c.await("the view shows the sum", () -> c.sum(other, "k") == 5);
            Reply more =
                    c.submit(other, Cluster.addCommand("r2", "k", 2), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(7, more.answer().fields().whole("sum"));
            assertTrue(more.moment().after(first.moment()));
            assertTrue(
                    "the log's time never runs ahead of real time",
                    more.moment().micros() < (System.nanoTime() - begun) / 1000);
        }
    }

    @Test
    public void observerCatchesUpBySnapshotAndByChanges() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            for (int i = 0; i < 20; i++) {
                c.submit(
                        "a", Cluster.addCommand("s" + i, "k" + i, i), Cluster.AMPLE_TIMEOUT_MICROS);
            }
            c.start("o");
            c.await("the observer has the snapshot", () -> c.sum("o", "k19") == 19);
            c.submit("o", Cluster.addCommand("t", "k19", 1), Cluster.AMPLE_TIMEOUT_MICROS);
            c.await("the observer has the change", () -> c.sum("o", "k19") == 20);
            long micros = c.processes.get("o").view().moment().micros();
            c.await(
                    "the log's time advances",
                    () -> c.processes.get("o").view().moment().micros() > micros + 200_000);
            c.await(
                    "its view is fresh",
                    () ->
                            c.processes.get("o").view().ageMicros(System.nanoTime() / 1000)
                                    < 2_000_000);
        }
    }

    @Test
    public void withoutQuorumNothingIsDecidedAndViewsAge() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            c.start("o");
            c.await("o has a view", () -> c.processes.get("o").view().known());
            c.stop("a", "b");
            Reply none = c.submit("o", Cluster.addCommand("r1", "k", 5), 1_500_000);
            assertFalse(none.decided());
            assertTrue(none.retryAfterMicros() > 0);
            long asOf = c.processes.get("o").view().asOfMicros();
            c.await(
                    "c reports the lost quorum",
                    () ->
                            c.processes.get("c").standing().fault() != null
                                    && c.processes
                                            .get("c")
                                            .standing()
                                            .fault()
                                            .startsWith("no quorum: 1 of 3"));
            assertEquals(asOf, c.processes.get("o").view().asOfMicros());
            c.start("a");
            Reply decided =
                    c.submit("o", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(5, decided.answer().fields().whole("sum"));
            c.await("the view shows the sum once", () -> c.sum("o", "k") == 5);
        }
    }

    @Test
    public void allVotersRestartFromTheirStores() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            long fence =
                    c.submit("a", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS)
                            .answer()
                            .fields()
                            .whole("fence");
            c.stop("a", "b", "c");
            c.start("a", "b", "c");
            Reply again =
                    c.submit("c", Cluster.addCommand("r1", "k", 5), Cluster.AMPLE_TIMEOUT_MICROS);
            assertEquals(fence, again.answer().fields().whole("fence"));
            c.awaitAll("a", "b", "c");
        }
    }

    @Test
    public void restartedVotersReplaceTheirLeader() throws Exception {
        try (Cluster c = Cluster.startWithFirstEra()) {
            String leader = c.processes.get("a").standing().leader();
            String[] others =
                    c.processes.keySet().stream()
                            .filter(n -> !n.equals(leader))
                            .toArray(String[]::new);
            for (String other : others) {
                c.stop(other);
                c.start(other);
                c.await(
                        other + " follows",
                        () ->
                                c.processes.get(other).view().known()
                                        && leader.equals(
                                                c.processes.get(other).standing().leader()));
            }
            c.awaitAll(others);
            c.stop(leader);
            assertTrue(
                    c.submit(
                                    others[0],
                                    Cluster.addCommand("r1", "k", 5),
                                    Cluster.AMPLE_TIMEOUT_MICROS)
                            .decided());
        }
    }
}
