package postgrade.rig.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.rig.history.History;
import postgrade.rig.lease.LeaseCalls.Call;

/**
 * Checks reservations in real processes when the leader dies or is paused, or when a process is
 * isolated. Each test waits for the expected events instead of fixed times.
 */
class LeaseFaultsTest {

    /** For a grant that must expire. */
    private static final long SHORT_TTL_MILLIS = 2000;

    /** For a grant that is renewed: long enough for calls that a busy machine delays. */
    private static final long LONG_TTL_MILLIS = 15_000;

    /** For a grant that all processes must observe before it expires. */
    private static final long OBSERVED_TTL_MILLIS = 8000;

    private static final long TIMEOUT_MILLIS = 240_000;

    @TempDir Path folder;
    private History history;
    private LeaseCluster cluster;
    private LeaseCalls calls;
    private Thread renewer;
    private volatile boolean renewing;
    private volatile boolean renewalFailed;

    private void startCluster(String... properties) throws Exception {
        history = new History(folder.resolve("history.jsonl"));
        cluster = new LeaseCluster(folder, history, properties);
        cluster.start();
        calls = new LeaseCalls(cluster);
        assertTrue(
                calls.call("-", 0, 0, 0, "unit", "worker=w kind=box accelerators=4 version=1")
                        .done());
    }

    @AfterEach
    void closeCluster() throws Exception {
        cluster.close();
        history.close();
    }

    private Call acquire(String holder, int accelerators, long ttl) throws InterruptedException {
        return calls.call(
                holder,
                1,
                ttl,
                accelerators,
                "acquire",
                "accelerators=" + accelerators + " ttlMs=" + ttl + " wait=0");
    }

    /** Renews a grant repeatedly in a thread of its own until {@link #stopRenewing}. */
    private void startRenewing(Call grant) {
        renewing = true;
        renewer =
                new Thread(
                        () -> {
                            try {
                                while (renewing) {
                                    renewalFailed |=
                                            !calls.call(
                                                            grant.holder(),
                                                            1,
                                                            grant.ttlMicros() / 1000,
                                                            grant.accelerators(),
                                                            "renew",
                                                            "fence=" + grant.fence())
                                                    .done();
                                    Thread.sleep(200);
                                }
                            } catch (InterruptedException | IllegalStateException e) {
                                renewalFailed = true;
                            }
                        },
                        "renewer");
        renewer.setDaemon(true);
        renewer.start();
    }

    private void stopRenewing() throws InterruptedException {
        renewing = false;
        renewer.join(70_000);
        assertFalse(renewalFailed, "a renewal was rejected");
    }

    private void stopRenewingAndRelease(Call grant) throws InterruptedException {
        stopRenewing();
        assertTrue(
                calls.call(
                                grant.holder(),
                                1,
                                LONG_TTL_MILLIS,
                                grant.accelerators(),
                                "release",
                                "fence=" + grant.fence())
                        .done());
    }

    private History.Event awaitUse(String process, int from, String holder)
            throws InterruptedException {
        return history.await(
                process + " using for " + holder,
                from,
                TIMEOUT_MILLIS,
                e ->
                        e.who().equals(process)
                                && e.kind().equals("use")
                                && e.text("now").startsWith(holder));
    }

    private History.Event awaitNoUse(String process, int from) throws InterruptedException {
        return history.await(
                process + " using nothing",
                from,
                TIMEOUT_MILLIS,
                e -> e.who().equals(process) && e.kind().equals("use") && e.text("now").isEmpty());
    }

