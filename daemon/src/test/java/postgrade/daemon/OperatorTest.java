package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/** What operators call for, and what the dispatcher does then. */
public class OperatorTest extends DaemonTestBase {

    @Before
    public void withOperators() {
        withOperatorPort = true;
    }

    private Socket operator() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), daemon.operatorPort());
        s.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(s);
        return s;
    }

    private ReceivedMessage call(String line, String body) throws IOException {
        return operatorCall(daemon, line, body);
    }

    private int out(String id) throws IOException {
        return call("PUT /maintenance/enter", "{\"id\":\"" + id + "\"}").status();
    }

    private int back(String id) throws IOException {
        return call("PUT /maintenance/exit", "{\"id\":\"" + id + "\"}").status();
    }

    private static void refused(ReceivedMessage answer, int status, String text) {
        assertEquals(answer.body(), status, answer.status());
        assertTrue(answer.body(), answer.body().contains(text));
    }

    @Test
    public void aNoSaysWhatWasWrongAndChangesNothing() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        refused(call("GET /nowhere", ""), 404, "no call /nowhere");
        ReceivedMessage wrong = call("POST /standby", "");
        refused(wrong, 405, "PUT, not POST");
        assertEquals("PUT", wrong.header("Allow"));
        refused(call("PUT /maintenance/enter", "{\"id\":"), 400, "not JSON");
        refused(call("PUT /maintenance/enter", "{\"name\":\"w1\"}"), 400, "id as a string");
        refused(call("PUT /maintenance/enter", "{\"id\":7}"), 400, "id as a string");
        refused(call("PUT /maintenance/exit", "[]"), 400, "id as a string");
        refused(call("PUT /maintenance/enter", "{\"id\":\"w9\"}"), 404, "no worker w9");
        refused(call("nonsense", ""), 400, "start line");
        assertEquals("it has started by this answer", 200, readinessStatus());
        ReceivedMessage status = call("GET /status", "");
        assertEquals(200, status.status());
        assertEquals("{\"state\":\"active\",\"workers\":1,\"out\":[]}\n", status.body());
        assertEquals(200, readinessStatus());
    }

    @Test
    public void aWorkerTakenOutGetsNothingWhateverIsListedUntilItIsPutBackAndThenIsTried()
            throws Exception {
        startWithScriptedPolicy(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        assertEquals(200, out("w1"));
        assertEquals(200, out("w1"));
        script.expectEvent("list DELTA [w1 DRAINING]");
        ReceivedMessage watch = discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(
                watch, workerListJson(42, false, workerEntry("w1", workerOne.address(), "gone")));
        script.expectEvent("list DELTA [w1 GONE]");
        writeChunk(
                watch,
                workerListJson(
                        43,
                        true,
                        workerEntry("w1", workerOne.address(), "ready"),
                        workerEntry("w2", workerTwo.address(), "ready")));
        script.expectEvent("list FULL [w1 DRAINING, w2 READY]");
        script.onJob = job -> script.actions.startAttempt(job.id(), "w1", 0);
        post("m1", "price", "15000m");
        script.expectEvent("job m1");
        script.expectEvent("finished m1 0 NOT_SENT false");
        assertTrue(call("GET /status", "").body().contains("\"out\":[\"w1\"]"));
        assertEquals(200, back("w1"));
        script.expectEvent("list DELTA [w1 READY]");
        script.expectEvent("recalled w1");
        assertEquals("not out, and no harm", 200, back("w1"));
        post("m2", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
    }

    @Test
    public void callsAndJobsCutAtAnyByteAreTaken() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        String text =
                "PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 11\r\n\r\n{\"id\":\"w9\"}";
        for (int cut = 1; cut < text.length(); cut++) {
            Socket s = operator();
            s.setTcpNoDelay(true);
            ScriptedPeer.write(s, text.substring(0, cut));
            ScriptedPeer.write(s, text.substring(cut));
            assertEquals("cut at " + cut, 404, ScriptedPeer.read(s).status());
        }
        String job =
                "POST /api HTTP/1.1\r\nX-Request-Id: ID\r\nX-Class: price\r\nContent-Length: 3\r\n\r\njob";
        Socket s = connect();
        s.setTcpNoDelay(true);
        for (int cut = 1; cut < job.length(); cut++) {
            String id = "" + (100 + cut);
            String mine = job.replace("ID", id);
            ScriptedPeer.write(s, mine.substring(0, cut));
            ScriptedPeer.write(s, mine.substring(cut));
            workerOne.awaitMessage("POST").accept();
            callBack(id, "w1", "done");
            assertEquals("cut at " + cut, 200, ScriptedPeer.read(s).status());
        }
    }

    @Test
    public void callersWhoSitThereWithNothingOrHalfACallKeepNobodyWaiting() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        Socket first = operator();
        for (int i = 0; i < 40; i++) {
            ScriptedPeer.write(operator(), i % 2 == 0 ? "" : "PUT /standby HTTP/1.1\r\nContent-Le");
        }
        assertEquals("it has started by this answer", 200, readinessStatus());
        assertEquals(200, call("GET /status", "").status());
        assertEquals("who came first goes first", -1, first.getInputStream().read());
        assertEquals(200, readinessStatus());
    }

    @Test
    public void inStandbyConsumersAreTurnedAwayCallBacksAreTakenAndActiveTakesConsumersAgain()
            throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        Socket idle = post("d1", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
        callBack("d1", "w1", "done");
        ReceivedMessage kept = ScriptedPeer.read(idle);
        assertNull(kept.header("Connection"));
        Socket busy = post("d2", "confirm", "15000m");
        workerOne.awaitMessage("POST").accept();
        assertEquals(200, call("PUT /standby", "").status());
        assertEquals(503, readinessStatus());
        assertEquals(503, call("GET /status", "").status());
        Socket late = post("d3", "price", "15000m"); // The front does not know yet.
        workerOne.awaitMessage("POST").accept();
        assertEquals("closed, as nobody may be held idle", -1, idle.getInputStream().read());
        assertEquals(200, call("PUT /standby", "").status());
        assertEquals(204, callBack("d2", "w1", "done"));
        assertEquals(204, callBack("d3", "w1", "done"));
        ReceivedMessage answer = ScriptedPeer.read(late);
        assertEquals(200, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertEquals("close", ScriptedPeer.read(busy).header("Connection"));
        assertEquals(200, call("PUT /active", "").status());
        assertEquals(200, readinessStatus());
        assertEquals(200, call("GET /status", "").status());
        Socket again = post("d4", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
        callBack("d4", "w1", "done");
        assertNull(ScriptedPeer.read(again).header("Connection"));
    }

    @Test
    public void aStopInStandbyEndsTheProcessAndNoCallUndoesIt() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        Socket open = post("e1", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
        assertEquals(200, call("PUT /standby", "").status());
        Thread stop = stopInBackground(daemon);
        while (!call("GET /status", "").body().contains("stopping")) {
            Thread.onSpinWait();
        }
        refused(call("PUT /active", ""), 503, "stopping");
        callBack("e1", "w1", "done");
        assertEquals(200, ScriptedPeer.read(open).status());
        awaitStopped(stop);
    }
}
