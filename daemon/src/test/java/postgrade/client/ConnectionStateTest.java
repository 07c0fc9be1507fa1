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

    /**
     * Input after the end of our output must never reach a worker, and no answer may follow the
     * last one.
     */
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
                "the last answer is given once",
                isAllowed(ConnectionState.LINGERING, ConnectionState.ANSWERING));
    }

    /**
     * One request at a time: the next one is accepted only after the pending one has been answered.
     */
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
