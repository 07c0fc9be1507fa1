package postgrade.quorum.engine;

import io.microraft.statemachine.StateMachine;
import java.util.List;
import java.util.function.Consumer;
import postgrade.quorum.wire.LogCodec;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.StatePart;

/** Adapts the state machine of the shared state to the consensus engine. */
final class Replica implements StateMachine {

    /** A query that changes nothing and is not an entry of the log. */
    static final Object READ =
            new Object() {
                @Override
                public String toString() {
                    return "read";
                }
            };

    record Applied(Answer answer, Moment moment) {}

    final ReplicatedStateMachine machine;

    Replica(long era, List<StatePart> parts) {
        machine = new ReplicatedStateMachine(era, parts);
    }

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation instanceof Command command) {
            Answer answer = machine.apply(index, command);
            return new Applied(answer, machine.moment());
        }
        return null; // A read, or the first entry of a term.
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        StatePages.split(machine.snapshot(), chunks);
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        machine.restore(StatePages.join(chunks));
    }

    @Override
    public Object getNewTermOperation() {
        return LogCodec.NEW_TERM;
    }
}
