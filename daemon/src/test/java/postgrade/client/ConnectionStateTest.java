package postgrade.client;

import static org.junit.Assert.assertFalse;

import java.util.EnumSet;
import java.util.Set;
import org.junit.Test;

public class ConnectionStateTest {

    private static boolean isAllowed(ConnectionState from, ConnectionState to) {
        try {
            return from.transitionTo(to) == to;
        } catch (IllegalStateException e) {
            return false;
        }
    }

    /** What is read behind our end is never sent on, and no answer follows the last one. */
    @Test
    public void noRequestIsReadAfterTheLastAnswer() {
        Set<ConnectionState> ending =
                EnumSet.of(
                        ConnectionState.ANSWERING,
                        ConnectionState.LINGERING,
                        ConnectionState.CLOSED);
        for (ConnectionState from : ending) {
            for (ConnectionState to : EnumSet.complementOf(EnumSet.copyOf(ending))) {
                assertFalse(from + " to " + to, isAllowed(from, to));
            }
        }
        assertFalse(
                "the last one is given once",
                isAllowed(ConnectionState.LINGERING, ConnectionState.ANSWERING));
    }

    /** One request at a time: the next is taken only once the one that waits has its answer. */
    @Test
    public void noRequestIsOpenedWhileAnotherAwaitsItsAnswer() {
        for (ConnectionState from : ConnectionState.values()) {
            if (from.awaitsAnswer()) {
                assertFalse(from + " to READING", isAllowed(from, ConnectionState.READING));
                assertFalse(from + " to OPENING", isAllowed(from, ConnectionState.OPENING));
            }
        }
    }
}
