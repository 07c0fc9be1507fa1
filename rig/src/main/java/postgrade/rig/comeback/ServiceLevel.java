package postgrade.rig.comeback;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postgrade.fleet.check.LedgerReader.Line;
import postgrade.fleet.plan.FleetPlan;
import postgrade.fleet.plan.FleetPlan.JobClass;

/**
 * Service level as the clients' ledger shows it: of the total worth of the jobs sent in a span, the
 * fraction that was served in time, which is within the class's aim times its stretch.
 */
final class ServiceLevel {

    /** Jobs are grouped by their send time in steps of this length. */
    static final long STEP_MICROS = 250_000;

    /** The level is averaged over this many steps. */
    static final int WINDOW_STEPS = 4;

    /** Full service must hold for at least this many steps. */
    private static final int HOLD_STEPS = 8;

    private static final double FULL_SERVICE_RATIO = 0.95;

    private final long begin;
    private final double[] offeredWorth;
    private final double[] servedWorth;
    private final int[] late;
    private final int[] refused;
    private final int[] lost;

    ServiceLevel(List<Line> clients, FleetPlan plan, long begin, long end) {
        this.begin = begin;
        int steps = (int) ((end - begin) / STEP_MICROS) + 1;
        offeredWorth = new double[steps];
        servedWorth = new double[steps];
        late = new int[steps];
        refused = new int[steps];
        lost = new int[steps];
        Map<String, Line> sent = new HashMap<>();
        for (Line l : clients) {
            if (l.event().equals("sent") || l.event().equals("unsent")) {
                sent.put(l.id(), l);
                int at = step(l.micros());
                if (at >= 0 && at < steps) {
                    offeredWorth[at] += plan.classes.get(l.value("class")).worth();
                    lost[at] += l.event().equals("unsent") ? 1 : 0;
                }
                continue;
            }
            Line before = sent.get(l.id());
            int at = before == null ? -1 : step(before.micros());
            if (at < 0 || at >= steps) {
                continue;
            }
            JobClass jobClass = plan.classes.get(before.value("class"));
            switch (l.event()) {
                case "answer" -> {
                    long status = l.number("status");
                    boolean inTime =
                            l.micros() - before.micros()
                                    <= jobClass.aimMs() * jobClass.stretch() * 1000;
                    if (status == 200 && inTime) {
                        servedWorth[at] += jobClass.worth();
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
        return micros < begin ? -1 : (int) ((micros - begin) / STEP_MICROS);
    }

    /** Fraction of the worth sent between the two times that was served in time. */
    double servedFraction(long from, long to) {
        double all = 0;
        double served = 0;
        for (int i = Math.max(0, step(from)); i < Math.min(offeredWorth.length, step(to)); i++) {
            all += offeredWorth[i];
            served += servedWorth[i];
        }
        return all == 0 ? 0 : served / all;
    }

    /** Time at which full service began and then held; -1 if that did not happen before the end. */
    long fullServiceFrom(long since, long until, double steady) {
        int holding = 0;
        for (int i = Math.max(0, step(since));
                i + WINDOW_STEPS <= Math.min(offeredWorth.length, step(until));
                i++) {
            double all = 0;
            double served = 0;
            for (int j = i; j < i + WINDOW_STEPS; j++) {
                all += offeredWorth[j];
                served += servedWorth[j];
            }
            holding = all > 0 && served / all >= FULL_SERVICE_RATIO * steady ? holding + 1 : 0;
            if (holding == HOLD_STEPS) {
                return Math.max(since, begin + (i - HOLD_STEPS + 1) * STEP_MICROS);
            }
        }
        return -1;
    }

    record MissedJobs(int late, int refused, int lost) {}

    MissedJobs missedJobs(long from, long to) {
        int lateJobs = 0;
        int refusedJobs = 0;
        int lostJobs = 0;
        for (int i = Math.max(0, step(from)); i < Math.min(offeredWorth.length, step(to)); i++) {
            lateJobs += late[i];
            refusedJobs += refused[i];
            lostJobs += lost[i];
        }
        return new MissedJobs(lateJobs, refusedJobs, lostJobs);
    }
}
