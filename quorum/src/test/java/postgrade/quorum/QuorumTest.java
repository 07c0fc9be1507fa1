package postgrade.quorum;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import postgrade.shared.Answer;
import postgrade.shared.ReplicatedState.Reply;

/** Commands and views while voters come and go. */
public class QuorumTest {

    @Test
    public void aCommandIsDecidedOnceOverAChangeOfLeader() throws Exception {
        long begun = System.nanoTime();
        try (Cluster c = Cluster.begun()) {
            Reply first = c.ask("b", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS);
            assertEquals(Answer.Status.DONE, first.answer().status());
            String leader = c.open.get("b").standing().leader();
            c.stop(leader);
            String other = c.open.keySet().iterator().next();
            Reply again = c.ask(other, Cluster.add("r1", "k", 5), Cluster.LONG_MICROS);
            assertTrue(again.decided());
            assertEquals(first.answer(), again.answer());
            c.await("the view tells it", () -> c.sum(other, "k") == 5);
            Reply more = c.ask(other, Cluster.add("r2", "k", 2), Cluster.LONG_MICROS);
            assertEquals(7, more.answer().fields().integer("sum"));
            assertTrue(more.moment().after(first.moment()));
            assertTrue(
                    "the log's time never runs ahead",
                    more.moment().micros() < (System.nanoTime() - begun) / 1000);
        }
    }

    @Test
    public void anObserverCatchesUpBySnapshotAndByChanges() throws Exception {
        try (Cluster c = Cluster.begun()) {
            for (int i = 0; i < 20; i++) {
                c.ask("a", Cluster.add("s" + i, "k" + i, i), Cluster.LONG_MICROS);
            }
            c.start("o");
            c.await("the snapshot came", () -> c.sum("o", "k19") == 19);
            c.ask("o", Cluster.add("t", "k19", 1), Cluster.LONG_MICROS);
            c.await("the change came", () -> c.sum("o", "k19") == 20);
            long micros = c.open.get("o").view().moment().micros();
            c.await(
                    "the log's time goes on",
                    () -> c.open.get("o").view().moment().micros() > micros + 200_000);
            c.await(
                    "its view is young",
                    () -> c.open.get("o").view().ageMicros(System.nanoTime() / 1000) < 2_000_000);
        }
    }

    @Test
    public void withoutAQuorumNothingIsDecidedAndViewsAge() throws Exception {
        try (Cluster c = Cluster.begun()) {
            c.start("o");
            c.await("o sees", () -> c.open.get("o").view().known());
            c.stop("a", "b");
            Reply none = c.ask("o", Cluster.add("r1", "k", 5), 1_500_000);
            assertFalse(none.decided());
            assertTrue(none.retryAfterMicros() > 0);
            long asOf = c.open.get("o").view().asOfMicros();
            c.await(
                    "c says so",
                    () ->
                            c.open.get("c").standing().fault() != null
                                    && c.open.get("c")
                                            .standing()
                                            .fault()
                                            .startsWith("no quorum: 1 of 3"));
            assertEquals(asOf, c.open.get("o").view().asOfMicros());
            c.start("a");
            Reply decided = c.ask("o", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS);
            assertEquals(5, decided.answer().fields().integer("sum"));
            c.await("the view tells it once", () -> c.sum("o", "k") == 5);
        }
    }

    @Test
    public void allComeBackFromTheirStores() throws Exception {
        try (Cluster c = Cluster.begun()) {
            long fence =
                    c.ask("a", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS)
                            .answer()
                            .fields()
                            .integer("fence");
            c.stop("a", "b", "c");
            c.start("a", "b", "c");
            Reply again = c.ask("c", Cluster.add("r1", "k", 5), Cluster.LONG_MICROS);
            assertEquals(fence, again.answer().fields().integer("fence"));
            c.awaitAll("a", "b", "c");
        }
    }

    @Test
    public void votersThatCameBackUnderALeaderReplaceIt() throws Exception {
        try (Cluster c = Cluster.begun()) {
            String leader = c.open.get("a").standing().leader();
            String[] others =
                    c.open.keySet().stream().filter(n -> !n.equals(leader)).toArray(String[]::new);
            for (String other : others) {
                c.stop(other);
                c.start(other);
                c.await(
                        other + " follows",
                        () ->
                                c.open.get(other).view().known()
                                        && leader.equals(c.open.get(other).standing().leader()));
            }
            c.awaitAll(others);
            c.stop(leader);
            assertTrue(c.ask(others[0], Cluster.add("r1", "k", 5), Cluster.LONG_MICROS).decided());
        }
    }
}
