package postgrade.simulation.check;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A worker that an operator was told is out, or back, is so in every later view, until the next is
 * asked for.
 */
public final class OutCheck {

    private record Told(boolean out, long at) {}

    private final Checks checks;
    private final Map<String, Told> told = new HashMap<>();

    OutCheck(Checks checks) {
        this.checks = checks;
    }

    public void asked(String worker) {
        told.remove(worker);
    }

    public void told(String worker, boolean out) {
        told.put(worker, new Told(out, checks.now()));
        checks.count("operators' calls answered");
    }

    /** A new era knows nothing of the former. */
    public void newEra() {
        told.clear();
    }

    public void seen(String who, Set<String> out, long asOf) {
        told.forEach(
                (worker, t) -> {
                    if (asOf >= t.at && out.contains(worker) != t.out) {
                        checks.violation(
                                "%s sees %s %s, an operator was told otherwise before",
                                who, worker, t.out ? "in" : "out");
                    }
                });
    }
}
