package postgrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.check.RuleChecker.Rule;

/**
 * Proves the checker: a clean run passes, and each rule, once broken in the ledgers, is found
 * broken and no other.
 */
class RuleCheckerTest {

    @TempDir private Path folder;
    private Ledger workers;
    private Ledger discovery;
    private Ledger clients;

    @BeforeEach
    void aCleanRun() throws IOException {
        workers = new Ledger(folder.resolve("workers.ledger"));
        discovery = new Ledger(folder.resolve("discovery.ledger"));
        clients = new Ledger(folder.resolve("clients.ledger"));
        // Served at once.
        sent(1_000_000, "a", 1, true);
        received(1_001_000, "a", 1, "w1", true);
        ended(1_100_000, "done", "a", 1, "w1", " result=r1");
        answer(1_101_000, "a", 200, "r1");
        // Turned away, then failed, each time elsewhere; it may be repeated.
        sent(2_000_000, "b", 2, true);
        received(2_001_000, "b", 2, "w1", true);
        ended(2_002_000, "turned-away", "b", 2, "w1", "");
        received(2_003_000, "b", 3, "w2", true);
        ended(2_010_000, "failed", "b", 3, "w2", "");
        received(2_011_000, "b", 4, "w3", true);
        ended(2_110_000, "done", "b", 4, "w3", " result=r4");
        answer(2_111_000, "b", 200, "r4");
        // Must not run twice: handed back unstarted, so it may go elsewhere.
        sent(3_000_000, "c", 3, false);
        received(3_001_000, "c", 5, "w1", false);
        ended(3_010_000, "returned", "c", 5, "w1", "");
        received(3_011_000, "c", 6, "w2", false);
        ended(3_020_000, "lost", "c", 6, "w2", "");
        answer(3_030_000, "c", 502, "-");
        // Given up by a close, which its worker saw a little after the next had the job.
        sent(4_000_000, "d", 4, true);
        received(4_001_000, "d", 7, "w1", true);
        received(4_501_000, "d", 8, "w2", true);
        ended(4_502_000, "given-up", "d", 7, "w1", "");
        ended(4_600_000, "done", "d", 8, "w2", " result=r8");
        answer(4_601_000, "d", 200, "r8");
        // A worker leaves; a send that crossed the word is in time.
        discovery.add(5_000_000, "told", "w3", "n1", "state=draining");
        sent(5_100_000, "e", 5, true);
        received(5_400_000, "e", 9, "w3", true);
        ended(5_401_000, "turned-away", "e", 9, "w3", "");
        answer(5_500_000, "e", 429, "-");
        discovery.add(7_000_000, "told", "w3", "n1", "state=ready");
        received(7_600_000, "e2", 10, "w3", true);
        ended(7_601_000, "done", "e2", 10, "w3", " result=r10");
        // The client was killed; the dispatcher was down.
        sent(8_000_000, "f", 6, true);
        clients.add(8_100_000, "client-died", "f", "client", "");
        clients.add(8_200_000, "unsent", "g", "client", "");
    }

    private void sent(long micros, String id, int job, boolean repeatable) {
        clients.add(
                micros,
                "sent",
                id,
                "client",
                "job=" + job + ".0 class=c deadline=1000000 repeatable=" + repeatable);
    }

    private void answer(long micros, String id, int status, String result) {
        clients.add(micros, "answer", id, "client", "status=" + status + " result=" + result);
    }

    private void received(long micros, String id, int attempt, String worker, boolean repeatable) {
        workers.add(
                micros,
                "received",
                id,
                worker,
                "a="
                        + attempt
                        + " via=0 first="
                        + (micros - 10)
                        + " class=c repeatable="
                        + repeatable);
    }

    private void ended(
            long micros, String how, String id, int attempt, String worker, String more) {
        workers.add(micros, how, id, worker, "a=" + attempt + more);
    }

    private void finds(Rule... rules) throws IOException {
        for (Ledger l : List.of(workers, discovery, clients)) {
            l.close();
        }
        RuleChecker.Verdict v = RuleChecker.judge(folder);
        assertEquals(
                List.of(rules),
                v.violations.stream().map(RuleChecker.Violation::rule).toList(),
                v.violations.toString());
    }

    @Test
    void aCleanRunPassesAndWhatWasJudgedIsCounted() throws IOException {
        finds();
        RuleChecker.Verdict v = RuleChecker.judge(folder);
        assertEquals(
                List.of(6L, 5L, 10L, 1L, 1L),
                List.of(v.requests, v.answered, v.attempts, v.drainsTold, v.sendsWhileDraining));
    }

