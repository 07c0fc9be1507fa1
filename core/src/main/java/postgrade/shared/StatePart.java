package postgrade.shared;

/**
 * One part of the replicated state, such as the reservations. It has no state of its own:
 * everything is in its rows, so that snapshots, replays and views work the same way for every part.
 * The same rows, moment and command always yield the same rows and answer.
 */
public interface StatePart {

    /** The name of its rows and commands. */
    String name();

    /**
     * Applies a command. {@link Row.InvalidFieldException} becomes an answer FAULTY and must be
     * thrown before any row changes.
     */
    Answer apply(Rows rows, Moment at, Command command);

    /**
     * Log time has advanced: whatever has expired ends now. Called before any command is applied at
     * that time.
     */
    default void advance(Rows rows, Moment at) {}
}
