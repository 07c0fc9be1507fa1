package postgrade.client;

import static org.junit.Assert.assertFalse;

import java.util.EnumSet;
import java.util.Set;
import org.junit.Test;

public class ConnectionStateTest {

    private static boolean leads(ConnectionState from, ConnectionState to) {
        try {
            return from.to(to) == to;
        } catch (IllegalStateException e) {
            return false;
        }
    }

    /** What is read behind our end is never sent on, and no answer follows the last one. */
    @Test
    public void onceTheLastAnswerIsGivenNothingIsTakenAgain() {
        Set<ConnectionState> ending =
                EnumSet.of(
                        ConnectionState.ANSWERING,
                        ConnectionState.LINGERING,
                        ConnectionState.CLOSED);
        for (ConnectionState from : ending) {
            for (ConnectionState to : EnumSet.complementOf(EnumSet.copyOf(ending))) {
                assertFalse(from + " to " + to, leads(from, to));
            }
        }
        assertFalse(
                "the last one is given once",
                leads(ConnectionState.LINGERING, ConnectionState.ANSWERING));
    }

    /** One request at a time: the next is taken only once the one that waits has its answer. */
    @Test
    public void noRequestIsTakenOverBesideOneThatIsOwedItsAnswer() {
        for (ConnectionState from : ConnectionState.values()) {
            if (from.owes()) {
                assertFalse(from + " to READING", leads(from, ConnectionState.READING));
                assertFalse(from + " to OPENING", leads(from, ConnectionState.OPENING));
            }
        }
    }
}