    @Test
    void aRequestThatIsNeverAnswered() throws IOException {
        sent(9_000_000, "x", 9, true);
        finds(Rule.ONE_ANSWER);
    }

    @Test
    void aSecondAnswer() throws IOException {
        answer(1_102_000, "a", 200, "r1");
        finds(Rule.ONE_ANSWER);
    }

    @Test
    void anAnswerAfterTheDeadline() throws IOException {
        sent(9_000_000, "x", 9, true);
        answer(10_051_000, "x", 504, "-");
        finds(Rule.ONE_ANSWER);
    }

    @Test
    void aResultThatNoWorkerMade() throws IOException {
        sent(9_000_000, "x", 9, true);
        answer(9_100_000, "x", 200, "r1");
        finds(Rule.TRUE_ANSWER);
    }

    @Test
    void aSecondAttemptWhileTheFirstIsOut() throws IOException {
        received(9_000_000, "x", 20, "w1", true);
        received(9_010_000, "x", 21, "w2", true);
        ended(9_020_000, "done", "x", 20, "w1", " result=r20");
        ended(9_030_000, "done", "x", 21, "w2", " result=r21");
        finds(Rule.ONE_ATTEMPT);
    }

    @Test
    void anAttemptGivenUpTooLateForItsSuccessor() throws IOException {
        received(9_000_000, "x", 20, "w1", true);
        received(9_010_000, "x", 21, "w2", true);
        ended(9_100_000, "given-up", "x", 20, "w1", "");
        ended(9_130_000, "done", "x", 21, "w2", " result=r21");
        finds(Rule.ONE_ATTEMPT);
    }

    @Test
    void aRepeatOfWhatMayHaveRun() throws IOException {
        received(9_000_000, "x", 20, "w1", false);
        ended(9_010_000, "failed", "x", 20, "w1", "");
        received(9_020_000, "x", 21, "w2", false);
        ended(9_030_000, "done", "x", 21, "w2", " result=r21");
        finds(Rule.NO_REPEAT);
    }

    @Test
    void aRefusalOfWhatMayHaveRun() throws IOException {
        sent(9_000_000, "x", 9, false);
        received(9_001_000, "x", 20, "w1", false);
        ended(9_010_000, "lost", "x", 20, "w1", "");
        answer(9_020_000, "x", 429, "-");
        finds(Rule.NO_REPEAT);
    }

    @Test
    void aClientThatTriesAgainWhatMayHaveRun() throws IOException {
        for (int i = 0; i < 2; i++) {
            String id = "x" + i;
            sent(9_000_000 + i * 100_000, id, 9, false);
            received(9_001_000 + i * 100_000, id, 20 + i, "w1", false);
            ended(9_010_000 + i * 100_000, "done", id, 20 + i, "w1", " result=r2" + i);
            answer(9_020_000 + i * 100_000, id, 200, "r2" + i);
        }
        finds(Rule.NO_REPEAT);
    }

    @Test
    void aRequestSentTwice() throws IOException {
        sent(1_050_000, "a", 1, true);
        finds(Rule.SENT_ONCE);
    }

    @Test
    void aSendToAWorkerLongAfterItsDrainWasToldAlsoWhereItWasToldAgain() throws IOException {
        discovery.add(5_500_000, "told", "w3", "n1", "state=gone");
        received(5_551_000, "x", 20, "w3", true);
        ended(5_560_000, "turned-away", "x", 20, "w3", "");
        finds(Rule.DRAIN);
    }

    @Test
    void aColdWorkerPushedOver() throws IOException {
        workers.add(9_000_000, "fell-over", "", "w1", "");
        finds(Rule.COLD);
    }

    @Test
    void aLineCutOffByADeathSpoilsNoOther() throws IOException {
        for (Ledger l : List.of(workers, discovery, clients)) {
            l.close();
        }
        Path file = folder.resolve("clients.ledger");
        Files.writeString(file, Files.readString(file) + "9000000\tsent\tx");
        try (Ledger again = new Ledger(file)) {
            again.add(9_100_000, "unsent", "y", "client", "");
        }
        assertEquals(List.of(), RuleChecker.judge(folder).violations);
        assertEquals(
                "9100000\tunsent\ty\tclient\t",
                Files.readAllLines(file).get(Files.readAllLines(file).size() - 1));
    }
}
