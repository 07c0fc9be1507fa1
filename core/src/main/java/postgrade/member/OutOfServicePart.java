package postgrade.member;

import java.util.Set;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * Workers that operators have taken out, until they put them back: known to whoever comes later,
 * whatever its disk.
 */
public final class OutOfServicePart implements StatePart {

    static final String PART = "out";

    /** Guards the state against a caller that names ever new workers. */
    private static final int MOST = 10_000;

    private static final int LONGEST_ID = 200;

    @Override
    public String name() {
        return PART;
    }

    public static Command takeOutOfService(
            String requestId, String from, long incarnation, String worker) {
        return new Command(requestId, from, incarnation, PART, "exit", Row.of("worker", worker));
    }

    public static Command returnToService(
            String requestId, String from, long incarnation, String worker) {
        return new Command(requestId, from, incarnation, PART, "enter", Row.of("worker", worker));
    }

    /** Those that are out. */
    public static Set<String> outOfService(Rows rows) {
        return rows.ofPart(PART).keySet();
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command c) {
        String worker = c.args().text("worker");
        if (worker.isEmpty() || worker.length() > LONGEST_ID) {
            throw new Row.InvalidFieldException(
                    "worker", "must have 1 to " + LONGEST_ID + " characters");
        }
        Row out = rows.get(PART, worker);
        switch (c.verb()) {
            case "exit":
                if (out == null && rows.count(PART) >= MOST) {
                    return Answer.conflict(
                            "worker is one more than the " + MOST + " that may be out");
                }
                if (out == null) {
                    out = Row.of("since", at.micros(), "by", c.from());
                    rows.put(PART, worker, out);
                }
                return Answer.done("worker " + worker + " is out", out);
            case "enter":
                if (out == null) {
                    return Answer.unknown("worker " + worker + " is not out");
                }
                rows.remove(PART, worker);
                return Answer.done("worker " + worker + " is back", out);
            default:
                return Answer.unknown("verb " + c.verb() + " is not known to workers out");
        }
    }
}
