package postgrade.shared;

/**
 * One part of the replicated state, say the reservations. It keeps nothing of its own: all it knows
 * stands in its rows, so that a snapshot, a replay and a view are the same for every part. The same
 * rows, moment and command always give the same rows and answer.
 */
public interface StatePart {

    /** Names its rows and commands. */
    String name();

    /**
     * Carries a command out. {@link Row.InvalidFieldException} becomes an answer FAULTY; it must be
     * thrown before rows change.
     */
    Answer apply(Rows rows, Moment at, Command command);

    /**
     * The log's time has gone on: what is over ends now. Called before any command is applied at
     * that time.
     */
    default void advance(Rows rows, Moment at) {}
}
