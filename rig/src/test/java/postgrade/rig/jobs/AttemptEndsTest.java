package postgrade.rig.jobs;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.KeptFolder;
import postgrade.rig.load.LoadGenerator;
import postgrade.rig.serve.DispatcherCluster;

/**
 * A request that must not have two attempts out was sent again while its first attempt ran.
 *
 * <p>Seen: two requests, at two dispatchers, reached a second worker 7 ms after the first one,
 * which ran on to its end; nobody had given it up. One of them was then refused in the moment in
 * which the second connection was reset.
 *
 * <p>How it came about: the policy moves a job that has not begun after half its objective, which
 * both had just passed. The job's bytes and the DELETE that cancelled it went out within a moment
 * of each other, on two connections, and the DELETE came first. The worker knew nothing to drop and
 * said so; then it took the job.
 *
 * <p>Cause: any answer to the DELETE ended the attempt, also one to a DELETE that was sent before
 * the worker was known to have the job. An attempt has ended only when something says so that names
 * it.
 *
 * <p>Proof: the crossing is forced here on real processes by a proxy that holds the job back until
 * the worker has answered the DELETE. The other tests force the same mistake from other signs: a
 * reset in place of the 202 and a second answer of the exchange before.
 */
public class AttemptEndsTest {

    private static final String FLEET =
            """
            seed = %d
            workers = [worker(4, "plain", cores = 8, speed = 1, zone = "hall-a")]
            classes = {
                "slot-check": work(700, sigma = 0, deadline_ms = 20000, aim_ms = 400),
                "order-confirm": work(700, sigma = 0, deadline_ms = 20000, aim_ms = 400, repeatable = False),
            }
            tenants = {"kvart-market": 60000}
            """;

    private static final int JOBS = 12;

    /** Jobs and cancellations that cross wait for each other for so long at most. */
    private static final long MAX_HOLD_MILLIS = 10_000;

    /** Moves cost a lone dispatcher more of its retry budget than it has. */
    private static final int CONFIGURED_DISPATCHERS = 100;

    @Rule public final KeptFolder folder = new KeptFolder("attemptends");
    private DispatcherCluster cluster;

    @Before
    public void open() throws IOException, InterruptedException {
        DispatcherCluster.Options options = new DispatcherCluster.Options();
        options.dispatchers = 1;
        options.voters = 0;
        options.proxied = true;
        options.configuredDispatchers = CONFIGURED_DISPATCHERS;
        options.plan =
                FleetPlan.of("ends.star", String.format(FLEET, ProcessHandle.current().pid()));
        cluster = new DispatcherCluster(folder.path(), options);
        cluster.startAll();
    }

    @After
    public void close() throws IOException {
        cluster.close();
    }

    /** The first attempt of each request meets the fault; nothing else does. */
    private static FaultSelector onFirstAttempts(ExchangeFault fault) {
        Set<String> faultedRequests = ConcurrentHashMap.newKeySet();
        return exchange ->
                exchange.isJob() && faultedRequests.add(exchange.subject())
                        ? fault
                        : ExchangeFault.NONE;
    }

    private LoadGenerator clients(String jobClass, boolean repeatable) throws IOException {
        LoadGenerator.JobKind kind =
                new LoadGenerator.JobKind(jobClass, "kvart-market", 1, 20_000_000, repeatable);
        Path ledger = folder.path().resolve("clients.ledger");
        return new LoadGenerator(cluster.clientAddresses(), List.of(kind), 1, ledger);
    }

    private void sendJobs(LoadGenerator clients) throws Exception {
        clients.send(JOBS);
        clients.finish();
        cluster.fleet().flush();
    }

    private void assertRulesHold() throws IOException {
        RuleChecker.Verdict verdict = RuleChecker.judge(folder.path(), 0, 60_000_000);
        assertTrue(verdict.attempts >= JOBS);
        assertEquals(List.of(), verdict.violations);
    }

    @Test
    public void cancellationThatOvertakesItsJobLeavesOneAttemptInFlight() throws Exception {
        Set<String> seenRequests = ConcurrentHashMap.newKeySet();
        Set<String> firstWorkers = ConcurrentHashMap.newKeySet();
        // The first worker of each request alone: the attempt that follows is served.
        cluster.proxies()
                .setFaultSelector(
                        exchange -> {
                            String requestAndWorker = exchange.subject() + " " + exchange.worker();
                            boolean first =
                                    seenRequests.add(exchange.subject())
                                            && firstWorkers.add(requestAndWorker);
                            return first || firstWorkers.contains(requestAndWorker)
                                    ? ExchangeFault.of(
                                            ExchangeFault.Kind.OVERTAKEN, MAX_HOLD_MILLIS)
                                    : ExchangeFault.NONE;
                        });
        try (LoadGenerator clients = clients("slot-check", true)) {
            sendJobs(clients);
        }
        assertRulesHold();
    }

    @Test
    public void resetInPlaceOfTheAnswerLeavesOneAttemptInFlight() throws Exception {
        cluster.proxies()
                .setFaultSelector(
                        onFirstAttempts(
                                ExchangeFault.of(ExchangeFault.Kind.RESET_BEFORE_ANSWER, 0)));
        try (LoadGenerator clients = clients("slot-check", true)) {
            sendJobs(clients);
        }
        assertRulesHold();
    }

    @Test
    public void repeatedAnswerOfThePreviousExchangeLeavesOneAttemptInFlight() throws Exception {
        try (LoadGenerator clients = clients("order-confirm", false)) {
            sendJobs(clients);
            cluster.proxies()
                    .setFaultSelector(
                            onFirstAttempts(ExchangeFault.of(ExchangeFault.Kind.STALE_ANSWER, 0)));
            sendJobs(clients);
        }
        assertRulesHold();
    }
}