    /**
     * Retries until the grant is made; until then the accelerators are held by another holder or
     * are in their grace period.
     */
    private Call awaitGrant(String holder, int accelerators) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        Call call = acquire(holder, accelerators, LONG_TTL_MILLIS);
        while (!call.granted() && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
            call = acquire(holder, accelerators, LONG_TTL_MILLIS);
        }
        assertTrue(call.granted(), call.toString());
        return call;
    }

    private List<postgrade.rig.check.Breach> breaches() {
        return new LeaseVerdict(history.all(), List.copyOf(calls.calls), List.of(), 4, true)
                .breaches.stream().filter(b -> !b.what().equals("late")).toList();
    }

    @Test
    void renewedLeaseSurvivesLeaderDeathAndUnrenewedLeaseIsRegranted() throws Exception {
        startCluster();
        Call ana = acquire("ana", 2, LONG_TTL_MILLIS);
        Call ivo = acquire("ivo", 2, SHORT_TTL_MILLIS);
        assertTrue(ana.granted() && ivo.granted());
        startRenewing(ana);
        cluster.processes.get(cluster.leader()).kill();
        // Rejected until ivo's grant has expired and its grace period is over.
        Call next = awaitGrant("eva", 2);
        assertTrue(next.fence() > ivo.fence());
        assertEquals(ivo.mask(), next.mask());
        // Beyond the first grant's time to live, so that only the renewals explain the use.
        long firstExpiryMicros = ana.ended() + LONG_TTL_MILLIS * 1000;
        history.await(
                "use for ana after the expiry of her first grant",
                history.size(),
                TIMEOUT_MILLIS,
                e ->
                        e.who().equals("y")
                                && e.kind().equals("use")
                                && e.text("now").startsWith("ana")
                                && e.number("at") > firstExpiryMicros);
        stopRenewing();
        assertEquals(List.of(), breaches());
    }

    @Test
    void resumedLeaderDoesNotUseExpiredGrant() throws Exception {
        startCluster();
        assertTrue(acquire("ana", 4, OBSERVED_TTL_MILLIS).granted());
        String leader = cluster.leader();
        awaitUse(leader, 0, "ana");
        cluster.processes.get(leader).stop();
        // Isolated as well until it has sampled its view: otherwise it may receive the changes
        // before its first sample.
        cluster.mesh.isolate(Set.of(leader));
        startRenewing(awaitGrant("ivo", 4));
        int resumeIndex = history.size();
        long resumedMicros = LeaseCalls.monotonicMicros();
        cluster.processes.get(leader).resume();
        String lookId = cluster.freshId();
        cluster.send(leader, lookId, 500, "look");
        history.await(
                "reply to the look command",
                resumeIndex,
                TIMEOUT_MILLIS,
                e -> e.kind().equals("reply") && e.text("id").equals(lookId));
        cluster.mesh.heal();
        awaitUse(leader, history.size(), "ivo");
        assertFalse(
                history.all().subList(resumeIndex, history.size()).stream()
                        .anyMatch(
                                e ->
                                        e.kind().equals("use")
                                                && e.number("at") >= resumedMicros
                                                && e.text("now").startsWith("ana")),
                "the resumed leader still used the expired grant");
        stopRenewing();
        assertEquals(List.of(), breaches());
    }

    @Test
    void isolatedProcessStopsUsingGrantBeforeNextGrant() throws Exception {
        startCluster();
        Call ana = acquire("ana", 4, LONG_TTL_MILLIS);
        startRenewing(ana);
        awaitUse("x", 0, "ana");
        int from = history.size();
        cluster.mesh.isolate(Set.of("x"));
        // The holder still renews, but x cannot learn of that.
        History.Event stopped = awaitNoUse("x", from);
        stopRenewingAndRelease(ana);
        Call ivo = awaitGrant("ivo", 4);
        assertTrue(stopped.number("last") < ivo.ended());
        assertEquals(List.of(), breaches());
    }

    /**
     * The same fault with the bound on a view's age disabled: the checker must report the double
     * use.
     */
    @Test
    void checkerDetectsTwoHoldersWhenViewAgeIsUnbounded() throws Exception {
        startCluster("-Dpostgrade.test.heedless=true");
        Call ana = acquire("ana", 4, LONG_TTL_MILLIS);
        startRenewing(ana);
        awaitUse("x", 0, "ana");
        cluster.mesh.isolate(Set.of("x"));
        stopRenewingAndRelease(ana);
        startRenewing(awaitGrant("ivo", 4));
        int from = history.size();
        awaitUse("y", from, "ivo");
        awaitUse("x", history.size(), "ana");
        stopRenewing();
        assertTrue(breaches().stream().anyMatch(b -> b.what().equals("exclusion")));
    }
}
