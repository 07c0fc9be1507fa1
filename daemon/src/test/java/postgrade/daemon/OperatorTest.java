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

/** The operators' calls and their effect on the dispatcher. */
public class OperatorTest extends DaemonTestBase {

    @Before
    public void enableOperators() {
        withOperatorPort = true;
    }

    private Socket connectOperator() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), daemon.operatorPort());
        s.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(s);
        return s;
    }

    private ReceivedMessage call(String line, String body) throws IOException {
        return operatorCall(daemon, line, body);
    }

    private int enterMaintenance(String id) throws IOException {
        return call("PUT /maintenance/enter", "{\"id\":\"" + id + "\"}").status();
    }

    private int exitMaintenance(String id) throws IOException {
        return call("PUT /maintenance/exit", "{\"id\":\"" + id + "\"}").status();
    }

    private static void assertRefused(ReceivedMessage answer, int status, String fragment) {
        assertEquals(answer.body(), status, answer.status());
        assertTrue(answer.body(), answer.body().contains(fragment));
    }

    @Test
    public void refusalNamesTheProblemAndChangesNothing() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        assertRefused(call("GET /nowhere", ""), 404, "no call /nowhere");
        ReceivedMessage wrong = call("POST /standby", "");
        assertRefused(wrong, 405, "PUT, not POST");
        assertEquals("PUT", wrong.header("Allow"));
        assertRefused(call("PUT /maintenance/enter", "{\"id\":"), 400, "not JSON");
        assertRefused(call("PUT /maintenance/enter", "{\"name\":\"w1\"}"), 400, "id as a string");
        assertRefused(call("PUT /maintenance/enter", "{\"id\":7}"), 400, "id as a string");
        assertRefused(call("PUT /maintenance/exit", "[]"), 400, "id as a string");
        assertRefused(call("PUT /maintenance/enter", "{\"id\":\"w9\"}"), 404, "no worker w9");
        assertRefused(call("nonsense", ""), 400, "start line");
        assertEquals("the dispatcher has started by this answer", 200, readinessStatus());
        ReceivedMessage status = call("GET /status", "");
        assertEquals(200, status.status());
        assertEquals("{\"state\":\"active\",\"workers\":1,\"out\":[]}\n", status.body());
        assertEquals(200, readinessStatus());
    }

    @Test
    public void workerInMaintenanceGetsNoJobsWhateverIsListedUntilItIsTakenOutOfIt()
            throws Exception {
        startWithScriptedPolicy(
                workerEntry("w1", workerOne.address(), "ready"),
                workerEntry("w2", workerTwo.address(), "ready"));
        assertEquals(200, enterMaintenance("w1"));
        assertEquals(200, enterMaintenance("w1"));
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
        assertEquals(200, exitMaintenance("w1"));
        script.expectEvent("list DELTA [w1 READY]");
        script.expectEvent("recalled w1");
        assertEquals("not out, and no error", 200, exitMaintenance("w1"));
        post("m2", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
    }

    @Test
    public void callsAndJobsSplitAtAnyByteAreParsed() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        String text =
                "PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 11\r\n\r\n{\"id\":\"w9\"}";
        for (int splitAt = 1; splitAt < text.length(); splitAt++) {
            Socket s = connectOperator();
            s.setTcpNoDelay(true);
            ScriptedPeer.write(s, text.substring(0, splitAt));
            ScriptedPeer.write(s, text.substring(splitAt));
            assertEquals("cut at " + splitAt, 404, ScriptedPeer.read(s).status());
        }
        String job =
                "POST /api HTTP/1.1\r\nX-Request-Id: ID\r\nX-Class: price\r\nContent-Length: 3\r\n\r\njob";
        Socket s = connect();
        s.setTcpNoDelay(true);
        for (int splitAt = 1; splitAt < job.length(); splitAt++) {
            String id = "" + (100 + splitAt);
            String request = job.replace("ID", id);
            ScriptedPeer.write(s, request.substring(0, splitAt));
            ScriptedPeer.write(s, request.substring(splitAt));
            workerOne.awaitMessage("POST").accept();
            callBack(id, "w1", "done");
            assertEquals("cut at " + splitAt, 200, ScriptedPeer.read(s).status());
        }
    }

    @Test
    public void idleAndPartialCallersDoNotBlockOthers() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        Socket first = connectOperator();
        for (int i = 0; i < 40; i++) {
            ScriptedPeer.write(
                    connectOperator(), i % 2 == 0 ? "" : "PUT /standby HTTP/1.1\r\nContent-Le");
        }
        assertEquals("the dispatcher has started by this answer", 200, readinessStatus());
        assertEquals(200, call("GET /status", "").status());
        assertEquals(
                "the caller who came first is evicted first", -1, first.getInputStream().read());
        assertEquals(200, readinessStatus());
    }

    @Test
    public void standbyClosesClientConnectionsButTakesCallBacksAndActiveServesClientsAgain()
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
        Socket late = post("d3", "price", "15000m"); // The load balancer has not noticed yet.
        workerOne.awaitMessage("POST").accept();
        assertEquals("closed, as no idle connection may be held", -1, idle.getInputStream().read());
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
    public void stopInStandbyEndsTheProcessAndCannotBeUndone() throws Exception {
        startDaemon(workerEntry("w1", workerOne.address(), "ready"));
        Socket open = post("e1", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
        assertEquals(200, call("PUT /standby", "").status());
        Thread stop = stopInBackground(daemon);
        while (!call("GET /status", "").body().contains("stopping")) {
            Thread.onSpinWait();
        }
        assertRefused(call("PUT /active", ""), 503, "stopping");
        callBack("e1", "w1", "done");
        assertEquals(200, ScriptedPeer.read(open).status());
        awaitStopped(stop);
    }
}
