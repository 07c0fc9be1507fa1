package postgrade.simulation.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * No accelerator is used for two holders at one instant, by whatever views; none is granted twice;
 * fences of an accelerator grow; none ends early by true time, nor lives on by the log's.
 */
public final class LeaseCheck {

    private static final double FASTEST = 1.02;
    private static final long BACKLOG = 2_000_000;

    /** The count begins with the next entry that moves the time on, and ends with one. */
    private static final long STEPS = 2_000_000;

    private record Renewed(long trueMicros, long logMicros, long ttlMicros) {}

    private final Checks checks;
    private final Map<String, Renewed> renewed = new HashMap<>();
    private final Map<String, Long> fences = new HashMap<>();
    private final Map<String, String> users = new HashMap<>();
    private Set<String> holders = new HashSet<>();
    private long era;

    LeaseCheck(Checks checks) {
        this.checks = checks;
    }

    void decided(Moment at, Command c, Answer answer, Rows rows) {
        if (at.era() > era) {
            era = at.era();
            renewed.clear();
            holders.clear();
        }
        boolean lease = c.part().equals("lease");
        if (!lease && !c.part().equals("clock")) {
            return;
        }
        Map<String, Row> held = rows.ofPart("lease");
        disjoint(held);
        boolean done = lease && answer.status() == Answer.Status.DONE;
        String key = done && c.args().has("holder") ? c.args().text("holder") + "|s|" : null;
        for (String was : holders) {
            if (!held.containsKey(was)) {
                ended(was, at, done && c.verb().equals("release") && was.equals(key));
            }
        }
        holders = new HashSet<>(held.keySet());
        if (key != null && held.containsKey(key)) {
            renewed.put(key, new Renewed(checks.now(), at.micros(), held.get(key).integer("ttl")));
        }
        held.keySet()
                .forEach(
                        k -> {
                            Renewed r =
                                    renewed.computeIfAbsent(
                                            k,
                                            n ->
                                                    new Renewed(
                                                            checks.now(),
                                                            at.micros(),
                                                            held.get(k).integer("ttl")));
                            if (at.micros() - r.logMicros > r.ttlMicros + STEPS) {
                                checks.violation(
                                        "%s still holds %.3f s of the log after it renewed",
                                        k, (at.micros() - r.logMicros) / 1e6);
                            }
                        });
    }

    private void ended(String holder, Moment at, boolean released) {
        Renewed r = renewed.remove(holder);
        checks.count(released ? "reservations released" : "reservations expired");
        if (!released
                && r != null
                && (checks.now() - r.trueMicros) * FASTEST + BACKLOG < r.ttlMicros) {
            checks.violation(
                    "%s was expired %.3f s after it renewed, at %s",
                    holder, (checks.now() - r.trueMicros) / 1e6, at);
        }
    }

    private void disjoint(Map<String, Row> held) {
        Map<String, String> by = new HashMap<>();
        held.forEach(
                (holder, row) -> {
                    for (String one : row.text("allotment").split(",")) {
                        String[] at = one.split("=");
                        long mask = Long.parseLong(at[1], 16);
                        for (int bit = 0; mask >> bit != 0; bit++) {
                            if ((mask >> bit & 1) == 1) {
                                granted(at[0] + "/" + bit, holder, row.integer("fence"), by);
                            }
                        }
                    }
                });
    }

    private void granted(String accelerator, String holder, long fence, Map<String, String> by) {
        String other = by.put(accelerator, holder);
        if (other != null) {
            checks.violation("%s is granted to %s and %s", accelerator, other, holder);
        }
        Long last = fences.put(accelerator, fence);
        if (last == null || last < fence) {
            checks.count("accelerators granted");
        } else if (last > fence) {
            checks.violation("fence of %s fell from %d to %d", accelerator, last, fence);
        }
    }

    /** A new instant at which uses are told. */
    public void look() {
        users.clear();
    }

    /** By this dispatcher's view a holder's job may run there now. */
    public void used(String dispatcher, String worker, long mask, String holder) {
        for (int bit = 0; mask >> bit != 0; bit++) {
            if ((mask >> bit & 1) == 1) {
                String other = users.put(worker + "/" + bit, holder);
                if (other != null && !other.equals(holder)) {
                    checks.violation(
                            "%s/%d is used for %s and, by %s, for %s",
                            worker, bit, other, dispatcher, holder);
                }
            }
        }
        checks.count("uses of accelerators");
    }
}
