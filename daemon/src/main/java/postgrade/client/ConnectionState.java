package postgrade.client;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The states of an accepted connection and the transitions allowed between them. */
enum ConnectionState {
    /** No answer is due. Input is parsed as requests, of which the last may be incomplete. */
    READING,
    /** Received bytes are being parsed, request by request. */
    TAKING,
    /** A parsed request is being submitted and may be answered synchronously. */
    OPENING,
    /** A request awaits its answer; further input is buffered. */
    WAITING,
    /**
     * The last answer has been written, or none is due: output ends with its last byte, and further
     * input is discarded.
     */
    ANSWERING,
    /** Output is shut down; the peer has a short time to close its own side. */
    LINGERING,
    CLOSED;

    private static final Map<ConnectionState, Set<ConnectionState>> TRANSITIONS =
            new EnumMap<>(
                    Map.of(
                            READING, EnumSet.of(TAKING, ANSWERING, CLOSED),
                            TAKING, EnumSet.of(READING, OPENING, ANSWERING, CLOSED),
                            OPENING, EnumSet.of(TAKING, WAITING, ANSWERING, CLOSED),
                            WAITING, EnumSet.of(TAKING, ANSWERING, CLOSED),
                            ANSWERING, EnumSet.of(LINGERING, CLOSED),
                            LINGERING, EnumSet.of(CLOSED),
                            CLOSED, EnumSet.noneOf(ConnectionState.class)));

    /**
     * Returns the next state. An answer or an end in a state that does not allow it throws, and the
     * fault closes this connection only.
     */
    ConnectionState transitionTo(ConnectionState next) {
        if (!TRANSITIONS.get(this).contains(next)) {
            throw new IllegalStateException(this + " to " + next);
        }
        return next;
    }

    /** Returns whether a request is awaiting its answer. */
    boolean awaitsAnswer() {
        return this == OPENING || this == WAITING;
    }
}
