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
 * A call-back names the request and the worker but not the attempt. Guards against a job that runs
 * twice because a call-back about an earlier attempt is taken for one about a later attempt.
 */
public class StaleReportTest extends AttemptTestBase {

    public StaleReportTest() throws IOException {}

    private ReceivedMessage startAgain(String id) throws IOException {
        policy.actions.startAttempt(id, "w1", 0);
        runTurn();
        return awaitRequest(worker1);
    }

    private void confirmDeleteOn(Socket connection, String id) throws IOException {
        advance(20 * MILLI_MICROS);
        ReceivedMessage delete = awaitRequest(connection);
        assertTrue(delete.head(), delete.head().startsWith("DELETE /jobs/" + id + " "));
        loop.runAndServe(() -> delete.reply("204 No Content", ""));
        runTurn();
    }

    /** The attempt was ended by its call-back before its 202, and the 204 to that was lost. */
    @Test
    public void repeatedReportOfAnAttemptWithoutResponseDoesNotProveThatALaterOneNeverRan()
            throws Exception {
        sendJob("a1");
        report("a1", "w1", ReportedState.RETURNED);
        runTurn();
        assertFinished("finished a1 0 FULL false");
        Socket second = startAgain("a1").socket();
        respond(second, ACCEPTED);
        report("a1", "w1", ReportedState.RETURNED);
        runTurn();
        assertFinished("finished a1 0 FULL false");
        confirmDeleteOn(second, "a1");
        assertFinished("finished a1 0 FULL false", "finished a1 1 RESET false");
    }

    /** The later attempt still waits for its connection, so that no call-back can mean it. */
    @Test
    public void reportDoesNotEndAnAttemptThatIsNotWritten() throws Exception {
        sendJob("b1");
        report("b1", "w1", ReportedState.RETURNED);
        runTurn();
        policy.actions.startAttempt("b1", "w1", 0);
        runTurn();
        for (ReportedState state :
                List.of(ReportedState.STARTED, ReportedState.RETURNED, ReportedState.LOST)) {
            report("b1", "w1", state);
        }
        runTurn();
        assertFinished("finished b1 0 FULL false");
        assertEquals("b1", awaitRequest(worker1).header("X-Request-Id"));
        report("b1", "w1", ReportedState.DONE);
        assertEquals(List.of("b1 served"), answers);
    }

    /** The result is the answer, and the later attempt must not run on as if it had ended. */
    @Test
    public void resultThatMayBeOfAnEarlierAttemptCancelsTheLaterOne() throws Exception {
        sendJob("c1");
        report("c1", "w1", ReportedState.LOST);
        runTurn();
        Socket second = startAgain("c1").socket();
        respond(second, ACCEPTED);
        report("c1", "w1", ReportedState.DONE);
        runTurn();
        assertEquals(List.of("c1 served"), answers);
        assertFinished("finished c1 0 RESET false");
        confirmDeleteOn(second, "c1");
        assertFinished("finished c1 0 RESET false", "finished c1 1 CANCELLED true");
    }
}
