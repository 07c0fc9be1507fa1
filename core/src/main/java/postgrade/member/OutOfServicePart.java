package postgrade.member;

import java.util.Set;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * Workers that operators have taken out of service, until they return them. Every process that
 * joins later knows them, whatever is on its disk.
 */
public final class OutOfServicePart implements StatePart {

    static final String PART = "out";

    /** Bounds the size of the state if a client names ever new workers. */
    private static final int MAX_WORKERS = 10_000;

    private static final int MAX_ID_LENGTH = 200;

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

    /** The workers that are out of service. */
    public static Set<String> outOfService(Rows rows) {
        return rows.ofPart(PART).keySet();
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command command) {
        String worker = command.args().text("worker");
        if (worker.isEmpty() || worker.length() > MAX_ID_LENGTH) {
            throw new Row.InvalidFieldException(
                    "worker", "must have 1 to " + MAX_ID_LENGTH + " characters");
        }
        Row entry = rows.get(PART, worker);
        switch (command.verb()) {
            case "exit":
                if (entry == null && rows.count(PART) >= MAX_WORKERS) {
                    return Answer.conflict(
                            "worker is one more than the " + MAX_WORKERS + " that may be out");
                }
                if (entry == null) {
                    entry = Row.of("since", at.micros(), "by", command.from());
                    rows.put(PART, worker, entry);
                }
                return Answer.done("worker " + worker + " is out", entry);
            case "enter":
                if (entry == null) {
                    return Answer.unknown("worker " + worker + " is not out");
                }
                rows.remove(PART, worker);
                return Answer.done("worker " + worker + " is back", entry);
            default:
                return Answer.unknown("verb " + command.verb() + " is not known to workers out");
        }
    }
}
