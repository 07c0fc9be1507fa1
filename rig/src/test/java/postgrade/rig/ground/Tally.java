package postgrade.rig.ground;

import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * The plainest part: how often each key was counted. A command lost or carried out twice shows for
 * ever.
 */
final class Tally implements StatePart {

    static final String PART = "tally";

    @Override
    public String name() {
        return PART;
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command c) {
        String key = c.args().text("key");
        Row before = rows.get(PART, key);
        Row now = Row.of("times", before == null ? 1 : before.integer("times") + 1);
        rows.put(PART, key, now);
        return Answer.done("counted", now.with("fence", at.fence()));
    }
}
