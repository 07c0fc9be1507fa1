package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import postgrade.daemon.Peer.Arrived;
import postgrade.dispatch.ReportedState;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;

/**
 * An attempt has ended only when something says so that names it. Each sign that does not is here,
 * with what the worker is asked before the policy hears.
 */
public class EndProofTest extends AttemptStage {

    private static final String FULL = answer("503 Full\r\nX-Not-Run: 1");

    public EndProofTest() throws IOException {}

    private static String answer(String status) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
    }

    private Arrived delete(Socket on, String id) throws IOException {
        Arrived delete = request(on);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/" + id + " "));
        return delete;
    }

    private void confirms(Arrived delete) throws IOException {
        hand.runAndServe(() -> delete.reply("204 No Content", ""));
        turn();
    }

    private void breaks(Socket worker) throws IOException {
        hand.runAndServe(
                () -> {
                    worker.setSoLinger(true, 0);
                    worker.close();
                });
        turn();
    }

    /** The connections of jobs that were served before, which have rested since. */
    private List<Socket> usedBefore(String... ids) throws IOException {
        List<Socket> workers = new ArrayList<>();
        for (String id : ids) {
            workers.add(untaken(id));
        }
        for (int i = 0; i < ids.length; i++) {
            says(workers.get(i), TAKEN);
            reports(ids[i], "w1", ReportedState.DONE);
        }
        turn();
        pass(20 * MILLI);
        script.heard.clear();
        answers.clear();
        return workers;
    }

    private Socket usedBefore(String id) throws IOException {
        return usedBefore(new String[] {id}).get(0);
    }

    private Socket sentOn(Socket worker, String id) throws IOException {
        open(id);
        turn();
        assertEquals(id, request(worker).header("X-Request-Id"));
        return worker;
    }

    @Test
    public void aResetBeforeAnyAnswerIsFollowedByADelete() throws Exception {
        Socket worker = untaken("a1");
        breaks(worker);
        hasHeard();
        confirmsCancellation("a1");
        hasHeard("finished a1 0 RESET false");
    }

    @Test
    public void soIsAnOrderlyEndBeforeAnyAnswer() throws Exception {
        Socket worker = untaken("a2");
        hand.runAndServe(worker::close);
        turn();
        hasHeard();
        confirmsCancellation("a2");
        hasHeard("finished a2 0 RESET false");
    }

    /** The 202 went with the connection, and the job runs. */
    @Test
    public void aCallBackAfterAResetIsTheJobsEnd() throws Exception {
        Socket worker = untaken("a3");
        breaks(worker);
        delete(accept(one), "a3");
        reports("a3", "w1", ReportedState.STARTED);
        reports("a3", "w1", ReportedState.DONE);
        turn();
        hasHeard("finished a3 0 SERVED true");
        assertTrue(pools.quiet());
    }

    @Test
    public void anAnswerOnANewConnectionIsTheJobs() throws Exception {
        Socket worker = untaken("b1");
        says(worker, FULL);
        turn();
        hasHeard("finished b1 0 FULL false");
    }

    /** Answers come in order: that to the DELETE shows that the job had been answered before. */
    @Test
    public void anAnswerOnAConnectionUsedBeforeHoldsOnceADeleteBehindItIsAnswered()
            throws Exception {
        List<Socket> workers = usedBefore("c0", "c1");
        sentOn(workers.get(1), "c2");
        says(workers.get(1), FULL);
        turn();
        pass(20 * MILLI - 1);
        assertEquals("nothing on the other connection", 0, available(workers.get(0)));
        hasHeard();
        pass(1);
        confirms(delete(workers.get(1), "c2"));
        pass(20 * MILLI - 1);
        hasHeard();
        pass(1);
        hasHeard("finished c2 0 FULL false");
    }

    /** It was the exchange before's: the worker has the job, and may have begun it. */
    @Test
    public void anAnswerThatAnotherFollowsIsNotBelieved() throws Exception {
        Socket worker = sentOn(usedBefore("d0"), "d1");
        says(worker, FULL);
        turn();
        says(worker, TAKEN);
        turn();
        pass(50 * MILLI);
        hasHeard();
        confirms(delete(accept(one), "d1"));
        hasHeard("finished d1 0 RESET false");
    }

    @Test
    public void norIsOneThatAnotherFollowsInThePlaceOfTheDeletes() throws Exception {
        Socket worker = sentOn(usedBefore("d2"), "d3");
        says(worker, FULL);
        turn();
        pass(20 * MILLI);
        delete(worker, "d3");
        says(worker, TAKEN);
        turn();
        hasHeard();
        pass(50 * MILLI);
        confirms(delete(worker, "d3"));
        hasHeard("finished d3 0 RESET false");
    }

    /** The worker has answered out of order, and has the job. */
    @Test
    public void norIsOneThatAnotherFollowsBehindTheDeletes() throws Exception {
        Socket worker = sentOn(usedBefore("d6"), "d7");
        says(worker, FULL);
        turn();
        pass(20 * MILLI);
        confirms(delete(worker, "d7"));
        says(worker, TAKEN);
        turn();
        pass(20 * MILLI);
        hasHeard();
        confirms(delete(accept(one), "d7"));
        hasHeard("finished d7 0 RESET false");
    }

    /** Guards against a DELETE that goes out after the end and ends a later attempt there. */
    @Test
    public void aDeleteBehindTheJobIsNotWrittenOnceACallBackHasEndedTheAttempt() throws Exception {
        Socket worker = sentOn(usedBefore("q0"), "q1");
        says(worker, FULL);
        turn();
        reports("q1", "w1", ReportedState.DONE);
        turn();
        hasHeard("finished q1 0 SERVED true");
        pass(20 * MILLI);
        assertEquals("nothing behind the job", 0, available(worker));
        sentOn(worker, "q2");
    }

    /** The same for one that waits for a connection when another is to follow the job. */
    @Test
    public void norIsOneThatWaitedForItsConnectionBeforeThat() throws Exception {
        Socket worker = sentOn(usedBefore("r0"), "r1");
        script.out.cancelAttempt("r1", 0);
        gateway.runBatch(); // Its connection comes up only at the end of a turn.
        says(worker, FULL);
        int[] selections = {0};
        hand.serveUntil(() -> ++selections[0] > 5); // Both the answer and the connection are there.
        reports("r1", "w1", ReportedState.DONE);
        turn();
        pass(20 * MILLI);
        assertEquals("nothing behind the job", 0, available(worker));
        assertEquals("nothing beside it", 0, available(accept(one)));
    }

    /** Its repeat would take the place of the one that follows the job, whose answer counts. */
    @Test
    public void aDeleteThatIsRefusedIsNotRepeatedOnceAnotherFollowsTheJob() throws Exception {
        Socket worker = sentOn(usedBefore("s0"), "s1");
        script.out.cancelAttempt("s1", 0);
        turn();
        Arrived early = delete(accept(one), "s1");
        hand.runAndServe(() -> early.reply("503 Busy", ""));
        turn();
        pass(45 * MILLI);
        says(worker, FULL);
        turn();
        pass(20 * MILLI);
        confirms(delete(worker, "s1"));
        pass(20 * MILLI);
        hasHeard("finished s1 0 CANCELLED false");
    }

    /** It cannot have been turned away unstarted. */
    @Test
    public void norIsOneOfAJobThatIsReportedStarted() throws Exception {
        Socket worker = sentOn(usedBefore("d4"), "d5");
        says(worker, FULL);
        turn();
        reports("d5", "w1", ReportedState.STARTED);
        turn();
        pass(20 * MILLI);
        confirms(delete(worker, "d5"));
        pass(20 * MILLI);
        hasHeard("finished d5 0 RESET false");
    }

    /** The one behind a cancelled job tells as well what became of it. */
    @Test
    public void anAnswerWhileTheJobIsCancelledHasTheDeleteFollowItToo() throws Exception {
        Socket worker = sentOn(usedBefore("j0"), "j1");
        script.out.cancelAttempt("j1", 0);
        turn();
        Arrived early = delete(accept(one), "j1");
        says(worker, FULL);
        turn();
        confirms(early);
        hasHeard();
        pass(20 * MILLI);
        confirms(delete(worker, "j1"));
        pass(20 * MILLI);
        hasHeard("finished j1 0 CANCELLED false");
    }

    @Test
    public void norIsOneThatAnotherFollowsAtOnce() throws Exception {
        Socket worker = sentOn(usedBefore("e0"), "e1");
        says(worker, FULL + TAKEN);
        turn();
        hasHeard();
        confirms(delete(accept(one), "e1"));
        hasHeard("finished e1 0 RESET false");
    }

    @Test
    public void aRequestThatAWorkerCannotUseIsDroppedThereFirstOnAConnectionUsedBefore()
            throws Exception {
        Socket worker = sentOn(usedBefore("f0"), "f1");
        says(worker, answer("400 Bad"));
        turn();
        assertEquals(List.of(), answers);
        pass(20 * MILLI);
        confirms(delete(worker, "f1"));
        pass(20 * MILLI);
        hasHeard("finished f1 0 CANCELLED true");
        assertEquals(List.of("f1 failed"), answers);
    }

    /** Another exchange's answer, or the refusal to drop the job. */
    @Test
    public void anAnswerToADeleteThatIsNoneHasItSentAgain() throws Exception {
        for (String status : List.of("202 Accepted", "500 Error", "503 Busy", "409 Conflict")) {
            String id = "g" + status.substring(0, 3);
            script.heard.clear();
            Socket worker = untaken(id);
            breaks(worker);
            Arrived refused = delete(accept(one), id);
            hand.runAndServe(() -> refused.reply(status, ""));
            turn();
            pass(50 * MILLI);
            hasHeard();
            confirms(delete(refused.socket(), id));
            hasHeard("finished " + id + " 0 RESET false");
            pools.list(true, List.of());
            list(target("w1", one, true));
        }
    }

    /** What it does not know it does not run, and cannot get any more. */
    @Test
    public void aWorkerThatDoesNotKnowTheJobHasDroppedIt() throws Exception {
        Socket worker = untaken("h1");
        breaks(worker);
        Arrived delete = delete(accept(one), "h1");
        hand.runAndServe(() -> delete.reply("404 Unknown", ""));
        turn();
        hasHeard("finished h1 0 RESET false");
    }

    /** Its 202 may be on its way just then: it speaks, on other connections. */
    @Test
    public void aCloseBeforeTheAnswerIsNotEnoughAtAWorkerThatHasSpokenSince() throws Exception {
        Socket other = untaken("i0");
        Socket worker = untaken("i1");
        pass(1);
        says(other, TAKEN);
        script.out.cancelAttempt("i1", 0);
        turn();
        pass(20 * MILLI);
        confirms(delete(other, "i1"));
        hasHeard();
        pass(80 * MILLI);
        assertEquals("closed", -1, worker.getInputStream().read());
        hasHeard();
        confirms(delete(other, "i1"));
        hasHeard("finished i1 0 CANCELLED false");
    }

    /** Nor does a 202 there say by itself that the worker has this job. */
    @Test
    public void a202OnAConnectionUsedBeforeCountsOnceTheConnectionHasRested() throws Exception {
        List<Socket> workers = usedBefore("p0", "p1");
        sentOn(workers.get(1), "p2");
        says(workers.get(1), TAKEN);
        script.out.cancelAttempt("p2", 0);
        turn();
        confirms(delete(workers.get(0), "p2"));
        hasHeard();
        pass(20 * MILLI);
        confirms(delete(workers.get(0), "p2"));
        hasHeard("finished p2 0 CANCELLED false");
    }

    /** It names the worker and the request, and an earlier attempt of it there. */
    @Test
    public void aRepeatedCallBackOfAnEarlierAttemptThereHasThisOneCancelledFirst()
            throws Exception {
        Socket worker = taken("k1");
        reports("k1", "w1", ReportedState.RETURNED);
        turn();
        hasHeard("finished k1 0 FULL false");
        script.out.startAttempt("k1", "w1", 0);
        turn();
        pass(20 * MILLI);
        assertEquals("k1", request(worker).header("X-Request-Id"));
        says(worker, TAKEN);
        pass(20 * MILLI);
        reports("k1", "w1", ReportedState.RETURNED);
        turn();
        hasHeard("finished k1 0 FULL false");
        confirms(delete(worker, "k1"));
        hasHeard("finished k1 0 FULL false", "finished k1 1 RESET false");
    }

    /** A call-back of another worker, or of another request, names something else. */
    @Test
    public void aStrangersCallBackEndsNothing() throws Exception {
        taken("l1");
        reports("l1", "w2", ReportedState.FAILED);
        reports("l2", "w1", ReportedState.FAILED);
        turn();
        hasHeard();
    }

    /** What the new settings allow is for requests to come. */
    @Test
    public void newSettingsLeaveARequestsAttemptsAsTheyAre() throws Exception {
        taken("m1");
        PolicySettings.Builder settings = PolicySettings.builder();
        settings.classes(List.of(JobClass.of("price", Idempotency.IDEMPOTENT)));
        settings.allowsConcurrentAttempts(true);
        gateway.settingsChanged(settings.build(), 100);
        script.out.startAttempt("m1", "w2", 0);
        turn();
        turn();
        hasHeard("finished m1 1 NOT_SENT false");
    }

    @Test
    public void aRefusedConnectProvesThatTheJobNeverRan() throws Exception {
        one.close();
        open("n1");
        turn();
        hand.runAndServe(() -> {});
        turn();
        hasHeard("finished n1 0 UNREACHABLE false");
    }

    /** The client's time is over, so nothing is sent again, whatever became of the job. */
    @Test
    public void theDeadlineEndsIt() throws Exception {
        taken("o1");
        pass(DEADLINE);
        turn();
        hasHeard("finished o1 0 TIMEOUT false");
    }
}
