package postgrade.rig.shared;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.util.Set;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import postgrade.fleet.Clock;
import postgrade.rig.KeptFolder;
import postgrade.rig.serve.OperatorCall;

/**
 * Checks reservations made by operators' calls to complete dispatchers when the leader dies or is
 * paused, and under a partition.
 */
public class ReservationsTest {

    private static final long TTL_MILLIS = 3000;

    /**
     * For a reservation whose renewals wait for a new leader; on a busy machine an election may
     * need several attempts.
     */
    private static final long PAUSE_TTL_MILLIS = 8000;

    @Rule public final KeptFolder folder = new KeptFolder("reservations");
    private SharedStateCluster cluster;

    @Before
    public void open() throws IOException, InterruptedException {
        cluster =
                new SharedStateCluster(
                        folder.path(),
                        "accelerators = {\"planner\": 2}\nreserving = [\"route-plan\"]\n",
                        ", accelerators = 2",
                        "slot-check");
    }

    @After
    public void close() throws IOException {
        if (cluster != null) {
            cluster.close();
        }
    }

    private static JsonObject holder(String name) {
        return new JsonObject().add("holder", name).add("site", "hall-b");
    }

    /** Requests all six accelerators of the site. */
    private OperatorCall.Answer acquire(String dispatcher, String name, long ttlMs)
            throws InterruptedException {
        return cluster.callUntilDecided(
                "PUT",
                dispatcher,
                "/reservations/acquire",
                holder(name).add("accelerators", 6).add("ttlMs", ttlMs));
    }

    private OperatorCall.Answer acquire(String dispatcher, String name)
            throws InterruptedException {
        return acquire(dispatcher, name, TTL_MILLIS);
    }

    private OperatorCall.Answer renew(String dispatcher, String name, String fence)
            throws InterruptedException {
        return cluster.callUntilDecided(
                "PUT", dispatcher, "/reservations/renew", holder(name).add("fence", fence));
    }

    private static String fence(OperatorCall.Answer a) {
        return a.json().get("fence") == null
                ? ""
                : a.json().get("fence").toString().replace("\"", "");
    }

    /**
     * Retries until granted: dispatchers register the site's accelerators in the shared state some
     * time after they start.
     */
    private OperatorCall.Answer acquireOnceRegistered(String dispatcher, String name, long ttlMs)
            throws InterruptedException {
        long deadlineMicros = Clock.micros() + SharedStateCluster.TIMEOUT_MILLIS * 1000;
        OperatorCall.Answer answer;
        do {
            answer = acquire(dispatcher, name, ttlMs);
        } while (answer.status() != 200 && Clock.micros() < deadlineMicros);
        assertEquals(answer.toString(), "granted", answer.json().getString("state", ""));
        return answer;
    }

    @Test
    public void deadHoldersReservationExpiresAcrossLeaderDeathAndNextIsGranted()
            throws IOException, InterruptedException {
        String firstFence = fence(acquireOnceRegistered("n4", "one", TTL_MILLIS));
        // Taken before the renewal is sent, so that it was decided later than this.
        long renewedMicros = Clock.micros();
        assertEquals(200, renew("n4", "one", firstFence).status());
        assertEquals("waiting", acquire("n4", "two").json().getString("state", ""));
        String leader = cluster.leader("n4");
        cluster.kill(leader);
        String dispatcher = SharedStateCluster.otherVoter(leader);
        OperatorCall.Answer granted;
        do {
            granted = acquire(dispatcher, "two");
            assertEquals(granted.toString(), 200, granted.status());
        } while (!granted.json().getString("state", "").equals("granted")
                && Clock.micros() < renewedMicros + SharedStateCluster.TIMEOUT_MILLIS * 1000);
        assertEquals(granted.toString(), "granted", granted.json().getString("state", ""));
        long earliestMicros = renewedMicros + TTL_MILLIS * 1000 * 97 / 100;
        assertTrue(
                "granted " + (Clock.micros() - renewedMicros) / 1000 + " ms after the last renewal",
                Clock.micros() > earliestMicros);
        assertTrue(Long.parseLong(fence(granted)) > Long.parseLong(firstFence));
        assertNotEquals(200, renew(dispatcher, "one", firstFence).status());
        cluster.awaitReservationGone("one", dispatcher);
    }

