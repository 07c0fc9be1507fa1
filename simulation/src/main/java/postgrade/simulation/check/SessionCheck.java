package postgrade.simulation.check;

import java.util.HashMap;
import java.util.Map;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * No member is expired early by true time, nor kept longer than its lease by the log's;
 * incarnations only grow.
 */
public final class SessionCheck {

    private static final double FASTEST = 1.02;
    private static final long BACKLOG = 2_000_000;

    private record Renewed(long trueMicros, long logMicros) {}

    private final Checks checks;
    private final Checks.Expected expected;
    private final Map<String, Renewed> renewed = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private long era;

    SessionCheck(Checks checks, Checks.Expected expected) {
        this.checks = checks;
        this.expected = expected;
    }

    void decided(Moment at, Command c, Answer answer, Rows rows) {
        if (at.era() > era) {
            era = at.era();
            renewed.clear();
            incarnations.clear();
        }
        boolean done = answer.status() == Answer.Status.DONE;
        if (c.part().equals("member") && done) {
            if (incarnations.getOrDefault(c.from(), 0L) > c.incarnation()) {
                checks.violation(
                        "incarnation %d of %s was let in after a later one",
                        c.incarnation(), c.from());
            }
            incarnations.put(c.from(), c.incarnation());
            if (!c.verb().equals("leave")) {
                renewed.put(c.from(), new Renewed(checks.now(), at.micros()));
            } else {
                renewed.remove(c.from());
            }
        }
        if (!c.part().equals("clock")) {
            return;
        }
        rows.ofPart("member").forEach((name, row) -> judge(at, name, row));
    }

    private void judge(Moment at, String name, Row row) {
        Renewed last = renewed.get(name);
        boolean over = at.micros() >= row.integer("until");
        if (last == null) {
            return;
        }
        if (over && (checks.now() - last.trueMicros) * FASTEST + BACKLOG < expected.leaseMicros()) {
            checks.violation(
                    "%s was expired %.3f s after it renewed",
                    name, (checks.now() - last.trueMicros) / 1e6);
        }
        if (!over && at.micros() - last.logMicros > expected.leaseMicros()) {
            checks.violation(
                    "%s is not expired %.3f s of the log after it renewed",
                    name, (at.micros() - last.logMicros) / 1e6);
        }
        if (over) {
            checks.count("looks at expired members");
        }
    }
}
