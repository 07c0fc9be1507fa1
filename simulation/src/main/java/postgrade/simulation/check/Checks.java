package postgrade.simulation.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Rows;

/**
 * What is watched during a run. It looks at rows, views and true time, and reckons on its own:
 * nothing here calls what it judges. It keeps the first violations, and counts of what was seen, so
 * that a run in which nothing happened is noticed.
 */
public final class Checks {

    private static final int MOST = 20;

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> seen = new LinkedHashMap<>();
    private final TrueTime time;
    public final LogCheck log;
    public final ViewCheck views;
    public final ShareCheck shares;
    public final SessionCheck sessions;
    public final OutCheck out;
    public final PeakCheck peaks;
    public final LeaseCheck leases;
    public final WindowCheck windows;

    /** True time, which nobody in the simulation knows. */
    public interface TrueTime {
        long now();
    }

    public Checks(TrueTime time, Expected expected) {
        this.time = time;
        log = new LogCheck(this);
        views = new ViewCheck(this, log);
        shares = new ShareCheck(this, expected);
        sessions = new SessionCheck(this, expected);
        out = new OutCheck(this);
        peaks = new PeakCheck(this);
        leases = new LeaseCheck(this);
        windows = new WindowCheck(this);
    }

    /** Figures of the run, in the checkers' own terms. Shares are multiples of the even one. */
    public record Expected(
            int places, double floor, double fallback, long leaseMicros, long lingerMicros) {}

    /** A replica has carried out an entry. */
    public void applied(String replica, Moment at, Command command, Answer answer, Rows rows) {
        if (log.applied(replica, at, command, answer, rows)) {
            sessions.decided(at, command, answer, rows);
            leases.decided(at, command, answer, rows);
            windows.decided(at, rows);
        }
    }

    public void violation(String what, Object... with) {
        if (violations.size() < MOST) {
            violations.add(String.format("%.6f s: ", time.now() / 1e6) + String.format(what, with));
        }
    }

    public void count(String what) {
        seen.merge(what, 1L, Long::sum);
    }

    public void most(String what, long value) {
        seen.merge(what, value, Math::max);
    }

    long now() {
        return time.now();
    }

    public List<String> violations() {
        return violations;
    }

    public Map<String, Long> seen() {
        return seen;
    }
}
