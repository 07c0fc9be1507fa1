package postgrade.rig.serve;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.KeptFolder;
import postgrade.rig.load.LoadGenerator;

/**
 * Real dispatchers under load, of which one is killed and restarted. Guards against a restart that
 * the rig does not observe and against violations for requests that the kill did not break.
 */
public class DispatcherClusterTest {

    @Rule public final KeptFolder folder = new KeptFolder("serve");

    @Test
    public void killedDispatcherRestartsAtItsPortAndTheRulesHold()
            throws IOException, InterruptedException {
        DispatcherCluster.Options options = new DispatcherCluster.Options();
        options.dispatchers = 2;
        options.voters = 0;
        options.plan = FleetPlan.of("t.star", FleetPlan.shippedText("zagreb"));
        try (DispatcherCluster cluster = new DispatcherCluster(folder.path(), options)) {
            cluster.startAll();
            try (LoadGenerator clients =
                    new LoadGenerator(
                            cluster.clientAddresses(),
                            List.of(
                                    new LoadGenerator.JobKind(
                                            "slot-check", "kvart-market", 1, 20_000_000, true),
                                    new LoadGenerator.JobKind(
                                            "order-confirm", "zeleni-kos", 1, 20_000_000, false)),
                            5,
                            folder.path().resolve("clients.ledger"))) {
                clients.setRate(40);
                cluster.awaitAnswer(
                        "jobs", "GET", "n1", "/status", null, 120_000, a -> a.status() == 200);
                cluster.cluster().process("n2").kill();
                cluster.cluster().start("n2");
                long ready = cluster.awaitReady("n2", 120_000);
                // The restart shows only once the restarted dispatcher has sent jobs.
                awaitJobFromRestarted(cluster, ready);
                clients.finish();
            }
            cluster.fleet().flush();
            RuleChecker.Verdict verdict = RuleChecker.judge(folder.path(), 2_500_000, 60_000_000);
            assertTrue(verdict.requests > 0 && verdict.attempts > 0);
            List<String> broken =
                    LedgerReader.read(folder.path().resolve("clients.ledger")).stream()
                            .filter(l -> l.event().equals("broken") && "n2".equals(l.value("via")))
                            .map(l -> l.id())
                            .toList();
            assertEquals(
                    List.of(),
                    verdict.violations.stream().filter(b -> !broken.contains(b.id())).toList());
        }
    }

    private void awaitJobFromRestarted(DispatcherCluster cluster, long sinceMicros)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + 120_000_000_000L;
        while (System.nanoTime() < deadlineNanos) {
            cluster.fleet().flush();
            if (LedgerReader.read(folder.path().resolve("workers.ledger")).stream()
                    .anyMatch(
                            l ->
                                    l.event().equals("received")
                                            && l.number("via") == 1
                                            && l.micros() > sinceMicros)) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("the restarted dispatcher sent no job within 120 s");
    }
}
