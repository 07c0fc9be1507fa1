package postgrade.shared;

import java.util.function.Consumer;

/**
 * The replicated state as one process uses it. No method blocks, neither on a disk nor on a lock
 * nor on another process. All methods are called on the process's event loop, and callbacks run
 * there too.
 */
public interface ReplicatedState {

    /** The latest view; {@link View#NONE} until one has arrived. */
    View view();

    /**
     * Submits a command for decision. {@code callback} is called exactly once, within the given
     * time. After a timeout it is unknown whether the command will be applied; the same request id
     * may be sent again to find out.
     */
    void submit(Command command, long timeoutMicros, Consumer<Reply> callback);

    /** The role of this process and its connection to the group, for operators. */
    Standing standing();

    /** Closes the connections; later answers are dropped. */
    void close();

    /**
     * The outcome of a submitted command.
     *
     * @param answer null if nothing was decided: there is no quorum, or it did not respond in time
     */
    record Reply(Answer answer, Moment moment, long retryAfterMicros) {
        public boolean decided() {
            return answer != null;
        }
    }

    /**
     * The connection of this process to the group.
     *
     * @param role voter or observer
     * @param leader null if none is known
     * @param fault null, or the reason why the process is not connected to the group
     */
    record Standing(
            String name, long incarnation, Role role, String leader, int voters, String fault) {}

    enum Role {
        VOTER,
        OBSERVER
    }
}
