package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.Before;
import org.junit.Test;
import postgrade.dispatch.ReportedState;
import postgrade.dispatch.RequestObserver;

/**
 * One client sends small requests on one connection at full speed. Guards against late answers to
 * other clients.
 */
public class RequestFloodTest extends LoopHarnessTestBase {

    private static final int REQUESTS = 1500;
    private static final int MAX_REQUESTS_PER_TURN = 16;

    @Before
    public void startHarness() throws Exception {
        harness = new LoopHarness(Config.read(configuration()), 1024);
    }

    /** Returns how many bytes the flooding client is answered before another one's job is seen. */
    private int bytesAnsweredBeforeOthers(String request) throws Exception {
        Socket flooder = harness.connect();
        Socket other = harness.connect();
        ScriptedPeer.write(other, "GET /-/ready HTTP/1.1\r\n\r\n");
        ScriptedPeer.read(other);
        int[] answered = new int[1];
        harness.script.onJob =
                job -> {
                    answered[0] = AttemptTestBase.availableBytes(flooder);
                    harness.script.actions.fail(job.id());
                };
        harness.interleave(
                0,
                () -> {
                    ScriptedPeer.write(flooder, request.repeat(REQUESTS));
                    LoopHarness.post(other, "usual");
                },
                () -> {});
        assertEquals(429, ScriptedPeer.read(other).status());
        return answered[0];
    }

    private int answerLength(String request) throws Exception {
        Socket client = harness.connect();
        ScriptedPeer.write(client, request);
        ScriptedPeer.ReceivedMessage answer = ScriptedPeer.read(client);
        return answer.head().length() + answer.body().length();
    }

    private void assertOthersAreServedInTurn(String request) throws Exception {
        int limit = MAX_REQUESTS_PER_TURN * answerLength(request);
        int answered = bytesAnsweredBeforeOthers(request);
        assertTrue(answered + " bytes were answered before", answered <= limit);
    }

    @Test
    public void othersAreServedBetweenManyValidRequestsOfOneClient() throws Exception {
        assertOthersAreServedInTurn("GET /-/ready HTTP/1.1\r\n\r\n");
    }

    @Test
    public void othersAreServedBetweenManyInvalidRequestsOfOneClient() throws Exception {
        assertOthersAreServedInTurn("GET /nothing HTTP/1.1\r\n\r\n");
    }

    /** The sweep of the listener handles what was left as well, and must not add to a turn. */
    @Test
    public void noTurnHandlesMoreWhenConnectionsAreSwept() throws Exception {
        Map<Long, Integer> reportsByTurn = new ConcurrentHashMap<>();
        harness.runOnLoop(
                () ->
                        harness.tracker.observer(
                                new RequestObserver() {
                                    @Override
                                    public void reportUnmatched(
                                            String request, String worker, ReportedState state) {
                                        reportsByTurn.merge(
                                                harness.loop.nowMicros(), 1, Integer::sum);
                                    }
                                }));
        Socket flooder = harness.connect();
        ScriptedPeer.write(flooder, callBackRequest("unknown", "w1", "done").repeat(REQUESTS));
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(204, ScriptedPeer.read(flooder).status());
        }
        int most = Collections.max(reportsByTurn.values());
        assertTrue(most + " requests were handled in a turn", most <= MAX_REQUESTS_PER_TURN);
    }

    /** All of them are answered, although they are handled over many turns. */
    @Test
    public void everyRequestSentAheadIsAnswered() throws Exception {
        Socket client = harness.connect();
        ScriptedPeer.write(client, "GET /-/ready HTTP/1.1\r\n\r\n".repeat(REQUESTS));
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, ScriptedPeer.read(client).status());
        }
    }
}
