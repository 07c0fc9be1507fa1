package postgrade.shared;

import java.util.function.Consumer;

/**
 * Shared state as a process uses it. Nothing here waits: not for a disk, a lock or another process.
 * All is called on the process's loop, and every answer comes back on the loop.
 */
public interface ReplicatedState {

    /** The latest view; {@link View#NONE} until one has come. */
    View view();

    /**
     * Has a command decided. {@code done} is called exactly once, within the given time: after that
     * it is no longer known whether the command will be carried out, and the same request id may be
     * sent again to find out.
     */
    void submit(Command command, long timeoutMicros, Consumer<Reply> callback);

    /** How this process stands to the others, for operators. */
    Standing standing();

    /** Ends what it has open; later answers do not come. */
    void close();

    /**
     * @param answer null where nothing was decided: no quorum, or no word from it in time
     */
    record Reply(Answer answer, Moment moment, long retryAfterMicros) {
        public boolean decided() {
            return answer != null;
        }
    }

    /**
     * @param role voter or observer @param leader null where none is known @param fault null, or
     *     what keeps it apart
     */
    record Standing(
            String name, long incarnation, Role role, String leader, int voters, String fault) {}

    enum Role {
        VOTER,
        OBSERVER
    }
}