    @Test
    public void renewedReservationSurvivesPausedLeader() throws IOException, InterruptedException {
        String firstFence = fence(acquireOnceRegistered("n4", "one", PAUSE_TTL_MILLIS));
        String leader = cluster.leader("n4");
        cluster.dispatchers.cluster().process(leader).stop();
        long deadlineMicros = Clock.micros() + 2 * PAUSE_TTL_MILLIS * 1000;
        while (Clock.micros() < deadlineMicros) {
            OperatorCall.Answer a = renew("n4", "one", firstFence);
            assertEquals(a.toString(), 200, a.status());
        }
        cluster.dispatchers.cluster().process(leader).resume();
        OperatorCall.Answer second = acquire(leader, "two");
        assertEquals(second.toString(), "waiting", second.json().getString("state", ""));
        assertEquals(firstFence, fence(renew(leader, "one", firstFence)));
    }

    @Test
    public void isolatedDispatcherDecidesNothingAndRepeatedCallTakesEffectOnce()
            throws IOException, InterruptedException {
        String initialFence =
                fence(acquireOnceRegistered("n1", "zero", SharedStateCluster.TIMEOUT_MILLIS));
        cluster.dispatchers.cluster().mesh().isolate(Set.of("n4"));
        String body =
                holder("one")
                        .add("accelerators", 2)
                        .add("ttlMs", 30_000)
                        .add("requestId", "same")
                        .toString();
        OperatorCall.Answer isolatedAnswer =
                cluster.dispatchers.awaitAnswer(
                        "refusal",
                        "PUT",
                        "n4",
                        "/reservations/acquire",
                        body,
                        SharedStateCluster.TIMEOUT_MILLIS,
                        a -> a.status() == 503);
        assertTrue(isolatedAnswer.toString(), !isolatedAnswer.retryAfter().isEmpty());
        OperatorCall.Answer majorityAnswer =
                cluster.dispatchers.awaitAnswer(
                        "decision",
                        "PUT",
                        "n1",
                        "/reservations/acquire",
                        body,
                        SharedStateCluster.TIMEOUT_MILLIS,
                        a -> a.status() == 200);
        assertEquals(
                majorityAnswer.toString(), "waiting", majorityAnswer.json().getString("state", ""));
        // The reservation is granted before the call is repeated: if the call took effect twice,
        // the second answer would differ from the first.
        assertEquals(
                200,
                cluster.callUntilDecided(
                                "PUT",
                                "n1",
                                "/reservations/release",
                                holder("zero").add("fence", initialFence))
                        .status());
        cluster.dispatchers.awaitAnswer(
                "grant",
                "GET",
                "n1",
                "/reservations",
                null,
                SharedStateCluster.TIMEOUT_MILLIS,
                a ->
                        a.status() == 200
                                && a.json().get("reservations").asArray().values().stream()
                                        .anyMatch(
                                                r ->
                                                        r.asObject()
                                                                        .getString("holder", "")
                                                                        .equals("one")
                                                                && r.asObject().get("fence")
                                                                        != null));
        cluster.dispatchers.cluster().mesh().heal();
        OperatorCall.Answer repeatedAnswer =
                cluster.dispatchers.awaitAnswer(
                        "decision",
                        "PUT",
                        "n4",
                        "/reservations/acquire",
                        body,
                        SharedStateCluster.TIMEOUT_MILLIS,
                        a -> a.status() != 503);
        assertEquals(majorityAnswer.json().get("state"), repeatedAnswer.json().get("state"));
        assertEquals(majorityAnswer.json().get("place"), repeatedAnswer.json().get("place"));
    }
}
