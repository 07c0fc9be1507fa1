package postgrade.rig.quorum;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.Set;
import org.junit.Rule;
import org.junit.Test;
import postgrade.rig.KeptFolder;
import postgrade.rig.disk.DiskFaults;
import postgrade.rig.history.History.Event;

/**
 * Replicated state in real processes, with faults in the processes and on the links between them.
 */
public class QuorumClusterTest {

    @Rule public final KeptFolder folder = new KeptFolder("ground");

    private QuorumCluster startCluster(String... observers)
            throws IOException, InterruptedException {
        QuorumCluster quorum = new QuorumCluster(folder.path(), observers);
        try {
            quorum.startAll();
            return quorum;
        } catch (Exception | Error e) {
            quorum.close();
            throw e;
        }
    }

    @Test
    public void acknowledgedCommandsSurviveALeaderKillAndApplyOnce()
            throws IOException, InterruptedException {
        try (QuorumCluster quorum = startCluster("o1")) {
            for (int i = 0; i < 5; i++) {
                Event first = quorum.countNewKey("o1");
                // The same command, submitted again by another process, has the same answer.
                Event again = quorum.submitUntilDecided(first.text("id"), first.text("key"), "n2");
                assertEquals(first.text("fence"), again.text("fence"));
            }
            String leader = quorum.leader("o1");
            int from = quorum.cluster.history().size();
            quorum.cluster.process(leader).writeLine("ask in-flight in-flight");
            quorum.cluster.process(leader).kill();
            Event after = quorum.countNewKey("o1", QuorumCluster.otherVoter(leader));
            quorum.submitUntilDecided("in-flight", "in-flight", "o1");
            quorum.awaitLeaderAfter(leader, "o1", from);
            quorum.cluster.start(leader);
            quorum.awaitView(leader, after.number("index"));
            quorum.checkHistory("o1");
        }
    }

    @Test
    public void wipedVoterDoesNotVoteUnderItsFormerIdentity()
            throws IOException, InterruptedException {
        try (QuorumCluster quorum = startCluster("o1")) {
            String leader = quorum.leader("o1");
            String wiped = QuorumCluster.otherVoter(leader);
            String behind = QuorumCluster.otherVoter(leader, wiped);
            quorum.cluster.mesh().isolate(Set.of(behind));
            Event kept = quorum.countNewKey("o1", leader);
            // Of the two voters that stored the entry one loses its store and the other is paused.
            // The remaining two would be a majority by number.
            quorum.cluster.process(leader).stop();
            quorum.cluster.process(wiped).kill();
            DiskFaults.wipe(quorum.cluster.store(wiped));
            quorum.cluster.mesh().heal();
            int from = quorum.cluster.history().size();
            quorum.cluster.start(wiped);
            // Waits until the wiped voter has a new store and identity before anything is
            // submitted.
            quorum.awaitFault(wiped, from, "new here");
            for (int i = 0; i < 3; i++) {
                assertEquals("undecided", quorum.submit("o1", "guess", "guess").kind());
            }
            quorum.cluster.process(leader).resume();
            quorum.awaitStanding(wiped, from, "VOTER", 3);
            Event guess = quorum.submitUntilDecided("guess", "guess", "o1");
            assertTrue(quorum.rows("o1", guess.number("index")).containsKey(kept.text("key")));
            quorum.checkHistory("o1");
        }
    }

    @Test
    public void pausedLeaderIsReplacedAndDoesNotDecideAloneAfterResuming()
            throws IOException, InterruptedException {
        try (QuorumCluster quorum = startCluster("o1")) {
            quorum.countNewKey("o1");
            String leader = quorum.leader("o1");
            quorum.cluster.process(leader).stop();
            Event during = quorum.countNewKey("o1", QuorumCluster.otherVoter(leader));
            quorum.cluster.process(leader).resume();
            Event after = quorum.countNewKey(leader);
            assertTrue(after.number("index") > during.number("index"));
            quorum.checkHistory(leader);
        }
    }

