package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.Test;
import postgrade.daemon.Peer.Arrived;
import postgrade.dispatch.ReportedState;

/**
 * What a worker says in the moment in which an attempt is given up, or so that nobody can tell what
 * it means.
 */
public class GiveUpCrossingTest extends AttemptStage {

    public GiveUpCrossingTest() throws IOException {}

    private Arrived sent(String id) throws IOException {
        open(id);
        turn();
        return request(one);
    }

    private void cancel(String id) {
        script.out.cancelAttempt(id, 0);
        turn();
    }

    private Arrived delete(Socket on) throws IOException {
        Arrived delete = request(on);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/"));
        return delete;
    }

    private void isGivenUpBy(Arrived delete, String end) throws IOException {
        hasHeard();
        hand.runAndServe(() -> delete.reply("200 OK", ""));
        turn();
        hasHeard(end);
    }

    /** It came before the job, or its connection's end, was known: the worker may have it since. */
    private void provesNothing(Arrived delete) throws IOException {
        hand.runAndServe(() -> delete.reply("200 OK", ""));
        turn();
        hasHeard();
    }

    /**
     * With it the job runs: it counted as given up 100 ms on, whether or not the DELETE had
     * arrived.
     */
    @Test
    public void afterA202ThatCrossesOnlyTheAnsweredDeleteEndsTheAttempt() throws Exception {
        Arrived job = sent("x1");
        cancel("x1");
        Arrived delete = delete(accept(one));
        says(job.socket(), TAKEN);
        pass(200 * MILLI);
        provesNothing(delete);
        isGivenUpBy(delete(job.socket()), "finished x1 0 CANCELLED false");
    }

    @Test
    public void soItIsAfterHalfAnAnswer() throws Exception {
        Arrived job = sent("x2");
        says(job.socket(), TAKEN.substring(0, 20));
        cancel("x2");
        Arrived delete = delete(accept(one));
        pass(200 * MILLI);
        provesNothing(delete);
        pass(20 * MILLI);
        isGivenUpBy(delete(delete.socket()), "finished x2 0 CANCELLED false");
    }

    @Test
    public void aWorkerThatSaysNothingHasItGivenUpByTheCloseAlone() throws Exception {
        Arrived job = sent("x3");
        cancel("x3");
        delete(accept(one));
        pass(99 * MILLI);
        hasHeard();
        pass(1 * MILLI);
        hasHeard("finished x3 0 CANCELLED false");
        assertEquals("closed", -1, job.socket().getInputStream().read());
    }

