package postgrade.rig.ground;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.Set;
import org.junit.Rule;
import org.junit.Test;
import postgrade.rig.KeptFolder;
import postgrade.rig.disk.DiskFaults;
import postgrade.rig.history.History.Event;

/** Shared state in real processes, with faults on and between them. */
public class GroundTest {

    @Rule public final KeptFolder folder = new KeptFolder("ground");

    private Ground ground(String... observers) throws IOException, InterruptedException {
        Ground g = new Ground(folder.path(), observers);
        try {
            g.begin();
            return g;
        } catch (Exception | Error e) {
            g.close();
            throw e;
        }
    }

    @Test
    public void whatWasAnsweredForOutlivesAKilledLeaderAndCountsOnce()
            throws IOException, InterruptedException {
        try (Ground g = ground("o1")) {
            for (int i = 0; i < 5; i++) {
                Event first = g.count("o1");
                // The same call once more, by another process: the same answer.
                Event again = g.decided(first.text("id"), first.text("key"), "n2");
                assertEquals(first.text("fence"), again.text("fence"));
            }
            String leader = g.leader("o1");
            int from = g.cluster.history().size();
            g.cluster.process(leader).writeLine("ask in-flight in-flight");
            g.cluster.process(leader).kill();
            Event after = g.count("o1", Ground.other(leader));
            g.decided("in-flight", "in-flight", "o1");
            g.awaitLeaderAfter(leader, "o1", from);
            g.cluster.start(leader);
            g.awaitView(leader, after.number("index"));
            g.judge("o1");
        }
    }

    @Test
    public void aWipedVoterDoesNotVoteUnderItsFormerIdentity()
            throws IOException, InterruptedException {
        try (Ground g = ground("o1")) {
            String leader = g.leader("o1");
            String wiped = Ground.other(leader);
            String behind = Ground.other(leader, wiped);
            g.cluster.mesh().isolate(Set.of(behind));
            Event kept = g.count("o1", leader);
            // Of the two that know of it one forgets, and the other is cut off: the rest would be a
            // majority by number.
            g.cluster.process(leader).stop();
            g.cluster.process(wiped).kill();
            DiskFaults.wipe(g.cluster.store(wiped));
            g.cluster.mesh().heal();
            int from = g.cluster.history().size();
            g.cluster.start(wiped);
            // It has a store and an identity again before anything is asked.
            g.awaitFault(wiped, from, "new here");
            for (int i = 0; i < 3; i++) {
                assertEquals("undecided", g.ask("o1", "guess", "guess").kind());
            }
            g.cluster.process(leader).resume();
            g.awaitStanding(wiped, from, "VOTER", 3);
            Event guess = g.decided("guess", "guess", "o1");
            assertTrue(g.rows("o1", guess.number("index")).containsKey(kept.text("key")));
            g.judge("o1");
        }
    }

    @Test
    public void aStoppedLeaderIsReplacedAndWhenItWakesItAnswersNothingOfItsOwn()
            throws IOException, InterruptedException {
        try (Ground g = ground("o1")) {
            g.count("o1");
            String leader = g.leader("o1");
            g.cluster.process(leader).stop();
            Event during = g.count("o1", Ground.other(leader));
            g.cluster.process(leader).resume();
            Event after = g.count(leader);
            assertTrue(after.number("index") > during.number("index"));
            g.judge(leader);
        }
    }

    @Test
    public void whoIsCutOffKnowsThatItsViewIsOldAndGoesForwardWhenHealed()
            throws IOException, InterruptedException {
        try (Ground g = ground("o1", "o2")) {
            g.count("o1");
            int from = g.cluster.history().size();
            g.cluster.mesh().isolate(Set.of("o2"));
            g.await("o2", "stale", from);
            Event unseen = g.count("o1");
            assertEquals("undecided", g.ask("o2", "cut", "cut").kind());
            g.cluster.mesh().heal();
            g.await("o2", "fresh", from);
            g.awaitView("o2", unseen.number("index"));
            g.judge("o2");
        }
    }

    @Test
    public void aFollowerCutOneWayDoesNotEndTheLeaderAndAMinorityDecidesNothing()
            throws IOException, InterruptedException {
        try (Ground g = ground("o1")) {
            String leader = g.leader("o1");
            String muted = Ground.other(leader);
            g.cluster.mesh().blockOutgoing(Set.of(muted));
            for (int i = 0; i < 5; i++) {
                g.count("o1");
            }
            g.cluster.mesh().heal();
            g.cluster.mesh().isolate(Set.of(leader));
            Event guess = g.ask(leader, "alone", "alone");
            assertEquals("undecided", guess.kind());
            g.count("o1", muted);
            g.cluster.mesh().heal();
            g.decided("alone", "alone", leader);
            g.judge(leader);
        }
    }

    @Test
    public void afterATotalLossANewEraLiesAboveAndAnEarlierOneIsRefused()
            throws IOException, InterruptedException {
        try (Ground g = ground("o1")) {
            Event old = g.count("o1");
            for (String v : Ground.VOTERS) {
                g.cluster.process(v).kill();
                g.cluster.saveCopy(v);
                DiskFaults.wipe(g.cluster.store(v));
            }
            int from = g.cluster.history().size();
            assertEquals("undecided", g.ask("o1", "none", "none").kind());
            assertEquals("", g.era("n1", 2));
            for (String v : Ground.VOTERS) {
                g.cluster.start(v);
            }
            for (String v : Ground.VOTERS) {
                g.awaitStanding(v, from, "VOTER", 3);
            }
            Event fresh = g.decided("fresh", "fresh", "o1");
            assertEquals(2, fresh.number("era"));
            assertTrue(Long.parseLong(fresh.text("fence")) > Long.parseLong(old.text("fence")));
            // A voter that comes back with its store of the former era is not followed, nor does it
            // vote.
            g.cluster.process("n3").kill();
            g.cluster.rollBack("n3");
            from = g.cluster.history().size();
            g.cluster.start("n3");
            g.awaitFault("n3", from, "is of era 1");
            assertEquals(2, g.decided("still", "still", "o1").number("era"));
        }
    }

    @Test
    public void aVoterOnAFullDiskSaysSoAndTheOthersGoOn() throws IOException, InterruptedException {
        try (Ground g = ground("o1")) {
            String full = Ground.other(g.leader("o1"));
            g.cluster.process(full).kill();
            g.limit(full, 0);
            int from = g.cluster.history().size();
            g.cluster.start(full);
            g.awaitLastingFault(full, from, "votes no more");
            g.count("o1");
            g.cluster.process(full).kill();
            g.limit(full, -1);
            from = g.cluster.history().size();
            g.cluster.start(full);
            g.awaitStanding(full, from, "VOTER", 3);
            g.judge(full);
        }
    }
}
