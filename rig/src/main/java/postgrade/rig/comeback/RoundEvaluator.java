package postgrade.rig.comeback;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.check.LedgerReader.Line;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.check.RuleChecker.Rule;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.check.WorkerMaintenanceCheck;
import postgrade.rig.history.History;
import postgrade.rig.history.HistoryReader;

/** Evaluates a block of rounds from the ledgers and the history alone. */
final class RoundEvaluator {

    /**
     * The simulated workers share the machine with all dispatchers and may observe late what was
     * done in time.
     */
    private static final long SLACK_MICROS = 1_000_000;

    private RoundEvaluator() {}

    static void evaluate(
            Path folder,
            FleetPlan plan,
            List<Round> rounds,
            String removedWorker,
            long removedSince,
            ModeResults results)
            throws IOException {
        List<Line> clients = LedgerReader.read(folder.resolve("clients.ledger"));
        List<Line> workers = LedgerReader.read(folder.resolve("workers.ledger"));
        ServiceLevel service =
                new ServiceLevel(
                        clients, plan, rounds.get(0).begin(), rounds.get(rounds.size() - 1).end());
        EventRate lists =
                eventRate(LedgerReader.read(folder.resolve("discovery.ledger")), "asked", "");
        EventRate connects = eventRate(workers, "connected", "");
        List<History.Event> peerSamples =
                HistoryReader.read(folder.resolve("history.jsonl")).stream()
                        .filter(e -> e.kind().equals("between"))
                        .toList();
        CounterRate peerBytes = new CounterRate(peerSamples, "bytes");
        CounterRate peerConnects = new CounterRate(peerSamples, "connections");
        for (Round r : rounds) {
            double steady = service.servedFraction(r.begin(), r.kill());
            long full = service.fullServiceFrom(r.ready(), r.end(), steady);
            long outageEnd = full < 0 ? r.end() : full;
            results.rounds.add(
                    new ModeResults.RoundResult(
                            r.number(),
                            steady,
                            (r.ready() - r.kill()) / 1000,
                            full < 0 ? -1 : (full - r.ready()) / 1000,
                            service.missedJobs(r.kill(), outageEnd),
                            lists.perSecond(r.begin(), r.kill()),
                            lists.peakPerSecond(r.kill(), r.end()),
                            connects.perSecond(r.begin(), r.kill()),
                            connects.peakPerSecond(r.begin(), r.kill()),
                            connects.peakPerSecond(r.kill(), r.end()),
                            peerBytes.perSecond(r.begin(), r.kill()) / 1024,
                            (int) (peerBytes.peakPerSecond(r.kill(), r.end()) / 1024),
                            peerConnects.perSecond(r.begin(), r.kill()),
                            (int) peerConnects.peakPerSecond(r.kill(), r.end())));
        }
        countStaleDecisions(folder, clients, workers, rounds, removedWorker, removedSince, results);
    }

    private static EventRate eventRate(List<Line> ledger, String event, String detail) {
        return new EventRate(
                ledger.stream()
                        .filter(l -> l.event().equals(event) && l.detail().contains(detail))
                        .map(Line::micros)
                        .toList());
    }

    /**
     * Counts decisions on outdated state: jobs sent to workers that were out of service or
     * draining, and cold workers that were overloaded.
     */
    private static void countStaleDecisions(
            Path folder,
            List<Line> clients,
            List<Line> workers,
            List<Round> rounds,
            String removedWorker,
            long removedSince,
            ModeResults results)
            throws IOException {
        List<WorkerMaintenanceCheck.Sent> sent =
                workers.stream()
                        .filter(l -> l.event().equals("received"))
                        .map(
                                l ->
                                        new WorkerMaintenanceCheck.Sent(
                                                l.number("first"),
                                                "n" + (l.number("via") + 1),
                                                l.party(),
                                                l.id()))
                        .toList();
        results.staleDecisions +=
                WorkerMaintenanceCheck.check(
                                List.of(
                                        new WorkerMaintenanceCheck.StatusChange(
                                                removedSince, removedWorker, true)),
                                sent,
                                500_000)
                        .size();
        Map<String, Line> sentById = new HashMap<>();
        Set<String> brokenByKill = new HashSet<>();
        for (Line l : clients) {
            if (l.event().equals("sent")) {
                sentById.put(l.id(), l);
            } else if (l.event().startsWith("broken") && sentById.containsKey(l.id())) {
                long at = sentById.get(l.id()).micros();
                if (rounds.stream()
                        .anyMatch(
                                r ->
                                        r.killed().contains(l.value("via"))
                                                && at <= r.ready()
                                                && l.micros() >= r.kill() - SLACK_MICROS
                                                && l.micros() <= r.ready() + SLACK_MICROS)) {
                    brokenByKill.add(l.id());
                }
            }
        }
        for (RuleChecker.Violation v : RuleChecker.judge(folder, SLACK_MICROS).violations) {
            if (v.rule() == Rule.DRAIN || v.rule() == Rule.COLD) {
                results.staleDecisions++;
            } else if (!brokenByKill.contains(v.id())) {
                results.otherBreaches++;
            }
        }
    }
}