    /** It counted as its word that it had dropped the job, though a 202 may have gone with it. */
    @Test
    public void aConnectionThatEndsBeforeItsAnswerIsNoWordOfTheWorkers() throws Exception {
        Arrived job = sent("x4");
        cancel("x4");
        Arrived delete = delete(accept(one));
        hand.runAndServe(() -> job.socket().close());
        turn();
        hasHeard();
        provesNothing(delete);
        pass(20 * MILLI);
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
            script.heard.clear();
            Arrived job = sent("s" + spoilt.length());
            says(job.socket(), spoilt);
            turn();
            isGivenUpBy(delete(accept(one)), "finished s" + spoilt.length() + " 0 RESET false");
            pools.list(true, List.of());
            list(target("w1", one, true));
        }
    }

    @Test
    public void soIsOneWhoseAnswerIsCutShort() throws Exception {
        Arrived job = sent("s1");
        says(job.socket(), "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf");
        hand.runAndServe(() -> job.socket().close());
        turn();
        isGivenUpBy(delete(accept(one)), "finished s1 0 RESET false");
    }

    @Test
    public void aSpoiltAnswerOfAJobThatRunsDoesNotCostItsResult() throws Exception {
        Arrived job = sent("s2");
        says(job.socket(), "HTTP/1.1 2x2 Accepted\r\n\r\n");
        turn();
        reports("s2", "w1", ReportedState.STARTED);
        reports("s2", "w1", ReportedState.DONE);
        turn();
        hasHeard("finished s2 0 SERVED true");
        assertEquals(List.of("s2 served"), answers);
        assertTrue("nothing is still given up", pools.quiet());
    }

    /**
     * It counted as an error at once, though the job may run, or may yet: what followed was a
     * second attempt.
     */
    @Test
    public void anAttemptWhoseAnswerTheProtocolDoesNotKnowIsGivenUpBeforeTheModuleHears()
            throws Exception {
        for (int status : new int[] {200, 204, 302, 304, 408, 429, 501, 502, 599, 600}) {
            script.heard.clear();
            Arrived job = sent("u" + status);
            says(job.socket(), "HTTP/1.1 " + status + " Unknown\r\nContent-Length: 0\r\n\r\n");
            turn();
            hasHeard();
            pass(20 * MILLI);
            isGivenUpBy(delete(job.socket()), "finished u" + status + " 0 ERROR false");
            pools.list(true, List.of());
            list(target("w1", one, true));
        }
    }

    @Test
    public void suchAnAnswerWhileItIsGivenUpLeavesThatToTheDelete() throws Exception {
        Arrived job = sent("v1");
        cancel("v1");
        Arrived delete = delete(accept(one));
        says(job.socket(), "HTTP/1.1 502 Unknown\r\nContent-Length: 0\r\n\r\n");
        turn();
        provesNothing(delete);
        pass(20 * MILLI);
        isGivenUpBy(delete(delete.socket()), "finished v1 0 CANCELLED false");
    }

    /** It is none: the real one follows, and decides. */
    @Test
    public void anInterimAnswerIsPassedOver() throws Exception {
        Arrived job = sent("w1");
        says(job.socket(), "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
        turn();
        hasHeard();
        says(job.socket(), "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        turn();
        hasHeard("finished w1 0 FULL false");
    }

    /** It was taken as given up when its own time was over, with most of its consumer's left. */
    @Test
    public void anAttemptWithALimitOfItsOwnIsGivenUpLikeAnyOther() throws Exception {
        script.onJob = job -> script.out.startAttempt(job.id(), "w1", 300 * MILLI * 1000);
        Arrived job = sent("t1");
        says(job.socket(), TAKEN);
        pass(300 * MILLI);
        delete(job.socket());
        pass(400 * MILLI);
        pass(50 * MILLI);
        isGivenUpBy(delete(accept(one)), "finished t1 0 TIMEOUT false");
    }

    /** The next DELETE ended the next attempt at the same worker, which nobody was told of. */
    @Test
    public void whatAWorkerHandsBackMeanwhileIsAskedForNoMore() throws Exception {
        Arrived job = sent("r1");
        says(job.socket(), TAKEN);
        cancel("r1");
        pass(20 * MILLI); // Its connection rests.
        delete(job.socket());
        reports("r1", "w1", ReportedState.RETURNED);
        turn();
        hasHeard("finished r1 0 FULL false");
        script.out.startAttempt("r1", "w1", 0);
        turn();
        assertEquals("POST /api HTTP/1.1", request(one).head().split("\r\n")[0]);
        pass(400 * MILLI);
        pass(50 * MILLI);
        open("next");
        turn();
        assertEquals("next", request(one).header("X-Request-Id"));
    }

    /** The worker has the job and refuses new connections from now on. */
    private void runsButRefuses(String id) throws IOException {
        Arrived job = sent(id);
        says(job.socket(), TAKEN);
        one.close();
        hand.runAndServe(job.socket()::close);
        cancel(id);
        isRefused();
    }

    private void isRefused() throws IOException {
        assertEquals("a DELETE asks for a connection", 1, hand.openChannels());
        hand.runAndServe(() -> {});
        assertEquals(0, hand.openChannels());
    }

    /** Each was a new connection, 20 a second up to the deadline. */
    @Test
    public void aDeleteThatIsRefusedIsRepeatedEverMoreSeldomAndNoLaterThanTheDeadline()
            throws Exception {
        runsButRefuses("b1");
        long since = 0;
        for (long pause : new long[] {50, 100, 200, 400, 400}) {
            pass(pause * MILLI - 1);
            assertEquals("not before " + pause + " ms", 0, hand.openChannels());
            pass(1);
            isRefused();
            since += pause * MILLI;
        }
        for (; since + 400 * MILLI < DEADLINE; since += 400 * MILLI) {
            pass(400 * MILLI);
            isRefused();
        }
        assertTrue("the module hears at the deadline", ends().isEmpty() && !pools.quiet());
        pass(DEADLINE - since);
        isRefused();
        turn();
        assertTrue("that was the last", pools.quiet());
        hasHeard("finished b1 0 TIMEOUT false");
    }

    /**
     * One that drains may end its listener, and one that has all the connections it keeps refuses
     * more: neither has dropped it.
     */
    @Test
    public void aWorkerThatRefusesADeleteMayRunTheJobOn() throws Exception {
        runsButRefuses("b2");
        turn();
        hasHeard();
        reports("b2", "w1", ReportedState.DONE);
        turn();
        hasHeard("finished b2 0 SERVED true");
        assertEquals(List.of("b2 served"), answers);
        assertTrue("nothing is still given up", pools.quiet());
    }
}
