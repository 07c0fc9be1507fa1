package postgrade.simulation.model;

import java.util.List;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Rows.Change;

/** What nodes tell each other. */
sealed interface Message {

    record Entry(long term, Command command) {}

    record Vote(long era, long term, long lastIndex, long lastTerm) implements Message {}

    record Voted(long era, long term, boolean granted) implements Message {}

    record Append(
            long era,
            long term,
            long previous,
            long previousTerm,
            List<Entry> entries,
            long commit,
            long round)
            implements Message {}

    record Appended(long era, long term, boolean fits, long match, long round) implements Message {}

    /**
     * @param era that the asker knows: a command that arrives late must not be carried out in a
     *     later one
     */
    record Ask(long number, long era, Command command) implements Message {}

    record Told(long number, Answer answer, Moment moment) implements Message {}

    record Pull(long number, long era, long index) implements Message {}

    /**
     * @param changes since {@code from}, or everything where {@code from} is negative
     */
    record Pulled(long number, Moment moment, long from, List<Change> changes) implements Message {}

    /**
     * @param leader null where none is known
     */
    record Elsewhere(long number, String leader) implements Message {}
}
