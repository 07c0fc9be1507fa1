package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.dispatch.ReportedState;

/**
 * What a worker says in the moment in which an attempt is given up, or so that nobody can tell what
 * it means.
 */
public class GiveUpCrossingTest extends AttemptTestBase {

    public GiveUpCrossingTest() throws IOException {}

    private ReceivedMessage sent(String id) throws IOException {
        submit(id);
        runTurn();
        return awaitRequest(worker1);
    }

    private void cancel(String id) {
        policy.actions.cancelAttempt(id, 0);
        runTurn();
    }

    private ReceivedMessage delete(Socket on) throws IOException {
        ReceivedMessage delete = awaitRequest(on);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/"));
        return delete;
    }

    private void isGivenUpBy(ReceivedMessage delete, String end) throws IOException {
        assertFinished();
        loop.runAndServe(() -> delete.reply("200 OK", ""));
        runTurn();
        assertFinished(end);
    }

    /** It came before the job, or its connection's end, was known: the worker may have it since. */
    private void provesNothing(ReceivedMessage delete) throws IOException {
        loop.runAndServe(() -> delete.reply("200 OK", ""));
        runTurn();
        assertFinished();
    }

    /**
     * With it the job runs: it counted as given up 100 ms on, whether or not the DELETE had
     * arrived.
     */
    @Test
    public void afterA202ThatCrossesOnlyTheAnsweredDeleteEndsTheAttempt() throws Exception {
        ReceivedMessage job = sent("x1");
        cancel("x1");
        ReceivedMessage delete = delete(accept(worker1));
        respond(job.socket(), ACCEPTED);
        advance(200 * MILLI_MICROS);
        provesNothing(delete);
        isGivenUpBy(delete(job.socket()), "finished x1 0 CANCELLED false");
    }

    @Test
    public void soItIsAfterHalfAnAnswer() throws Exception {
        ReceivedMessage job = sent("x2");
        respond(job.socket(), ACCEPTED.substring(0, 20));
        cancel("x2");
        ReceivedMessage delete = delete(accept(worker1));
        advance(200 * MILLI_MICROS);
        provesNothing(delete);
        advance(20 * MILLI_MICROS);
        isGivenUpBy(delete(delete.socket()), "finished x2 0 CANCELLED false");
    }

    @Test
    public void aWorkerThatSaysNothingHasItGivenUpByTheCloseAlone() throws Exception {
        ReceivedMessage job = sent("x3");
        cancel("x3");
        delete(accept(worker1));
        advance(99 * MILLI_MICROS);
        assertFinished();
        advance(1 * MILLI_MICROS);
        assertFinished("finished x3 0 CANCELLED false");
        assertEquals("closed", -1, job.socket().getInputStream().read());
    }

    /** It counted as its word that it had dropped the job, though a 202 may have gone with it. */
    @Test
    public void aConnectionThatEndsBeforeItsAnswerIsNoWordOfTheWorkers() throws Exception {
        ReceivedMessage job = sent("x4");
        cancel("x4");
        ReceivedMessage delete = delete(accept(worker1));
        loop.runAndServe(() -> job.socket().close());
        runTurn();
        assertFinished();
        provesNothing(delete);
        advance(20 * MILLI_MICROS);
        isGivenUpBy(delete(delete.socket()), "finished x4 0 CANCELLED false");
    }

    /**
     * It counted as a reset, though it may have been a 202 for a job that runs: what followed was a
     * second attempt.
     */
    @Test
    public void anAttemptWhoseAnswerIsSpoiltIsGivenUpBeforeTheModuleHears() throws Exception {
        for (String spoilt :
                List.of(
                        "HTTP/1.1 2x2 Accepted\r\n\r\n",
                        "HTTP/1.1 202 Accepted\r\nContent-Length: x\r\n\r\n")) {
            policy.events.clear();
            ReceivedMessage job = sent("s" + spoilt.length());
            respond(job.socket(), spoilt);
            runTurn();
            isGivenUpBy(delete(accept(worker1)), "finished s" + spoilt.length() + " 0 RESET false");
            pools.updateWorkers(true, List.of());
            updateWorkers(endpoint("w1", worker1, true));
        }
    }

    @Test
    public void soIsOneWhoseAnswerIsCutShort() throws Exception {
        ReceivedMessage job = sent("s1");
        respond(job.socket(), "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf");
        loop.runAndServe(() -> job.socket().close());
        runTurn();
        isGivenUpBy(delete(accept(worker1)), "finished s1 0 RESET false");
    }

    @Test
    public void aSpoiltAnswerOfAJobThatRunsDoesNotCostItsResult() throws Exception {
        ReceivedMessage job = sent("s2");
        respond(job.socket(), "HTTP/1.1 2x2 Accepted\r\n\r\n");
        runTurn();
        report("s2", "w1", ReportedState.STARTED);
        report("s2", "w1", ReportedState.DONE);
        runTurn();
        assertFinished("finished s2 0 SERVED true");
        assertEquals(List.of("s2 served"), answers);
        assertTrue("nothing is still given up", pools.hasNoCancellations());
    }

