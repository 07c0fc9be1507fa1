package postgrade.simulation.check;

import java.util.HashMap;
import java.util.Map;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Rows;

/**
 * Replicas carry out the same and come to the same; and the log's time runs no faster than the
 * fastest clock, but for what a leader had measured and not yet had decided.
 */
public final class LogCheck {

    private static final double FASTEST = 1.02;
    private static final long BACKLOG = 2_000_000;

    private record Was(Command command, Answer answer, long micros, int state) {}

    private final Checks checks;
    private final Map<Long, Was> decided = new HashMap<>();
    private long era;
    private double least;

    LogCheck(Checks checks) {
        this.checks = checks;
    }

    /** True where no replica had carried it out before. */
    boolean applied(String replica, Moment at, Command command, Answer answer, Rows rows) {
        if (at.era() > era) {
            era = at.era();
            decided.clear();
            least = Double.MAX_VALUE;
        }
        Was is = new Was(command, answer, at.micros(), state(at, rows));
        Was was = decided.putIfAbsent(at.index(), is);
        if (was != null) {
            if (!was.equals(is)) {
                checks.violation(
                        "replica %s differs at entry %d: %s, not %s", replica, at.index(), is, was);
            }
            return false;
        }
        checks.count("entries");
        double ahead = at.micros() - checks.now() * FASTEST;
        if (ahead - least > BACKLOG) {
            checks.violation("the log's time ran ahead by %.0f us", ahead - least);
        }
        if (least < Double.MAX_VALUE) {
            checks.most("log ahead of true time, most us", (long) (ahead - least));
        }
        least = Math.min(least, ahead);
        return true;
    }

    /** A view is what the log held at its entry. */
    void viewed(String who, Moment at, Rows rows) {
        Was was = decided.get(at.index());
        if (at.era() == era
                && (was == null || was.micros != at.micros() || was.state != state(at, rows))) {
            checks.violation("view of %s at entry %d is not what was decided", who, at.index());
        }
    }

    /** Of some entries, since each look takes all rows. */
    private static int state(Moment at, Rows rows) {
        return at.index() % 4 != 0
                ? 0
                : 31 * (31 * rows.ofPart("member").hashCode() + rows.ofPart("out").hashCode())
                        + 7 * rows.ofPart("lease").hashCode()
                        + rows.ofPart("lease.waiting").hashCode();
    }
}
