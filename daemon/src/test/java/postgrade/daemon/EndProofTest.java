package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.dispatch.ReportedState;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;

/**
 * An attempt has ended only when something says so that names it. Each sign that does not is here,
 * with what the worker is asked before the policy hears.
 */
public class EndProofTest extends AttemptTestBase {

    private static final String FULL = answer("503 Full\r\nX-Not-Run: 1");

    public EndProofTest() throws IOException {}

    private static String answer(String status) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
    }

    private ReceivedMessage delete(Socket on, String id) throws IOException {
        ReceivedMessage delete = awaitRequest(on);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/" + id + " "));
        return delete;
    }

    private void confirms(ReceivedMessage delete) throws IOException {
        loop.runAndServe(() -> delete.reply("204 No Content", ""));
        runTurn();
    }

    private void breaks(Socket worker) throws IOException {
        loop.runAndServe(
                () -> {
                    worker.setSoLinger(true, 0);
                    worker.close();
                });
        runTurn();
    }

    /** The connections of jobs that were served before, which have rested since. */
    private List<Socket> usedBefore(String... ids) throws IOException {
        List<Socket> workers = new ArrayList<>();
        for (String id : ids) {
            workers.add(sendJob(id));
        }
        for (int i = 0; i < ids.length; i++) {
            respond(workers.get(i), ACCEPTED);
            report(ids[i], "w1", ReportedState.DONE);
        }
        runTurn();
        advance(20 * MILLI_MICROS);
        policy.events.clear();
        answers.clear();
        return workers;
    }

    private Socket usedBefore(String id) throws IOException {
        return usedBefore(new String[] {id}).get(0);
    }

    private Socket sentOn(Socket worker, String id) throws IOException {
        submit(id);
        runTurn();
        assertEquals(id, awaitRequest(worker).header("X-Request-Id"));
        return worker;
    }

    @Test
    public void aResetBeforeAnyAnswerIsFollowedByADelete() throws Exception {
        Socket worker = sendJob("a1");
        breaks(worker);
        assertFinished();
        confirmCancellation("a1");
        assertFinished("finished a1 0 RESET false");
    }

    @Test
    public void soIsAnOrderlyEndBeforeAnyAnswer() throws Exception {
        Socket worker = sendJob("a2");
        loop.runAndServe(worker::close);
        runTurn();
        assertFinished();
        confirmCancellation("a2");
        assertFinished("finished a2 0 RESET false");
    }

    /** The 202 went with the connection, and the job runs. */
    @Test
    public void aCallBackAfterAResetIsTheJobsEnd() throws Exception {
        Socket worker = sendJob("a3");
        breaks(worker);
        delete(accept(worker1), "a3");
        report("a3", "w1", ReportedState.STARTED);
        report("a3", "w1", ReportedState.DONE);
        runTurn();
        assertFinished("finished a3 0 SERVED true");
        assertTrue(pools.hasNoCancellations());
    }

    @Test
    public void anAnswerOnANewConnectionIsTheJobs() throws Exception {
        Socket worker = sendJob("b1");
        respond(worker, FULL);
        runTurn();
        assertFinished("finished b1 0 FULL false");
    }

    /** Answers come in order: that to the DELETE shows that the job had been answered before. */
    @Test
    public void anAnswerOnAConnectionUsedBeforeHoldsOnceADeleteBehindItIsAnswered()
            throws Exception {
        List<Socket> workers = usedBefore("c0", "c1");
        sentOn(workers.get(1), "c2");
        respond(workers.get(1), FULL);
        runTurn();
        advance(20 * MILLI_MICROS - 1);
        assertEquals("nothing on the other connection", 0, availableBytes(workers.get(0)));
        assertFinished();
        advance(1);
        confirms(delete(workers.get(1), "c2"));
        advance(20 * MILLI_MICROS - 1);
        assertFinished();
        advance(1);
        assertFinished("finished c2 0 FULL false");
    }

    /** It was the exchange before's: the worker has the job, and may have begun it. */
    @Test
    public void anAnswerThatAnotherFollowsIsNotBelieved() throws Exception {
        Socket worker = sentOn(usedBefore("d0"), "d1");
        respond(worker, FULL);
        runTurn();
        respond(worker, ACCEPTED);
        runTurn();
        advance(50 * MILLI_MICROS);
        assertFinished();
        confirms(delete(accept(worker1), "d1"));
        assertFinished("finished d1 0 RESET false");
    }

    @Test
    public void norIsOneThatAnotherFollowsInThePlaceOfTheDeletes() throws Exception {
        Socket worker = sentOn(usedBefore("d2"), "d3");
        respond(worker, FULL);
        runTurn();
        advance(20 * MILLI_MICROS);
        delete(worker, "d3");
        respond(worker, ACCEPTED);
        runTurn();
        assertFinished();
        advance(50 * MILLI_MICROS);
        confirms(delete(worker, "d3"));
        assertFinished("finished d3 0 RESET false");
    }

    /** The worker has answered out of order, and has the job. */
    @Test
    public void norIsOneThatAnotherFollowsBehindTheDeletes() throws Exception {
        Socket worker = sentOn(usedBefore("d6"), "d7");
        respond(worker, FULL);
        runTurn();
        advance(20 * MILLI_MICROS);
        confirms(delete(worker, "d7"));
        respond(worker, ACCEPTED);
        runTurn();
        advance(20 * MILLI_MICROS);
        assertFinished();
        confirms(delete(accept(worker1), "d7"));
        assertFinished("finished d7 0 RESET false");
    }

    /** Guards against a DELETE that goes out after the end and ends a later attempt there. */
    @Test
    public void aDeleteBehindTheJobIsNotWrittenOnceACallBackHasEndedTheAttempt() throws Exception {
        Socket worker = sentOn(usedBefore("q0"), "q1");
        respond(worker, FULL);
        runTurn();
        report("q1", "w1", ReportedState.DONE);
        runTurn();
        assertFinished("finished q1 0 SERVED true");
        advance(20 * MILLI_MICROS);
        assertEquals("nothing behind the job", 0, availableBytes(worker));
        sentOn(worker, "q2");
    }

    /** The same for one that waits for a connection when another is to follow the job. */
    @Test
    public void norIsOneThatWaitedForItsConnectionBeforeThat() throws Exception {
        Socket worker = sentOn(usedBefore("r0"), "r1");
        policy.actions.cancelAttempt("r1", 0);
        tracker.runBatch(); // Its connection comes up only at the end of a turn.
        respond(worker, FULL);
        int[] selections = {0};
        loop.serveUntil(() -> ++selections[0] > 5); // Both the answer and the connection are there.
        report("r1", "w1", ReportedState.DONE);
        runTurn();
        advance(20 * MILLI_MICROS);
        assertEquals("nothing behind the job", 0, availableBytes(worker));
        assertEquals("nothing beside it", 0, availableBytes(accept(worker1)));
    }

    /** Its repeat would take the place of the one that follows the job, whose answer counts. */
    @Test
    public void aDeleteThatIsRefusedIsNotRepeatedOnceAnotherFollowsTheJob() throws Exception {
        Socket worker = sentOn(usedBefore("s0"), "s1");
        policy.actions.cancelAttempt("s1", 0);
        runTurn();
        ReceivedMessage early = delete(accept(worker1), "s1");
        loop.runAndServe(() -> early.reply("503 Busy", ""));
        runTurn();
        advance(45 * MILLI_MICROS);
        respond(worker, FULL);
        runTurn();
        advance(20 * MILLI_MICROS);
        confirms(delete(worker, "s1"));
        advance(20 * MILLI_MICROS);
        assertFinished("finished s1 0 CANCELLED false");
    }

    /** It cannot have been turned away unstarted. */
    @Test
    public void norIsOneOfAJobThatIsReportedStarted() throws Exception {
        Socket worker = sentOn(usedBefore("d4"), "d5");
        respond(worker, FULL);
        runTurn();
        report("d5", "w1", ReportedState.STARTED);
        runTurn();
        advance(20 * MILLI_MICROS);
        confirms(delete(worker, "d5"));
        advance(20 * MILLI_MICROS);
        assertFinished("finished d5 0 RESET false");
    }

    /** The one behind a cancelled job tells as well what became of it. */
    @Test
    public void anAnswerWhileTheJobIsCancelledHasTheDeleteFollowItToo() throws Exception {
        Socket worker = sentOn(usedBefore("j0"), "j1");
        policy.actions.cancelAttempt("j1", 0);
        runTurn();
        ReceivedMessage early = delete(accept(worker1), "j1");
        respond(worker, FULL);
        runTurn();
        confirms(early);
        assertFinished();
        advance(20 * MILLI_MICROS);
        confirms(delete(worker, "j1"));
        advance(20 * MILLI_MICROS);
        assertFinished("finished j1 0 CANCELLED false");
    }

    @Test
    public void norIsOneThatAnotherFollowsAtOnce() throws Exception {
        Socket worker = sentOn(usedBefore("e0"), "e1");
        respond(worker, FULL + ACCEPTED);
        runTurn();
        assertFinished();
        confirms(delete(accept(worker1), "e1"));
        assertFinished("finished e1 0 RESET false");
    }

    @Test
    public void aRequestThatAWorkerCannotUseIsDroppedThereFirstOnAConnectionUsedBefore()
            throws Exception {
        Socket worker = sentOn(usedBefore("f0"), "f1");
        respond(worker, answer("400 Bad"));
        runTurn();
        assertEquals(List.of(), answers);
        advance(20 * MILLI_MICROS);
        confirms(delete(worker, "f1"));
        advance(20 * MILLI_MICROS);
        assertFinished("finished f1 0 CANCELLED true");
        assertEquals(List.of("f1 failed"), answers);
    }

    /** Another exchange's answer, or the refusal to drop the job. */
    @Test
    public void anAnswerToADeleteThatIsNoneHasItSentAgain() throws Exception {
        for (String status : List.of("202 Accepted", "500 Error", "503 Busy", "409 Conflict")) {
            String id = "g" + status.substring(0, 3);
            policy.events.clear();
            Socket worker = sendJob(id);
            breaks(worker);
            ReceivedMessage refused = delete(accept(worker1), id);
            loop.runAndServe(() -> refused.reply(status, ""));
            runTurn();
            advance(50 * MILLI_MICROS);
            assertFinished();
            confirms(delete(refused.socket(), id));
            assertFinished("finished " + id + " 0 RESET false");
            pools.updateWorkers(true, List.of());
            updateWorkers(endpoint("w1", worker1, true));
        }
    }

    /** What it does not know it does not run, and cannot get any more. */
    @Test
    public void aWorkerThatDoesNotKnowTheJobHasDroppedIt() throws Exception {
        Socket worker = sendJob("h1");
        breaks(worker);
        ReceivedMessage delete = delete(accept(worker1), "h1");
        loop.runAndServe(() -> delete.reply("404 Unknown", ""));
        runTurn();
        assertFinished("finished h1 0 RESET false");
    }

    /** Its 202 may be on its way just then: it speaks, on other connections. */
    @Test
    public void aCloseBeforeTheAnswerIsNotEnoughAtAWorkerThatHasSpokenSince() throws Exception {
        Socket other = sendJob("i0");
        Socket worker = sendJob("i1");
        advance(1);
        respond(other, ACCEPTED);
        policy.actions.cancelAttempt("i1", 0);
        runTurn();
        advance(20 * MILLI_MICROS);
        confirms(delete(other, "i1"));
        assertFinished();
        advance(80 * MILLI_MICROS);
        assertEquals("closed", -1, worker.getInputStream().read());
        assertFinished();
        confirms(delete(other, "i1"));
        assertFinished("finished i1 0 CANCELLED false");
    }

    /** Nor does a 202 there say by itself that the worker has this job. */
    @Test
    public void a202OnAConnectionUsedBeforeCountsOnceTheConnectionHasRested() throws Exception {
        List<Socket> workers = usedBefore("p0", "p1");
        sentOn(workers.get(1), "p2");
        respond(workers.get(1), ACCEPTED);
        policy.actions.cancelAttempt("p2", 0);
        runTurn();
        confirms(delete(workers.get(0), "p2"));
        assertFinished();
        advance(20 * MILLI_MICROS);
        confirms(delete(workers.get(0), "p2"));
        assertFinished("finished p2 0 CANCELLED false");
    }

    /** It names the worker and the request, and an earlier attempt of it there. */
    @Test
    public void aRepeatedCallBackOfAnEarlierAttemptThereHasThisOneCancelledFirst()
            throws Exception {
        Socket worker = sendAcceptedJob("k1");
        report("k1", "w1", ReportedState.RETURNED);
        runTurn();
        assertFinished("finished k1 0 FULL false");
        policy.actions.startAttempt("k1", "w1", 0);
        runTurn();
        advance(20 * MILLI_MICROS);
        assertEquals("k1", awaitRequest(worker).header("X-Request-Id"));
        respond(worker, ACCEPTED);
        advance(20 * MILLI_MICROS);
        report("k1", "w1", ReportedState.RETURNED);
        runTurn();
        assertFinished("finished k1 0 FULL false");
        confirms(delete(worker, "k1"));
        assertFinished("finished k1 0 FULL false", "finished k1 1 RESET false");
    }

    /** A call-back of another worker, or of another request, names something else. */
    @Test
    public void aStrangersCallBackEndsNothing() throws Exception {
        sendAcceptedJob("l1");
        report("l1", "w2", ReportedState.FAILED);
        report("l2", "w1", ReportedState.FAILED);
        runTurn();
        assertFinished();
    }

    /** What the new settings allow is for requests to come. */
    @Test
    public void newSettingsLeaveARequestsAttemptsAsTheyAre() throws Exception {
        sendAcceptedJob("m1");
        PolicySettings.Builder settings = PolicySettings.builder();
        settings.classes(List.of(JobClass.of("price", Idempotency.IDEMPOTENT)));
        settings.allowsConcurrentAttempts(true);
        tracker.settingsChanged(settings.build(), 100);
        policy.actions.startAttempt("m1", "w2", 0);
        runTurn();
        runTurn();
        assertFinished("finished m1 1 NOT_SENT false");
    }

    @Test
    public void aRefusedConnectProvesThatTheJobNeverRan() throws Exception {
        worker1.close();
        submit("n1");
        runTurn();
        loop.runAndServe(() -> {});
        runTurn();
        assertFinished("finished n1 0 UNREACHABLE false");
    }

    /** The client's time is over, so nothing is sent again, whatever became of the job. */
    @Test
    public void theDeadlineEndsIt() throws Exception {
        sendAcceptedJob("o1");
        advance(DEADLINE_MICROS);
        runTurn();
        assertFinished("finished o1 0 TIMEOUT false");
    }
}
