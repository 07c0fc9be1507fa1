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

/** Judges a block of rounds from ledgers and history alone. */
final class Judge {

    /**
     * The stand-ins share the machine with all dispatchers and may see late what was done in time.
     */
    private static final long SLACK = 1_000_000;

    private Judge() {}

    static void judge(
            Path folder,
            FleetPlan plan,
            List<Round> rounds,
            String out,
            long outSince,
            Figures into)
            throws IOException {
        List<Line> clients = LedgerReader.read(folder.resolve("clients.ledger"));
        List<Line> workers = LedgerReader.read(folder.resolve("workers.ledger"));
        Service service =
                new Service(
                        clients, plan, rounds.get(0).begin(), rounds.get(rounds.size() - 1).end());
        Pace lists = pace(LedgerReader.read(folder.resolve("discovery.ledger")), "asked", "");
        Pace connects = pace(workers, "connected", "");
        List<History.Event> between =
                HistoryReader.read(folder.resolve("history.jsonl")).stream()
                        .filter(e -> e.kind().equals("between"))
                        .toList();
        Growth bytes = new Growth(between, "bytes");
        Growth calls = new Growth(between, "connections");
        for (Round r : rounds) {
            double steady = service.part(r.begin(), r.kill());
            long full = service.fullFrom(r.ready(), r.end(), steady);
            long until = full < 0 ? r.end() : full;
            into.rounds.add(
                    new Figures.Of(
                            r.number(),
                            steady,
                            (r.ready() - r.kill()) / 1000,
                            full < 0 ? -1 : (full - r.ready()) / 1000,
                            service.missed(r.kill(), until),
                            lists.perSecond(r.begin(), r.kill()),
                            lists.most(r.kill(), r.end()),
                            connects.perSecond(r.begin(), r.kill()),
                            connects.most(r.begin(), r.kill()),
                            connects.most(r.kill(), r.end()),
                            bytes.perSecond(r.begin(), r.kill()) / 1024,
                            (int) (bytes.most(r.kill(), r.end()) / 1024),
                            calls.perSecond(r.begin(), r.kill()),
                            (int) calls.most(r.kill(), r.end())));
        }
        stale(folder, clients, workers, rounds, out, outSince, into);
    }

    private static Pace pace(List<Line> ledger, String event, String detail) {
        return new Pace(
                ledger.stream()
                        .filter(l -> l.event().equals(event) && l.detail().contains(detail))
                        .map(Line::micros)
                        .toList());
    }

    /**
     * Decisions upon what is not so any more: sends to a worker out or leaving, and cold ones
     * pushed over.
     */
    private static void stale(
            Path folder,
            List<Line> clients,
            List<Line> workers,
            List<Round> rounds,
            String out,
            long outSince,
            Figures into)
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
        into.stale +=
                WorkerMaintenanceCheck.check(
                                List.of(
                                        new WorkerMaintenanceCheck.StatusChange(
                                                outSince, out, true)),
                                sent,
                                500_000)
                        .size();
        Map<String, Line> took = new HashMap<>();
        Set<String> died = new HashSet<>();
        for (Line l : clients) {
            if (l.event().equals("sent")) {
                took.put(l.id(), l);
            } else if (l.event().startsWith("broken") && took.containsKey(l.id())) {
                long at = took.get(l.id()).micros();
                if (rounds.stream()
                        .anyMatch(
                                r ->
                                        r.killed().contains(l.value("via"))
                                                && at <= r.ready()
                                                && l.micros() >= r.kill() - SLACK
                                                && l.micros() <= r.ready() + SLACK)) {
                    died.add(l.id());
                }
            }
        }
        for (RuleChecker.Violation v : RuleChecker.judge(folder, SLACK).violations) {
            if (v.rule() == Rule.DRAIN || v.rule() == Rule.COLD) {
                into.stale++;
            } else if (!died.contains(v.id())) {
                into.otherBreaches++;
            }
        }
    }
}