    @Test
    public void isolatedObserverReportsAStaleViewAndCatchesUpAfterHealing()
            throws IOException, InterruptedException {
        try (QuorumCluster quorum = startCluster("o1", "o2")) {
            quorum.countNewKey("o1");
            int from = quorum.cluster.history().size();
            quorum.cluster.mesh().isolate(Set.of("o2"));
            quorum.await("o2", "stale", from);
            Event unseen = quorum.countNewKey("o1");
            assertEquals("undecided", quorum.submit("o2", "cut", "cut").kind());
            quorum.cluster.mesh().heal();
            quorum.await("o2", "fresh", from);
            quorum.awaitView("o2", unseen.number("index"));
            quorum.checkHistory("o2");
        }
    }

    @Test
    public void followerWithBlockedOutputDoesNotDeposeTheLeaderAndAMinorityDecidesNothing()
            throws IOException, InterruptedException {
        try (QuorumCluster quorum = startCluster("o1")) {
            String leader = quorum.leader("o1");
            String muted = QuorumCluster.otherVoter(leader);
            quorum.cluster.mesh().blockOutgoing(Set.of(muted));
            for (int i = 0; i < 5; i++) {
                quorum.countNewKey("o1");
            }
            quorum.cluster.mesh().heal();
            quorum.cluster.mesh().isolate(Set.of(leader));
            Event guess = quorum.submit(leader, "alone", "alone");
            assertEquals("undecided", guess.kind());
            quorum.countNewKey("o1", muted);
            quorum.cluster.mesh().heal();
            quorum.submitUntilDecided("alone", "alone", leader);
            quorum.checkHistory(leader);
        }
    }

    @Test
    public void newEraAfterTotalLossHasHigherFencesAndTheFormerEraIsRejected()
            throws IOException, InterruptedException {
        try (QuorumCluster quorum = startCluster("o1")) {
            Event old = quorum.countNewKey("o1");
            for (String v : QuorumCluster.VOTERS) {
                quorum.cluster.process(v).kill();
                quorum.cluster.saveCopy(v);
                DiskFaults.wipe(quorum.cluster.store(v));
            }
            int from = quorum.cluster.history().size();
            assertEquals("undecided", quorum.submit("o1", "none", "none").kind());
            assertEquals("", quorum.beginEra("n1", 2));
            for (String v : QuorumCluster.VOTERS) {
                quorum.cluster.start(v);
            }
            for (String v : QuorumCluster.VOTERS) {
                quorum.awaitStanding(v, from, "VOTER", 3);
            }
            Event fresh = quorum.submitUntilDecided("fresh", "fresh", "o1");
            assertEquals(2, fresh.number("era"));
            assertTrue(Long.parseLong(fresh.text("fence")) > Long.parseLong(old.text("fence")));
            // A voter that restarts with its store of the former era is not followed and does not
            // vote.
            quorum.cluster.process("n3").kill();
            quorum.cluster.rollBack("n3");
            from = quorum.cluster.history().size();
            quorum.cluster.start("n3");
            quorum.awaitFault("n3", from, "is of era 1");
            assertEquals(2, quorum.submitUntilDecided("still", "still", "o1").number("era"));
        }
    }

    @Test
    public void voterOnAFullDiskReportsAFaultAndTheOthersContinue()
            throws IOException, InterruptedException {
        try (QuorumCluster quorum = startCluster("o1")) {
            String full = QuorumCluster.otherVoter(quorum.leader("o1"));
            quorum.cluster.process(full).kill();
            quorum.setMaxFileKib(full, 0);
            int from = quorum.cluster.history().size();
            quorum.cluster.start(full);
            quorum.awaitPersistentFault(full, from, "votes no more");
            quorum.countNewKey("o1");
            quorum.cluster.process(full).kill();
            quorum.setMaxFileKib(full, -1);
            from = quorum.cluster.history().size();
            quorum.cluster.start(full);
            quorum.awaitStanding(full, from, "VOTER", 3);
            quorum.checkHistory(full);
        }
    }
}