    /**
     * It counted as an error at once, though the job may run, or may yet: what followed was a
     * second attempt.
     */
    @Test
    public void anAttemptWhoseAnswerTheProtocolDoesNotKnowIsGivenUpBeforeTheModuleHears()
            throws Exception {
        for (int status : new int[] {200, 204, 302, 304, 408, 429, 501, 502, 599, 600}) {
            policy.events.clear();
            ReceivedMessage job = sent("u" + status);
            respond(job.socket(), "HTTP/1.1 " + status + " Unknown\r\nContent-Length: 0\r\n\r\n");
            runTurn();
            assertFinished();
            advance(20 * MILLI_MICROS);
            isGivenUpBy(delete(job.socket()), "finished u" + status + " 0 ERROR false");
            pools.updateWorkers(true, List.of());
            updateWorkers(endpoint("w1", worker1, true));
        }
    }

    @Test
    public void suchAnAnswerWhileItIsGivenUpLeavesThatToTheDelete() throws Exception {
        ReceivedMessage job = sent("v1");
        cancel("v1");
        ReceivedMessage delete = delete(accept(worker1));
        respond(job.socket(), "HTTP/1.1 502 Unknown\r\nContent-Length: 0\r\n\r\n");
        runTurn();
        provesNothing(delete);
        advance(20 * MILLI_MICROS);
        isGivenUpBy(delete(delete.socket()), "finished v1 0 CANCELLED false");
    }

    /** It is none: the real one follows, and decides. */
    @Test
    public void anInterimAnswerIsPassedOver() throws Exception {
        ReceivedMessage job = sent("w1");
        respond(job.socket(), "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
        runTurn();
        assertFinished();
        respond(job.socket(), "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        runTurn();
        assertFinished("finished w1 0 FULL false");
    }

    /** It was taken as given up when its own time was over, with most of its consumer's left. */
    @Test
    public void anAttemptWithALimitOfItsOwnIsGivenUpLikeAnyOther() throws Exception {
        policy.onJob =
                job -> policy.actions.startAttempt(job.id(), "w1", 300 * MILLI_MICROS * 1000);
        ReceivedMessage job = sent("t1");
        respond(job.socket(), ACCEPTED);
        advance(300 * MILLI_MICROS);
        delete(job.socket());
        advance(400 * MILLI_MICROS);
        advance(50 * MILLI_MICROS);
        isGivenUpBy(delete(accept(worker1)), "finished t1 0 TIMEOUT false");
    }

    /** The next DELETE ended the next attempt at the same worker, which nobody was told of. */
    @Test
    public void whatAWorkerHandsBackMeanwhileIsAskedForNoMore() throws Exception {
        ReceivedMessage job = sent("r1");
        respond(job.socket(), ACCEPTED);
        cancel("r1");
        advance(20 * MILLI_MICROS); // Its connection rests.
        delete(job.socket());
        report("r1", "w1", ReportedState.RETURNED);
        runTurn();
        assertFinished("finished r1 0 FULL false");
        policy.actions.startAttempt("r1", "w1", 0);
        runTurn();
        assertEquals("POST /api HTTP/1.1", awaitRequest(worker1).head().split("\r\n")[0]);
        advance(400 * MILLI_MICROS);
        advance(50 * MILLI_MICROS);
        submit("next");
        runTurn();
        assertEquals("next", awaitRequest(worker1).header("X-Request-Id"));
    }

    /** The worker has the job and refuses new connections from now on. */
    private void runsButRefuses(String id) throws IOException {
        ReceivedMessage job = sent(id);
        respond(job.socket(), ACCEPTED);
        worker1.close();
        loop.runAndServe(job.socket()::close);
        cancel(id);
        isRefused();
    }

    private void isRefused() throws IOException {
        assertEquals("a DELETE asks for a connection", 1, loop.openChannels());
        loop.runAndServe(() -> {});
        assertEquals(0, loop.openChannels());
    }

    /** Each was a new connection, 20 a second up to the deadline. */
    @Test
    public void aDeleteThatIsRefusedIsRepeatedEverMoreSeldomAndNoLaterThanTheDeadline()
            throws Exception {
        runsButRefuses("b1");
        long since = 0;
        for (long pause : new long[] {50, 100, 200, 400, 400}) {
            advance(pause * MILLI_MICROS - 1);
            assertEquals("not before " + pause + " ms", 0, loop.openChannels());
            advance(1);
            isRefused();
            since += pause * MILLI_MICROS;
        }
        for (; since + 400 * MILLI_MICROS < DEADLINE_MICROS; since += 400 * MILLI_MICROS) {
            advance(400 * MILLI_MICROS);
            isRefused();
        }
        assertTrue(
                "the module hears at the deadline",
                finishedEvents().isEmpty() && !pools.hasNoCancellations());
        advance(DEADLINE_MICROS - since);
        isRefused();
        runTurn();
        assertTrue("that was the last", pools.hasNoCancellations());
        assertFinished("finished b1 0 TIMEOUT false");
    }

    /**
     * One that drains may end its listener, and one that has all the connections it keeps refuses
     * more: neither has dropped it.
     */
    @Test
    public void aWorkerThatRefusesADeleteMayRunTheJobOn() throws Exception {
        runsButRefuses("b2");
        runTurn();
        assertFinished();
        report("b2", "w1", ReportedState.DONE);
        runTurn();
        assertFinished("finished b2 0 SERVED true");
        assertEquals(List.of("b2 served"), answers);
        assertTrue("nothing is still given up", pools.hasNoCancellations());
    }
}
