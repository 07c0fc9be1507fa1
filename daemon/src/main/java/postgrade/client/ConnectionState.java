package postgrade.client;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** Where an accepted connection stands, and in one table what may follow. */
enum ConnectionState {
    /** Nothing is owed; what comes is read as requests, of which the last may have come in part. */
    READING,
    /** Bytes that have come are being taken apart, request by request. */
    TAKING,
    /** A request from among them is being handed over, and may be answered at once. */
    OPENING,
    /** A request waits for its answer; what comes behind it is kept ahead. */
    WAITING,
    /**
     * The last answer is given, or none is owed: our side ends with its last byte, and what comes
     * is passed over.
     */
    ANSWERING,
    /** Our side has ended; the peer has a moment to end its own. */
    LINGERING,
    CLOSED;

    private static final Map<ConnectionState, Set<ConnectionState>> NEXT =
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
     * The next state. Guards against an answer or an end in a state that allows none: what is wrong
     * ends this connection alone.
     */
    ConnectionState to(ConnectionState next) {
        if (!NEXT.get(this).contains(next)) {
            throw new IllegalStateException(this + " to " + next);
        }
        return next;
    }

    /** One request is owed its answer. */
    boolean owes() {
        return this == OPENING || this == WAITING;
    }
}
