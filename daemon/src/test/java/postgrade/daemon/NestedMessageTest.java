package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/** Deeply nested JSON from each kind of peer, at a process whose threads have small stacks. */
public class NestedMessageTest extends DaemonTestBase {

    /** The library's own parser takes no more levels than 1,000. */
    private static final String NESTED = "[".repeat(998) + "]".repeat(998);

    /** Takes up most of the longest body. */
    private static final String NESTED_FOR_A_WHOLE_BODY = "[".repeat(32_000) + "]".repeat(32_000);

    private Map<String, String> environment;
    private String operator;
    private Process process;
    private BufferedReader log;

    @Before
    public void startProcessWithSmallStacks() throws Exception {
        listen = reserveAddress("127.0.0.91");
        environment = new HashMap<>(configuration(workerEntry("w1", workerOne.address(), "ready")));
        operator = reserveAddress("127.0.0.92");
        environment.put("ROUTER_OPERATOR", operator);
        environment.put("JAVA_TOOL_OPTIONS", "-Xss256k");
        process = startProcess(environment);
        log = process.errorReader();
        ProcessLog.awaitLine(log, " listens on ");
    }

    @After
    public void kill() {
        process.destroyForcibly();
    }

    @Override
    Socket connect() throws IOException {
        return connect(listen);
    }

    private Socket connect(String address) throws IOException {
        String[] hostAndPort = address.split(":");
        Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
        socket.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(socket);
        return socket;
    }

    private static String done(String id, String result) {
        return "{\"id\":\""
                + id
                + "\",\"from\":\"w1\",\"state\":\"done\",\"result\":"
                + result
                + "}";
    }

    /** Guards against the end of the process by a bad client, which left all jobs unanswered. */
    @Test
    public void nestedCallBackOfABadClientCostsNoOtherClientItsAnswer() throws Exception {
        Socket client = post("n1", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
        assertEquals(204, callBack(done("unknown", NESTED)));
        assertEquals(204, callBack(done("unknown", NESTED_FOR_A_WHOLE_BODY)));
        assertEquals(400, callBack("[".repeat(60_000)));
        assertEquals(400, callBack("{\"id\":" + NESTED_FOR_A_WHOLE_BODY + "}"));
        assertEquals(204, callBack(done("n1", "\"made\"")));
        assertEquals("made", ScriptedPeer.read(client).body());
    }

    /** Guards against a limit on nesting that would cost a sound worker its result. */
    @Test
    public void nestedResultOfASoundWorkerIsDeliveredWhole() throws Exception {
        Socket client = post("n2", "price", "15000m");
        workerOne.awaitMessage("POST").accept();
        assertEquals(204, callBack(done("n2", NESTED_FOR_A_WHOLE_BODY)));
        ReceivedMessage answer = ScriptedPeer.read(client);
        assertEquals(200, answer.status());
        assertEquals(NESTED_FOR_A_WHOLE_BODY, answer.body());
    }

    /** Guards against the end of the process by an operator's call that holds a nested value. */
    @Test
    public void nestedOperatorCallIsRejected() throws Exception {
        for (String nested : new String[] {NESTED, NESTED_FOR_A_WHOLE_BODY}) {
            String body = "{\"id\":" + nested + "}";
            Socket caller = connect(operator);
            ScriptedPeer.write(
                    caller,
                    "PUT /maintenance/enter HTTP/1.1\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
            assertEquals(400, ScriptedPeer.read(caller).status());
        }
        assertEquals(200, readinessStatus());
    }

    /** Guards against the end of the process by a list of discovery that holds a nested value. */
    @Test
    public void nestedValueInAListOfDiscoveryIsReadOver() throws Exception {
        answerWatch(
                workerListJson(
                                42,
                                true,
                                workerEntry("w1", workerOne.address(), "ready"),
                                "{'id':['nested']}",
                                workerEntry("w2", workerTwo.address(), "ready"))
                        .replace("[\"nested\"]", NESTED_FOR_A_WHOLE_BODY));
        ProcessLog.awaitLine(log, "1 invalid entries skipped");
        ProcessLog.awaitLine(log, "worker w2 ready");
    }

    /** Guards against the end of the process as it reads a nested configuration again. */
    @Test
    public void nestedMemberOfAConfigurationIsReadOver() throws Exception {
        Path file = Path.of(environment.get("ROUTER_CONFIG"));
        String text = Files.readString(file);
        Files.writeString(file, text.replace("\"name\":", "\"further\":" + NESTED + ",\"name\":"));
        discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor());
        ProcessLog.awaitLine(log, "configuration read again");
        assertEquals(200, readinessStatus());
    }
}
