package postgrade.rig.quorum;

import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * The simplest state part: counts how often each key was added. The counts show permanently whether
 * a command was lost or applied twice.
 */
final class KeyCounter implements StatePart {

    static final String PART = "tally";

    @Override
    public String name() {
        return PART;
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command command) {
        String key = command.args().text("key");
        Row previous = rows.get(PART, key);
        Row updated = Row.of("times", previous == null ? 1 : previous.integer("times") + 1);
        rows.put(PART, key, updated);
        return Answer.done("counted", updated.with("fence", at.fence()));
    }
}
