package postgrade.rig.comeback;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postgrade.fleet.check.LedgerReader.Line;
import postgrade.fleet.plan.FleetPlan;
import postgrade.fleet.plan.FleetPlan.JobClass;

/**
 * What was served, by the clients' ledger alone: of the worth of the jobs that were sent at a time,
 * the part that was served in time, within a class's aim as far as it stretches.
 */
final class Service {

    /** Jobs are gathered by when they were sent, in steps of this. */
    static final long STEP = 250_000;

    /** And judged over this many steps. */
    static final int WINDOW = 4;

    /** Full service holds for so long at least. */
    private static final int HOLDS = 8;

    private static final double NEAR = 0.95;

    private final long begin;
    private final double[] offered;
    private final double[] got;
    private final int[] late;
    private final int[] refused;
    private final int[] lost;

    Service(List<Line> clients, FleetPlan plan, long begin, long end) {
        this.begin = begin;
        int steps = (int) ((end - begin) / STEP) + 1;
        offered = new double[steps];
        got = new double[steps];
        late = new int[steps];
        refused = new int[steps];
        lost = new int[steps];
        Map<String, Line> sent = new HashMap<>();
        for (Line l : clients) {
            if (l.event().equals("sent") || l.event().equals("unsent")) {
                sent.put(l.id(), l);
                int at = step(l.micros());
                if (at >= 0 && at < steps) {
                    offered[at] += plan.classes.get(l.value("class")).worth();
                    lost[at] += l.event().equals("unsent") ? 1 : 0;
                }
                continue;
            }
            Line before = sent.get(l.id());
            int at = before == null ? -1 : step(before.micros());
            if (at < 0 || at >= steps) {
                continue;
            }
            JobClass c = plan.classes.get(before.value("class"));
            switch (l.event()) {
                case "answer" -> {
                    long status = l.number("status");
                    boolean inTime = l.micros() - before.micros() <= c.aimMs() * c.stretch() * 1000;
                    if (status == 200 && inTime) {
                        got[at] += c.worth();
                    } else if (status == 200) {
                        late[at]++;
                    } else if (status == 429 || status == 503) {
                        refused[at]++;
                    } else {
                        lost[at]++;
                    }
                }
                case "gave-up", "broken", "broken-idle" -> lost[at]++;
                default -> {}
            }
        }
    }

    private int step(long micros) {
        return micros < begin ? -1 : (int) ((micros - begin) / STEP);
    }

    /** The part served in time of what was sent from then to then. */
    double part(long from, long to) {
        double all = 0;
        double served = 0;
        for (int i = Math.max(0, step(from)); i < Math.min(offered.length, step(to)); i++) {
            all += offered[i];
            served += got[i];
        }
        return all == 0 ? 0 : served / all;
    }

    /** When full service began that then held; -1 if it did not before the end. */
    long fullFrom(long since, long until, double steady) {
        int holding = 0;
        for (int i = Math.max(0, step(since));
                i + WINDOW <= Math.min(offered.length, step(until));
                i++) {
            double all = 0;
            double served = 0;
            for (int j = i; j < i + WINDOW; j++) {
                all += offered[j];
                served += got[j];
            }
            holding = all > 0 && served / all >= NEAR * steady ? holding + 1 : 0;
            if (holding == HOLDS) {
                return Math.max(since, begin + (i - HOLDS + 1) * STEP);
            }
        }
        return -1;
    }

    record Missed(int late, int refused, int lost) {}

    Missed missed(long from, long to) {
        int l = 0;
        int r = 0;
        int x = 0;
        for (int i = Math.max(0, step(from)); i < Math.min(offered.length, step(to)); i++) {
            l += late[i];
            r += refused[i];
            x += lost[i];
        }
        return new Missed(l, r, x);
    }
}
